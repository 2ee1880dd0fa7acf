"""Timeouts of attempts that get no response."""

from __future__ import annotations

from collections.abc import Collection

#: An attempt that takes this many times the expected time is considered stuck.
#: Nearly all calls take less.
TIMEOUT_FACTOR = 2.5
MIN_TIMEOUT_S = 0.1  # shorter delays may come from a busy machine
MEAN_WEIGHT = 0.05  # of the latest call in the moving average


class ResponseTimes:
    """Mean response times of the routes."""

    __slots__ = ("_means",)

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def record(self, route: str, seconds: float) -> None:
        """Add the response time of an attempt to the mean of its route."""
        mean = self._means.get(route, seconds)
        self._means[route] = mean + (seconds - mean) * MEAN_WEIGHT

    def compute_timeout(self, route: str, expected_s: float) -> float:
        """Return the seconds after which an attempt is considered stuck.

        ``expected_s`` is the time estimated from the server's load, for all routes.
        """
        typical_s = max(expected_s, self._means.get(route, 0.0))
        return max(MIN_TIMEOUT_S, TIMEOUT_FACTOR * typical_s)

    def remove_except(self, routes: Collection[str]) -> None:
        """Remove the routes that are not listed."""
        for route in self._means.keys() - routes:
            del self._means[route]
