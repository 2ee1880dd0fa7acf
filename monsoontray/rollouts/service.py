"""Task that follows all rollouts, and decides on them while it has the lease."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, Any

import msgspec
from msgspec.structs import replace

from monsoontray.decisions.rollouts import (
    FINAL_PHASES,
    Phase,
    RolloutPlan,
    ServerEvidence,
    average_means,
    decide_phase,
)
from monsoontray.decoding.documents import decode_json
from monsoontray.decoding.errors import DecodingError
from monsoontray.decoding.refusals import EntryRefusals
from monsoontray.discovery.messages import StoreChanged, StoreListed
from monsoontray.kernel.kernel import Kernel, Registration
from monsoontray.kernel.task import Task
from monsoontray.logs import logger
from monsoontray.platform.status import build_status
from monsoontray.rollouts.decider import DeciderLease
from monsoontray.rollouts.evidence import EvidenceReader
from monsoontray.rollouts.messages import (
    RolloutOrdered,
    UpdateRolloutPlans,
    VersionSuspected,
)
from monsoontray.store.eras import get_era
from monsoontray.store.outcomes import Conflict, Done, Put, Record

if TYPE_CHECKING:
    from collections.abc import Sequence

    from monsoontray.store.client import StoreClient

NAME = "rollouts"
PREFIX = "rollouts/"
PLAN_PREFIX = "rollouts/plans/"
CHECK_INTERVAL_S = 0.5  # between two reads of the evidence
CONFLICT_CHECK_DELAY_S = 0.05  # short, since the other node's record is already read


class Rollout:
    """Rollout of one service: its order, its plan and its times."""

    __slots__ = (
        "is_lost",
        "next_check_at",
        "order",
        "phase_started_at",
        "plan",
        "revision",
        "started_at",
    )

    def __init__(self, order: RolloutOrdered, now: float) -> None:
        self.order = order
        self.plan = RolloutPlan(
            order.order,
            order.service,
            order.target,
            order.period_s,
            Phase.WAITING,
            0.0,
        )
        self.revision = 0  # of the plan's record
        #: The store came back from a copy without the plan that is in force.
        self.is_lost = False
        self.started_at = now  # earliest known time of the order
        self.phase_started_at = now
        self.next_check_at = now

    def update_plan(self, plan: RolloutPlan, revision: int, now: float) -> None:
        """Store a plan that was written for this order."""
        if plan.phase is not self.plan.phase:
            self.phase_started_at = now
        self.plan = plan
        self.revision = revision
        self.is_lost = False
        self.started_at = min(self.started_at, now - plan.elapsed_s)


class Rollouts(Task):
    """Task that owns the rollouts of all services."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(NAME, kernel, handle_message)
        self._client: StoreClient = kernel.find("store").open_client("status")
        self._decider = DeciderLease(kernel)
        self._evidence = EvidenceReader(kernel)
        self._refusals = EntryRefusals(kernel.find("metrics"), "rollout-plan")
        self._rollouts: dict[str, Rollout] = {}
        self._plans: dict[str, tuple[RolloutPlan, int]] = {}  # as read from the store

    def find_next_deadline(self) -> float | None:
        """Return when the evidence is checked next."""
        due = [
            rollout.next_check_at
            for rollout in self._rollouts.values()
            if rollout.plan.phase not in FINAL_PHASES or rollout.is_lost
        ]
        return min(due, default=None)

    def on_deadline(self) -> None:
        """Check the evidence of the rollouts that are due."""
        now = self.clock.now()
        for rollout in self._rollouts.values():
            is_open = rollout.plan.phase not in FINAL_PHASES or rollout.is_lost
            if is_open and rollout.next_check_at <= now:
                rollout.next_check_at = now + CHECK_INTERVAL_S
                if self._decider.acquire(rollout.order.service):
                    self._check(rollout)
        if self.find_next_deadline() is None:
            self._decider.release()

    def handle_order(self, order: RolloutOrdered) -> None:
        """Start the rollout of an order, from its stored plan if there is one."""
        known = self._rollouts.get(order.service)
        if known is not None and known.order.order >= order.order:
            return
        now = self.clock.now()
        plan, revision = self._plans.get(order.service, (None, 0))
        if known is not None and is_continued(known.plan, order):
            known.order = order
            known.plan = replace(known.plan, order=order.order)
            known.revision = revision
            known.is_lost = True
            known.next_check_at = now
            return
        rollout = Rollout(order, now)
        self._rollouts[order.service] = rollout
        rollout.revision = revision
        if plan is not None and is_continued(plan, order):
            rollout.update_plan(replace(plan, order=order.order), revision, now)
        logger.bind(
            service=order.service, target=order.target, period_s=order.period_s
        ).info("rollout ordered")
        self._publish_plans()

    def handle_records(self, records: Sequence[Record], now: float) -> None:
        """Handle plans and decider keys that were written by any node."""
        for record in records:
            if record.key.startswith(PLAN_PREFIX):
                self._handle_plan_record(record, now)
            else:
                self._decider.handle_taken(record.key)

    def handle_removals(self, records: Sequence[Record]) -> None:
        """Handle decider keys that were removed."""
        for record in records:
            self._decider.handle_released(record.key)

    def handle_suspicion(self, service: str) -> None:
        """Check the evidence of a service immediately."""
        rollout = self._rollouts.get(service)
        if rollout is not None:
            rollout.next_check_at = self.clock.now()

    def close(self) -> None:
        """Release the lease and close the client."""
        self._decider.close()
        self._client.close()

    def _handle_plan_record(self, record: Record, now: float) -> None:
        try:
            plan = decode_plan(record)
        except DecodingError as error:
            self._refusals.report(record, error)
            return
        self._plans[plan.service] = (plan, record.revision)
        rollout = self._rollouts.get(plan.service)
        if rollout is None or record.revision <= rollout.revision:
            return
        rollout.revision = record.revision
        if get_era(record.revision) > get_era(rollout.order.order):
            return  # the order is about to be read again, in the record's era
        if not is_continued(plan, rollout.order):
            return
        if rollout.is_lost and plan.elapsed_s < rollout.plan.elapsed_s:
            return  # the copy has an earlier plan
        rollout.update_plan(
            replace(plan, order=rollout.order.order), record.revision, now
        )
        self._publish_plans()

    def _check(self, rollout: Rollout) -> None:
        """Read the evidence, and write the plan if its phase changes."""
        now = self.clock.now()
        plan = rollout.plan
        evidence = self._evidence.read(plan.service)
        if rollout.is_lost and plan.elapsed_s:
            self._write(rollout, plan, evidence)
            return
        elapsed_s = now - rollout.started_at
        phase = decide_phase(plan, elapsed_s, now - rollout.phase_started_at, evidence)
        # The first plan of an order is written even if its phase is unchanged. A plan
        # that was written for the order has an elapsed time above 0.
        is_new_or_waiting = not rollout.revision or plan.phase is Phase.WAITING
        if phase is plan.phase and not (is_new_or_waiting and plan.elapsed_s == 0.0):
            return
        baseline = plan.baseline
        if phase is Phase.CANARY:
            old = [each for each in evidence if each.version != plan.target]
            baseline = average_means(old)
        changed = RolloutPlan(
            plan.order, plan.service, plan.target, plan.period_s, phase,
            max(elapsed_s, 0.001), baseline,
        )  # fmt: skip
        self._write(rollout, changed, evidence)

    def _write(
        self, rollout: Rollout, plan: RolloutPlan, evidence: Sequence[ServerEvidence]
    ) -> None:
        """Write a plan together with its status."""
        key = PLAN_PREFIX + plan.service
        status_key, status = build_status(plan)
        puts = (Put(key, msgspec.json.encode(plan)), Put(status_key, status))
        outcome = self._client.commit({key: rollout.revision}, puts)
        logger.bind(
            service=plan.service,
            target=plan.target,
            phase=plan.phase.value,
            elapsed_s=round(plan.elapsed_s, 2),
            calls=sum(e.calls for e in evidence if e.version == plan.target),
            suspected=sum(e.suspected for e in evidence),
            outcome=type(outcome).__name__,
        ).info("rollout decided")
        if isinstance(outcome, Done):
            rollout.update_plan(plan, outcome.revision, self.clock.now())
            self._publish_plans()
        else:
            # Another node may have written, or this write may have succeeded.
            self._read_back(rollout, key)
        if isinstance(outcome, Conflict):
            rollout.next_check_at = self.clock.now() + CONFLICT_CHECK_DELAY_S

    def _read_back(self, rollout: Rollout, key: str) -> None:
        """Read the stored plan after a write that was not confirmed."""
        record = self._client.get(key)
        if not isinstance(record, Record):
            return
        # The next write is conditional on the revision that was read, even if it is
        # lower than the last known one.
        rollout.revision = 0
        if record.revision:
            self._handle_plan_record(record, self.clock.now())

    def _publish_plans(self) -> None:
        plans = tuple(rollout.plan for rollout in self._rollouts.values())
        self.kernel.post("forwarding", UpdateRolloutPlans(plans))


