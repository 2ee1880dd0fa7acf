"""How many calls at once a backend server takes without losing throughput."""

from __future__ import annotations

import math
from collections.abc import Collection
from typing import Any

from msgspec import Struct

FULL_SPEED_SHARE = 0.5  # of its slots; a server is assumed not to slow down up to it
#: Elasticity of the time of a call by concurrency from which the limit falls, and from
#: which it is the least. At 1, more calls at once give no more throughput.
MIN_ELASTICITY = 0.7
FLAT_ELASTICITY = 0.9
MAX_ELASTICITY = 1.5  # more makes no difference, and takes longer to unlearn
#: Standard deviations by which the elasticity must exceed these.
CONFIDENCE = 0.3
#: Elasticity of a server of which nothing is known, and its standard deviation.
PRIOR_ELASTICITY = 0.2
PRIOR_DEVIATION = 0.6
#: Variance that a second with calls adds to the elasticity and to the pace. The pace
#: is shared by all calls of a moment: a slow spell, a cold start, or inner calls that
#: wait elsewhere.
LIMITED_DRIFT_PER_S = 0.03  # while the limit is below the slots: may be out of date
FREE_DRIFT_PER_S = 0.001
SLOWED_DRIFT_PER_S = 2.0  # while calls take longer than before: the reason is unknown
PACE_DRIFT_PER_S = 0.05
#: Pace from which calls take longer than before, as a logarithm.
SLOWED_PACE = 0.35
#: Only calls at different concurrency show the elasticity. While it isn't known to lie
#: this many standard deviations above or below the flat one, a full server takes fewer
#: calls in every other period. A smaller deviation is as good as certain.
TRIAL_DISTANCE = 1.5
TRIAL_DEVIATION = 0.2
TRIAL_CALL_TIMES = 2.0  # length of the periods, in times of a call
MAX_TRIAL_PERIOD_S = 0.5
#: A server whose limit is probably lower takes as many calls as it has slots in one
#: period of so many.
LIMITED_TRIAL_PERIODS = 6
MAX_PACE_VARIANCE = 1.0
MAX_DRIFT_S = 0.25  # a longer time without an end teaches and forgets nothing
RUN_TIME_WEIGHT = 0.1  # of the latest call in the mean of all calls
ROUTE_TIME_WEIGHT = 0.02  # of the latest call in the mean of its route
VARIANCE_WEIGHT = 0.02  # of the latest call in the variance of the calls' times
INITIAL_VARIANCE = 0.3  # of the logarithm of a call's time
MAX_DEVIATIONS = 2.5  # a call that lies further off counts as one that lies here


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
    concurrency during the call. A Kalman filter follows both.
    """

    __slots__ = (
        "_area",
        "_covariance",
        "_elasticity",
        "_elasticity_variance",
        "_in_use",
        "_min_share",
        "_observed_at",
        "_pace",
        "_pace_variance",
        "_route_times",
        "_run_s",
        "_starts",
        "_updated_at",
        "_variance",
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
        self._variance = INITIAL_VARIANCE
        self._forget()

    def get_estimate(self) -> Estimate:
        """Return what is known of the slowing."""
        return Estimate(self._elasticity, math.sqrt(self._elasticity_variance))

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
            self._forget()

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
        concurrency = max(1.0, (self._area - started) / seconds)
        load = max(0.0, math.log(concurrency / (self.slots * FULL_SPEED_SHARE)))
        logarithm = math.log(seconds)
        mean = self._route_times.get(route)
        if mean is None:
            mean = self._route_times[route] = RouteMean(logarithm)
        time = logarithm - mean.logarithm
        mean.add(time - load * self._elasticity)
        self._correct(time, load, drift_s)

    def remove_routes_except(self, routes: Collection[str]) -> None:
        """Remove the times of routes that are not listed."""
        for route in self._route_times.keys() - routes:
            del self._route_times[route]

    def _get_least(self) -> int:
        return max(1, math.ceil(self.slots * self._min_share))

    def _forget(self) -> None:
        self._pace = 0.0
        self._pace_variance = MAX_PACE_VARIANCE
        self._elasticity = PRIOR_ELASTICITY
        self._elasticity_variance = PRIOR_DEVIATION**2
        self._covariance = 0.0

    def _advance(self, now: float) -> None:
        now = max(now, self._updated_at)
        self._area += self._in_use * (now - self._updated_at)
        self._updated_at = now

    def _is_trial_due(self) -> bool:
        if not self._run_s or self._elasticity_variance < TRIAL_DEVIATION**2:
            return False
        distance = abs(self._elasticity - FLAT_ELASTICITY)
        return distance < TRIAL_DISTANCE * math.sqrt(self._elasticity_variance)

    def _is_low_period(self) -> bool:
        period_s = min(MAX_TRIAL_PERIOD_S, TRIAL_CALL_TIMES * self._run_s)
        period = int(self._updated_at / period_s)
        if self._elasticity > MIN_ELASTICITY:
            return period % LIMITED_TRIAL_PERIODS != 0
        return period % 2 == 1

    def _get_drift_per_s(self) -> float:
        if self._pace - CONFIDENCE * math.sqrt(self._pace_variance) > SLOWED_PACE:
            return SLOWED_DRIFT_PER_S
        estimate = self.get_estimate()
        if estimate.elasticity > MIN_ELASTICITY:
            return LIMITED_DRIFT_PER_S
        return FREE_DRIFT_PER_S

    def _correct(self, time: float, load: float, drift_s: float) -> None:
        """Update the filter with a call's relative time and load."""
        room = max(0.0, MAX_PACE_VARIANCE - self._pace_variance)
        self._pace_variance += min(room, PACE_DRIFT_PER_S * drift_s)
        room = max(0.0, PRIOR_DEVIATION**2 - self._elasticity_variance)
        self._elasticity_variance += min(room, self._get_drift_per_s() * drift_s)
        residual = time - self._pace - load * self._elasticity
        pace_gain = self._pace_variance + load * self._covariance
        elasticity_gain = self._covariance + load * self._elasticity_variance
        total = pace_gain + load * elasticity_gain + self._variance
        bound = MAX_DEVIATIONS * math.sqrt(total)
        residual = max(-bound, min(bound, residual))
        self._pace += residual * pace_gain / total
        self._elasticity += residual * elasticity_gain / total
        self._elasticity = min(MAX_ELASTICITY, max(0.0, self._elasticity))
        self._pace_variance -= pace_gain * pace_gain / total
        self._elasticity_variance -= elasticity_gain * elasticity_gain / total
        self._covariance -= pace_gain * elasticity_gain / total
        noise = max(residual * residual - (total - self._variance), 0.0)
        self._variance += (noise - self._variance) * VARIANCE_WEIGHT
