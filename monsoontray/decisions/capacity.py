"""How many calls at once a backend server takes without losing throughput."""

from __future__ import annotations

import math
from collections.abc import Collection
from typing import Any

from msgspec import Struct

from monsoontray.decisions.slowing import SlowingFilter

FULL_SPEED_SHARE = 0.5  # of its slots; a server is assumed not to slow down up to it
#: Elasticity of the time of a call by concurrency from which the limit falls, and from
#: which it is the least. At 1, more calls at once give no more throughput.
MIN_ELASTICITY = 0.7
FLAT_ELASTICITY = 0.9
#: Standard deviations by which the elasticity must exceed these.
CONFIDENCE = 0.3
#: Variance that a second with calls adds to the elasticity.
LIMITED_DRIFT_PER_S = 0.03  # while the limit is below the slots: may be out of date
FREE_DRIFT_PER_S = 0.001
SLOWED_DRIFT_PER_S = 2.0  # while calls take longer than before: the reason is unknown
#: Pace from which calls take longer than before, as a logarithm.
SLOWED_PACE = 0.35
#: Only calls at different concurrency show the elasticity. While it isn't known to lie
#: this many standard deviations above or below the flat one, a full server takes fewer
#: calls in every other period. A smaller deviation is as good as certain.
TRIAL_DISTANCE = 1.5
TRIAL_DEVIATION = 0.2
TRIAL_CALL_TIMES = 2.0  # length of the periods, in times of a call
MIN_TRIAL_PERIOD_S, MAX_TRIAL_PERIOD_S = 0.001, 0.5
#: A server whose limit is probably lower takes as many calls as it has slots in one
#: period of so many.
LIMITED_TRIAL_PERIODS = 6
MAX_DRIFT_S = 0.25  # a longer time without an end teaches and forgets nothing
RUN_TIME_WEIGHT = 0.1  # of the latest call in the mean of all calls
ROUTE_TIME_WEIGHT = 0.02  # of the latest call in the mean of its route


class Estimate(Struct, frozen=True):
    """What is known of the slowing of a server."""

    elasticity: float  # of the time of a call by concurrency, above half of the slots
    deviation: float  # standard deviation of the elasticity


class RouteMean:
    """Mean logarithm of the seconds of a route's calls, at full speed."""

    __slots__ = ("calls", "logarithm")

    def __init__(self, logarithm: float) -> None:
        self.calls = 0
        self.logarithm = logarithm

    def add(self, deviation: float) -> None:
        """Add a call that deviates from the mean."""
        self.calls += 1
        self.logarithm += deviation * max(ROUTE_TIME_WEIGHT, 1.0 / self.calls)