def is_continued(plan: RolloutPlan, order: RolloutOrdered) -> bool:
    """Return whether a plan is of an order, or of the same one in an earlier era.

    A store that came back from a copy names the same order by another revision.
    """
    if plan.order == order.order:
        return True
    is_same = (plan.target, plan.period_s) == (order.target, order.period_s)
    return is_same and get_era(plan.order) < get_era(order.order)


def decode_plan(record: Record) -> RolloutPlan:
    """Return the plan in a record; raise DecodingError."""
    plan: RolloutPlan = decode_json(record.value, RolloutPlan)
    if record.key != PLAN_PREFIX + plan.service:
        raise DecodingError(f"the plan is of service {plan.service!r}")
    return plan


@singledispatch
def handle_message(message: Any, rollouts: Rollouts) -> None:
    """Handle a message."""
    raise TypeError(f"unsupported message: {message!r}")


@handle_message.register(RolloutOrdered)
def _(message: RolloutOrdered, rollouts: Rollouts) -> None:
    rollouts.handle_order(message)


@handle_message.register(StoreListed)
def _(message: StoreListed, rollouts: Rollouts) -> None:
    rollouts.handle_records(message.records, rollouts.clock.now())


@handle_message.register(StoreChanged)
def _(message: StoreChanged, rollouts: Rollouts) -> None:
    rollouts.handle_removals(message.removed)
    rollouts.handle_records(message.records, rollouts.clock.now())


@handle_message.register(VersionSuspected)
def _(message: VersionSuspected, rollouts: Rollouts) -> None:
    rollouts.handle_suspicion(message.service)


def setup(kernel: Kernel) -> None:
    """Register the service."""
    requires = ("settings", "metrics", "store", "membership")
    kernel.register(Registration(NAME, requires, Rollouts))
