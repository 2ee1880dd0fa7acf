"""Decisions on rollouts, which move the calls of a service to a new version."""

from __future__ import annotations

import enum
import math
from collections.abc import Collection, Mapping

import msgspec
from msgspec import Struct

from monsoontray.decisions.servers import Endpoint
from monsoontray.decoding.values import Label, Name, Revision, Seconds, Total

#: Assumed probability that a call fails: with a good version while other faults occur,
#: and with a bad version.
GOOD_FAILURE_RATE = 0.05
BAD_FAILURE_RATE = 0.30
#: Log-likelihood ratio from which a server is suspected to run a bad version: odds of
#: about 1,000 to 1.
SUSPICION_THRESHOLD = 7.0
#: A suspicion lasts this long, so that those of several servers overlap.
SUSPICION_LIFETIME_S = 3.0
#: A call that takes this many times the mean of the old version counts as failed.
SLOW_FACTOR = 4.0
MIN_SLOW_S = 0.05  # the duration of shorter calls varies too much
MIN_EVIDENCE_CALLS = 20  # calls of the new version before the next phase
MIN_SUSPECTED_SERVERS = 2  # one failing server may have a fault of its own
#: A server that was suspected this often counts even if the old version fails as well.
DECISIVE_STRIKES = 2
MEAN_WEIGHT = 0.1  # of the latest call in the moving average

_FAILURE_EVIDENCE = math.log(BAD_FAILURE_RATE / GOOD_FAILURE_RATE)
_SUCCESS_EVIDENCE = math.log((1.0 - BAD_FAILURE_RATE) / (1.0 - GOOD_FAILURE_RATE))


class Phase(enum.Enum):
    """Progress of a rollout."""

    WAITING = "waiting"  # for the first server of the new version
    CANARY = "canary"
    QUARTER = "quarter"
    HALF = "half"
    FULL = "full"
    DONE = "done"
    ROLLED_BACK = "rolled-back"


#: Share of a service's calls that the new version gets in each phase.
PHASE_SHARES = {
    Phase.WAITING: 0.0,
    Phase.CANARY: 0.04,
    Phase.QUARTER: 0.25,
    Phase.HALF: 0.5,
    Phase.FULL: 1.0,
    Phase.DONE: 1.0,
    Phase.ROLLED_BACK: 0.0,
}
#: The next phase, and the share of the rollout's period after which it begins. When
#: the last phase begins, the new version has had less than 0.08 of the calls. If it is
#: bad only under full load, it can still be rolled back before it has had a tenth.
_NEXT_PHASES = {
    Phase.CANARY: (Phase.QUARTER, 0.40),
    Phase.QUARTER: (Phase.HALF, 0.47),
    Phase.HALF: (Phase.FULL, 0.54),
    Phase.FULL: (Phase.DONE, 0.80),
}
FINAL_PHASES = frozenset((Phase.DONE, Phase.ROLLED_BACK))
MIN_PHASE_S = 1.0  # a shorter phase yields too little evidence


class RolloutPlan(msgspec.Struct, frozen=True):
    """State of a rollout, as stored for all nodes."""

    order: Revision  # of the operator's order
    service: Name
    target: Label  # the new version
    period_s: Seconds
    phase: Phase
    elapsed_s: Seconds  # since the order, when this was written
    #: Mean seconds of a call to the old version, by route.
    baseline: dict[str, Seconds] = {}


class ServerEvidence(Struct, frozen=True):
    """Calls of one server, as observed by its guard."""

    version: Label
    calls: Total
    suspected: bool
    means: Mapping[str, Seconds]  # mean seconds of a call, by route
    strikes: Total = 0  # number of times that the server was suspected