class Capacity:
    """Estimate of the calls at once that a server takes, from the calls that end.

    The logarithm of a call's time, relative to the mean of its route, is the sum of a
    pace that drifts quickly and of an elasticity times the logarithm of the mean
    concurrency during the call. A filter follows both.
    """

    __slots__ = (
        "_area",
        "_filter",
        "_in_use",
        "_min_share",
        "_observed_at",
        "_route_times",
        "_run_s",
        "_starts",
        "_updated_at",
        "slots",
    )

    def __init__(self, slots: int, min_share: float = FULL_SPEED_SHARE) -> None:
        self.slots = slots  # as the server announces
        self._min_share = min_share  # of the slots; the least limit
        self._starts: dict[Any, float] = {}  # area when the call started
        self._area = 0.0  # calls times seconds so far
        self._in_use = 0
        self._run_s = 0.0  # mean time of a call
        self._updated_at = 0.0
        self._observed_at = -math.inf
        self._route_times: dict[str, RouteMean] = {}
        self._filter = SlowingFilter()

    def get_estimate(self) -> Estimate:
        """Return what is known of the slowing."""
        known = self._filter
        return Estimate(known.elasticity, math.sqrt(known.elasticity_variance))

    def get_limit(self) -> int:
        """Return how many calls may run at once now, also for a trial."""
        if not self._is_trial_due():
            return self.get_learned_limit()
        return self._get_least() if self._is_low_period() else self.slots

    def get_learned_limit(self) -> int:
        """Return how many calls at once the server takes well."""
        estimate = self.get_estimate()
        certain = estimate.elasticity - CONFIDENCE * estimate.deviation
        excess = (certain - MIN_ELASTICITY) / (FLAT_ELASTICITY - MIN_ELASTICITY)
        share = min(1.0, max(0.0, excess))
        return self.slots - math.floor((self.slots - self._get_least()) * share)

    def update(self, slots: int, is_restarted: bool) -> None:
        """Set the slots that the server announces; forget what fitted others."""
        if slots != self.slots or is_restarted:
            self.slots = slots
            self._filter.forget()

    def start(self, call: Any, now: float) -> None:
        """Count a call that starts."""
        self._advance(now)
        self._in_use += 1
        self._starts[call] = self._area

    def end(self, call: Any, now: float) -> None:
        """Count a call that ends without an observation of its time."""
        if self._starts.pop(call, None) is not None:
            self._advance(now)
            self._in_use -= 1

    def observe(self, call: Any, route: str, seconds: float, now: float) -> None:
        """Learn from a call that ran to its end."""
        started = self._starts.get(call)
        self.end(call, now)
        if started is None or seconds <= 0.0:
            return
        drift_s = min(max(0.0, now - self._observed_at), MAX_DRIFT_S)
        self._observed_at = now
        self._run_s += (seconds - self._run_s) * (RUN_TIME_WEIGHT if self._run_s else 1)
        # In the shortest calls the area has too few digits to tell.
        most = max(self.slots, self._in_use + 1)
        concurrency = min(max(1.0, (self._area - started) / seconds), most)
        full_speed = max(1, self.slots) * FULL_SPEED_SHARE
        load = max(0.0, math.log(concurrency / full_speed))
        logarithm = math.log(seconds)
        mean = self._route_times.get(route)
        if mean is None:
            mean = self._route_times[route] = RouteMean(logarithm)
        time = logarithm - mean.logarithm
        mean.add(time - load * self._filter.elasticity)
        self._filter.drift(drift_s, self._get_drift_per_s())
        self._filter.correct(time, load)

    def remove_routes_except(self, routes: Collection[str]) -> None:
        """Remove the times of routes that are not listed."""
        for route in self._route_times.keys() - routes:
            del self._route_times[route]

    def _get_least(self) -> int:
        return max(1, math.ceil(self.slots * self._min_share))

    def _advance(self, now: float) -> None:
        now = max(now, self._updated_at)
        self._area += self._in_use * (now - self._updated_at)
        self._updated_at = now

    def _is_trial_due(self) -> bool:
        estimate = self.get_estimate()
        if not self._run_s or estimate.deviation < TRIAL_DEVIATION:
            return False
        distance = abs(estimate.elasticity - FLAT_ELASTICITY)
        return distance < TRIAL_DISTANCE * estimate.deviation

    def _is_low_period(self) -> bool:
        period_s = min(MAX_TRIAL_PERIOD_S, TRIAL_CALL_TIMES * self._run_s)
        period = int(self._updated_at / max(MIN_TRIAL_PERIOD_S, period_s))
        if self._filter.elasticity > MIN_ELASTICITY:
            return period % LIMITED_TRIAL_PERIODS != 0
        return period % 2 == 1

    def _get_drift_per_s(self) -> float:
        known = self._filter
        if known.pace - CONFIDENCE * math.sqrt(known.pace_variance) > SLOWED_PACE:
            return SLOWED_DRIFT_PER_S
        if known.elasticity > MIN_ELASTICITY:
            return LIMITED_DRIFT_PER_S
        return FREE_DRIFT_PER_S
