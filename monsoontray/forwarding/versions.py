"""What rollouts in progress mean for choosing servers and for local guards."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from monsoontray.decisions.outcomes import Reason
from monsoontray.decisions.rollouts import (
    DECIDED,
    SLOW_FACTOR,
    Plan,
    ServerEvidence,
    is_blocked,
    select_servers,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from monsoontray.decisions.guard import GuardState
    from monsoontray.decisions.servers import Endpoint

#: Time that a guard passes nothing on after its server's calls spoke against its
#: version; whoever decides on the rollout has the evidence by then.
BRAKE_S = 2.0


class VersionGate:
    """Hold the plans of rollouts and apply them."""

    __slots__ = ("_braked_until", "_plans")

    def __init__(self) -> None:
        self._plans: dict[str, Plan] = {}
        self._braked_until = 0.0

    def use_plans(self, plans: Iterable[Plan]) -> None:
        """Take the changed plans."""
        self._plans = {plan.service: plan for plan in plans}

    def select(
        self, service: str, servers: list[Endpoint], is_retry: bool, random: Random
    ) -> list[Endpoint]:
        """Return the servers of a service that a call may go to."""
        plan = self._plans.get(service)
        if plan is None:
            return servers
        return select_servers(plan, servers, is_retry, random.random())

    def weigh(
        self, guard: GuardState, route: str, seconds: float, failed: bool, now: float
    ) -> bool:
        """Take a call that ended; say whether the version is newly suspected."""
        record = guard.record
        plan = self._plans.get(record.service)
        baseline_s = None
        if plan is not None and record.version == plan.target:
            baseline_s = plan.baseline.get(route)
        was_suspected = guard.suspicion.is_suspected()
        guard.suspicion.note(route, seconds, failed, baseline_s)
        if was_suspected or not guard.suspicion.is_suspected():
            return False
        if not self._is_on_trial(guard):
            return False
        self._braked_until = now + BRAKE_S
        return True

    def is_too_slow(self, guard: GuardState, route: str, seconds: float) -> bool:
        """Say whether an unfinished call already took far longer than usual."""
        plan = self._plans.get(guard.record.service)
        if plan is None or not self._is_on_trial(guard):
            return False
        baseline_s = plan.baseline.get(route)
        return baseline_s is not None and seconds > SLOW_FACTOR * baseline_s

    def find_closed_reason(self, guard: GuardState, now: float) -> Reason | None:
        """Return why nothing is passed on to a server, if so."""
        record = guard.record
        if is_blocked(self._plans.get(record.service), record.version):
            return Reason.VERSION_BLOCKED
        if self._is_on_trial(guard) and now < self._braked_until:
            return Reason.VERSION_BLOCKED
        return None

    def get_brake_deadline(self) -> float:
        """Return until when local servers on trial get nothing."""
        return self._braked_until

    def _is_on_trial(self, guard: GuardState) -> bool:
        plan = self._plans.get(guard.record.service)
        if plan is None or plan.phase in DECIDED:
            return False
        return guard.record.version == plan.target


def read_evidence(guards: Iterable[GuardState]) -> list[ServerEvidence]:
    """Return what guards have seen of their servers."""
    return [
        ServerEvidence(
            guard.record.version,
            guard.suspicion.calls,
            guard.suspicion.is_suspected(),
            dict(guard.suspicion.means),
        )
        for guard in guards
    ]