class VersionSuspicion:
    """Sequential test (CUSUM) of whether a server runs a bad version.

    The log-likelihood ratios of the calls are added up, for all calls and for each
    route. The sum never falls below zero, so that a version which becomes bad late is
    detected as fast as one which is bad from the start.
    """

    __slots__ = ("_evidence", "calls", "means", "strikes", "suspected_until")

    def __init__(self) -> None:
        self._evidence: dict[str, float] = {}
        self.strikes = 0
        self.suspected_until = 0.0
        self.calls = 0
        self.means: dict[str, float] = {}

    def record_call(
        self,
        route: str,
        seconds: float,
        failed: bool,
        baseline_s: float | None,
        now: float,
    ) -> bool:
        """Add a call that ended; return whether the server becomes suspected."""
        self.calls += 1
        mean = self.means.get(route, seconds)
        self.means[route] = mean + (seconds - mean) * MEAN_WEIGHT
        if baseline_s is not None:
            failed = failed or seconds > max(MIN_SLOW_S, SLOW_FACTOR * baseline_s)
        step = _FAILURE_EVIDENCE if failed else _SUCCESS_EVIDENCE
        for key in ("", route):
            evidence = self._evidence.get(key, 0.0) + step
            self._evidence[key] = max(0.0, evidence)
        if max(self._evidence.values()) < SUSPICION_THRESHOLD or self.is_suspected(now):
            return False
        # Calls in progress may still succeed; they do not end the suspicion.
        self.suspected_until = now + SUSPICION_LIFETIME_S
        self.strikes += 1
        self._evidence.clear()
        return True

    def is_suspected(self, now: float) -> bool:
        """Return whether the server is suspected to run a bad version."""
        return now < self.suspected_until


def decide_phase(
    plan: RolloutPlan,
    elapsed_s: float,
    in_phase_s: float,
    evidence: Collection[ServerEvidence],
) -> Phase:
    """Return the phase that a rollout should be in now."""
    if plan.phase in FINAL_PHASES:
        return plan.phase
    new = [each for each in evidence if each.version == plan.target]
    old = [each for each in evidence if each.version != plan.target]
    if is_version_bad(new, old):
        return Phase.ROLLED_BACK
    if plan.phase is Phase.WAITING:
        return Phase.CANARY if new else Phase.WAITING
    next_phase, period_share = _NEXT_PHASES[plan.phase]
    if elapsed_s < period_share * plan.period_s or in_phase_s < MIN_PHASE_S:
        return plan.phase
    if sum(each.calls for each in new) < MIN_EVIDENCE_CALLS:
        return plan.phase
    if any(each.suspected for each in new):
        return plan.phase
    return next_phase


def is_version_bad(
    new: Collection[ServerEvidence], old: Collection[ServerEvidence]
) -> bool:
    """Return whether servers of the new version fail and those of the old do not.

    Servers that were suspected one after the other count together, since a version
    that is bad under load fails on whichever server has the load. If the old version
    fails as well, a repeated suspicion of the same server decides: rolling back a good
    version costs less than keeping a bad one.
    """
    if not any(each.suspected for each in new):
        return False
    used = sum(1 for each in new if each.calls)
    suspected = sum(1 for each in new if each.suspected or each.strikes)
    if suspected < min(MIN_SUSPECTED_SERVERS, used):
        return False
    old_suspects = sum(each.suspected for each in old)
    if old_suspects * 2 <= len(old):
        return True
    return any(each.strikes >= DECISIVE_STRIKES for each in new)


def average_means(evidence: Collection[ServerEvidence]) -> dict[str, float]:
    """Return the mean seconds of a call by route, averaged over servers."""
    collected: dict[str, list[float]] = {}
    for each in evidence:
        for route, mean in each.means.items():
            collected.setdefault(route, []).append(mean)
    return {route: sum(means) / len(means) for route, means in collected.items()}


def is_blocked(plan: RolloutPlan | None, version: str) -> bool:
    """Return whether the servers of a version get no calls."""
    return (
        plan is not None and version == plan.target and PHASE_SHARES[plan.phase] == 0.0
    )


def select_servers(
    plan: RolloutPlan, servers: Collection[Endpoint], is_retry: bool, draw: float
) -> list[Endpoint]:
    """Return the servers that a call may go to; ``draw`` is random in [0, 1)."""
    new = [each for each in servers if each.version == plan.target]
    old = [each for each in servers if each.version != plan.target]
    share = PHASE_SHARES[plan.phase]
    if share == 0.0:
        return old
    if plan.phase is Phase.DONE:
        return new or old
    if is_retry:
        return old or new
    if draw < share:
        return select_share(new, share) or old
    return old


def select_share(servers: Collection[Endpoint], share: float) -> list[Endpoint]:
    """Return part of a version's servers, in proportion to its share of the calls.

    Each of these servers has the load that it would have in the last phase. A version
    that is bad under load is thus detected before it gets most of the calls.
    """
    count = max(MIN_SUSPECTED_SERVERS, math.ceil(share * len(servers)))
    return sorted(servers, key=lambda each: each.server)[:count]
