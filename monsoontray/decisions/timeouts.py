"""Decide how long an attempt may stay without an answer."""

from __future__ import annotations

from collections.abc import Collection

#: An attempt that takes this many times as long as it should is stuck: beyond nearly
#: all work times.
TIMEOUT_FACTOR = 2.5
MIN_TIMEOUT_S = 0.1  # shorter waits are not told apart from a busy machine
MEAN_WEIGHT = 0.05  # of the latest call in the mean time of a route


class ResponseTimes:
    """Remember how long the calls of each route usually take."""

    __slots__ = ("_means",)

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def record(self, route: str, seconds: float) -> None:
        """Take the time that an attempt took until its answer."""
        mean = self._means.get(route, seconds)
        self._means[route] = mean + (seconds - mean) * MEAN_WEIGHT

    def compute_timeout(self, route: str, expected_s: float) -> float:
        """Return the seconds after which an attempt is taken to be stuck.

        ``expected_s`` is what the load of its server leads to, over all routes.
        """
        typical_s = max(expected_s, self._means.get(route, 0.0))
        return max(MIN_TIMEOUT_S, TIMEOUT_FACTOR * typical_s)

    def forget_except(self, routes: Collection[str]) -> None:
        """Forget the routes that are gone."""
        for route in self._means.keys() - routes:
            del self._means[route]
