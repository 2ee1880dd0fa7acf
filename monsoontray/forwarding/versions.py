"""Apply rollout plans to the choice of servers and to the local guards."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from monsoontray.decisions.outcomes import Reason
from monsoontray.decisions.rollouts import (
    FINAL_PHASES,
    SLOW_FACTOR,
    RolloutPlan,
    ServerEvidence,
    is_blocked,
    select_servers,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from monsoontray.decisions.guard import GuardState
    from monsoontray.decisions.servers import Endpoint


class VersionGate:
    """Current rollout plans, which restrict the servers that get calls."""

    __slots__ = ("_plans",)

    def __init__(self) -> None:
        self._plans: dict[str, RolloutPlan] = {}

    def update_plans(self, plans: Iterable[RolloutPlan]) -> None:
        """Replace the plans."""
        self._plans = {plan.service: plan for plan in plans}

    def select(
        self, service: str, servers: list[Endpoint], is_retry: bool, random: Random
    ) -> list[Endpoint]:
        """Return the servers of a service that the rollout plan allows for a call."""
        plan = self._plans.get(service)
        if plan is None:
            return servers
        return select_servers(plan, servers, is_retry, random.random())

    def record_call(
        self, guard: GuardState, route: str, seconds: float, failed: bool, now: float
    ) -> bool:
        """Record a call that ended; return whether its version became suspected."""
        record = guard.record
        plan = self._plans.get(record.service)
        baseline_s = None
        if plan is not None and record.version == plan.target:
            baseline_s = plan.baseline.get(route)
        is_new = guard.suspicion.record_call(route, seconds, failed, baseline_s, now)
        return is_new and self._is_rollout_target(guard)

    def exceeds_baseline(self, guard: GuardState, route: str, seconds: float) -> bool:
        """Return whether an unfinished call took far longer than the baseline."""
        plan = self._plans.get(guard.record.service)
        if plan is None or not self._is_rollout_target(guard):
            return False
        baseline_s = plan.baseline.get(route)
        return baseline_s is not None and seconds > SLOW_FACTOR * baseline_s

    def find_closed_reason(self, guard: GuardState, now: float) -> Reason | None:
        """Return why a server gets no calls, or None if it may get some."""
        record = guard.record
        if is_blocked(self._plans.get(record.service), record.version):
            return Reason.VERSION_BLOCKED
        if self._is_rollout_target(guard) and guard.suspicion.is_suspected(now):
            return Reason.VERSION_BLOCKED
        return None

    def _is_rollout_target(self, guard: GuardState) -> bool:
        plan = self._plans.get(guard.record.service)
        if plan is None or plan.phase in FINAL_PHASES:
            return False
        return guard.record.version == plan.target


def read_evidence(guards: Iterable[GuardState], now: float) -> list[ServerEvidence]:
    """Return the evidence of guards about the versions of their servers."""
    return [
        ServerEvidence(
            guard.record.version,
            guard.suspicion.calls,
            guard.suspicion.is_suspected(now),
            dict(guard.suspicion.means),
            guard.suspicion.strikes,
        )
        for guard in guards
    ]
