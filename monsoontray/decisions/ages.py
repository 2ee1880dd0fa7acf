"""Recognition of callers that come back, by the time that they still wait."""

from __future__ import annotations

from collections.abc import Collection

TOLERANCE = 0.02  # of the usual time; callers' clocks and links differ
WEIGHT = 0.05  # of the latest call in the moving average
#: Share of the calls that must give the usual time. With two returns for each caller
#: a third of all calls are first ones.
MIN_USUAL_SHARE = 0.25
FORGET_SHARE = 0.02  # the usual time is then learned anew


class RouteTimeouts:
    """Longest time that the callers of a route wait, as most of them say it."""

    __slots__ = ("share", "usual_s")

    def __init__(self, given_s: float) -> None:
        self.usual_s = given_s
        self.share = 0.0

    def estimate_age(self, given_s: float) -> float:
        """Return for how many seconds a caller that waits this long has waited."""
        is_usual = given_s >= self.usual_s * (1.0 - TOLERANCE)
        if given_s > self.usual_s * (1.0 + TOLERANCE) or self.share < FORGET_SHARE:
            self.usual_s = given_s
            self.share = MIN_USUAL_SHARE / 2
            is_usual = True
        self.share += ((1.0 if is_usual else 0.0) - self.share) * WEIGHT
        if is_usual or self.share < MIN_USUAL_SHARE:
            return 0.0
        return self.usual_s - given_s


class CallerAges:
    """For how long callers have waited already, by route.

    A caller that was refused comes back with the rest of its time. Its objective
    counts from its first attempt.
    """

    __slots__ = ("_timeouts",)

    def __init__(self) -> None:
        self._timeouts: dict[str, RouteTimeouts] = {}

    def estimate_age(self, route: str, given_s: float) -> float:
        """Return for how many seconds the caller of a call has waited; 0 if unknown."""
        timeouts = self._timeouts.get(route)
        if timeouts is None:
            timeouts = self._timeouts[route] = RouteTimeouts(given_s)
        return timeouts.estimate_age(given_s)

    def remove_routes_except(self, routes: Collection[str]) -> None:
        """Remove the times of routes that are not listed."""
        for route in self._timeouts.keys() - routes:
            del self._timeouts[route]
