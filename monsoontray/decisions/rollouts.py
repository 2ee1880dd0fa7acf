"""Decide how far a new version of a service takes over its calls."""

from __future__ import annotations

import enum
import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass

import msgspec

from monsoontray.decisions.servers import Endpoint

#: A failing call is this likely of a sound version, in the midst of other faults,
#: and of a bad one.
GOOD_FAILURE_RATE = 0.05
BAD_FAILURE_RATE = 0.30
#: Evidence at which a server's calls are taken as those of a bad version: odds of
#: about 1,000 to 1.
SUSPICION_THRESHOLD = 7.0
#: Time that a suspicion stands, so that those of several servers are seen together.
SUSPICION_LIFETIME_S = 3.0
#: A call that takes this many times as long as the old version's counts as failed.
SLOW_FACTOR = 4.0
MIN_SLOW_S = 0.05  # shorter calls are not told apart from noise
MIN_EVIDENCE_CALLS = 20  # calls of the new version before it gets more
MIN_SUSPECTED_SERVERS = (
    2  # servers that must fail alike, so that it is not a single fault
)
DECISIVE_STRIKES = (
    2  # suspicions of one server that count whatever the old version does
)
MEAN_WEIGHT = 0.1  # of the latest call in the mean time of a route

_FAILURE_EVIDENCE = math.log(BAD_FAILURE_RATE / GOOD_FAILURE_RATE)
_SUCCESS_EVIDENCE = math.log((1.0 - BAD_FAILURE_RATE) / (1.0 - GOOD_FAILURE_RATE))


class Phase(enum.Enum):
    """Name how far a rollout has come."""

    WAITING = "waiting"  # no server of the version has been seen yet
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
#: The phase that follows, and the part of the period after which it does. When the
#: last phase begins, the version has had less than 0.08 of the calls, so that one which
#: is bad under full load only can still be found before it has had a tenth.
_NEXT_PHASES = {
    Phase.CANARY: (Phase.QUARTER, 0.40),
    Phase.QUARTER: (Phase.HALF, 0.47),
    Phase.HALF: (Phase.FULL, 0.54),
    Phase.FULL: (Phase.DONE, 0.80),
}
FINAL_PHASES = frozenset((Phase.DONE, Phase.ROLLED_BACK))
MIN_PHASE_S = 1.0  # a phase shows nothing in less time


class RolloutPlan(msgspec.Struct, frozen=True):
    """Hold how far a rollout has come, as all nodes know it."""

    order: int  # revision of the operator's order
    service: str
    target: str  # the version that takes over
    period_s: float
    phase: Phase
    elapsed_s: float  # since the order, when this was written
    #: Mean seconds that the old version takes for a call, by route.
    baseline: dict[str, float] = {}


@dataclass(slots=True, frozen=True)
class ServerEvidence:
    """Hold what one guard has seen of its server's calls."""

    version: str
    calls: int
    suspected: bool
    means: Mapping[str, float]  # seconds that a call takes, by route
    strikes: int = 0  # times that the server was suspected


class VersionSuspicion:
    """Weigh a server's calls for and against its version being bad.

    A sum of log-likelihood ratios that is never below zero, so that a version
    which turns bad late is found as fast as one which was bad from the start.
    It is kept for all calls and for each route.
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
        """Take a call that has ended; say whether it brought the suspicion."""
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
        # Calls that were under way may still end well; the suspicion stands.
        self.suspected_until = now + SUSPICION_LIFETIME_S
        self.strikes += 1
        self._evidence.clear()
        return True

    def is_suspected(self, now: float) -> bool:
        """Say whether the calls spoke against the version a short time ago."""
        return now < self.suspected_until


def decide_phase(
    plan: RolloutPlan,
    elapsed_s: float,
    in_phase_s: float,
    evidence: Collection[ServerEvidence],
) -> Phase:
    """Return the phase that a rollout should be in."""
    if plan.phase in FINAL_PHASES:
        return plan.phase
    new = [each for each in evidence if each.version == plan.target]
    old = [each for each in evidence if each.version != plan.target]
    if is_version_bad(new, old):
        return Phase.ROLLED_BACK
    if plan.phase is Phase.WAITING:
        return Phase.CANARY if new else Phase.WAITING
    following, part = _NEXT_PHASES[plan.phase]
    if elapsed_s < part * plan.period_s or in_phase_s < MIN_PHASE_S:
        return plan.phase
    if sum(each.calls for each in new) < MIN_EVIDENCE_CALLS:
        return plan.phase
    if any(each.suspected for each in new):
        return plan.phase
    return following


def is_version_bad(
    new: Collection[ServerEvidence], old: Collection[ServerEvidence]
) -> bool:
    """Say whether the servers of a new version fail, unlike those of the old one.

    Servers that were suspected one after the other count together: a version that is
    bad under load fails where the load is. Where the old version's fail as well, the
    version is given a second try: taking back a good one costs less than leaving a
    bad one.
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
    """Return the mean seconds for a call by route, over servers."""
    collected: dict[str, list[float]] = {}
    for each in evidence:
        for route, mean in each.means.items():
            collected.setdefault(route, []).append(mean)
    return {route: sum(means) / len(means) for route, means in collected.items()}


def is_blocked(plan: RolloutPlan | None, version: str) -> bool:
    """Say whether servers of a version get nothing at all."""
    return (
        plan is not None and version == plan.target and PHASE_SHARES[plan.phase] == 0.0
    )


def select_servers(
    plan: RolloutPlan, servers: Collection[Endpoint], is_retry: bool, draw: float
) -> list[Endpoint]:
    """Return the servers that a call may go to; ``draw`` is a random share."""
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
    """Return as large a part of the servers as their share of the calls is.

    Each of them then bears what it would bear alone, so that a version which is
    bad under load shows it before most calls have moved.
    """
    count = max(MIN_SUSPECTED_SERVERS, math.ceil(share * len(servers)))
    return sorted(servers, key=lambda each: each.server)[:count]
