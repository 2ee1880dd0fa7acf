"""Admission of calls to a backend server: slots and a short queue."""

from __future__ import annotations

import math
from collections.abc import Collection
from typing import Any

from msgspec import Struct
from msgspec.structs import replace

from monsoontray.decisions.capacity import Capacity
from monsoontray.decisions.cold import ColdLimits, ColdWindow
from monsoontray.decisions.fallible_capacity import FallibleCapacity
from monsoontray.decisions.outcomes import Ran, Reason, Refusal, refuse_not_run
from monsoontray.decisions.pace import Pace
from monsoontray.decisions.rollouts import VersionSuspicion
from monsoontray.decisions.servers import (
    LoadReport,
    ServerRecord,
    ServerState,
    update_failure_rate,
)
from monsoontray.decisions.waiting import SlotRequest, WaitingCall, WaitingCalls

SERVICE_TIME_WEIGHT = 0.1  # of the latest call in the moving average
MIN_SERVICE_TIME_SHARE = 0.7  # of the mean; the least that a call is assumed to take
#: A call that will miss its objective is queued only if it is expected to end within
#: this share of the time until its deadline.
LATE_WAIT_SHARE = 0.6
#: A call counts as on time if it would be even when it takes this many times the mean.
#: With the mean itself, the queue of an overloaded server grows until half of the
#: calls end just after their objective.
ON_TIME_RUN_TIMES = 1.6
#: After this many consecutive failures a server gets no call that another server can
#: run. If two of five calls fail, five in a row fail with a probability of 1 %.
FAILURE_THRESHOLD = 5
#: Interval of the calls that a failing server still gets, so that its recovery is
#: noticed. Idempotent calls are used; others only after a longer time without a probe.
PROBE_INTERVAL_S = 0.25
WRITE_PROBE_INTERVAL_S = 1.0
#: One slot is kept for calls that can be on time, if one has come in this time. A
#: server that is full of late calls would make the next ones late as well.
KEPT_SLOT_S = 0.5
RECHECK_INTERVAL_S = 0.1  # between two checks of the queued calls
MIN_RECHECK_INTERVAL_S = 0.005
#: A server that responded within this time has not restarted since: in the
#: deployments a restart takes at least a second.
RECENT_RESPONSE_S = 0.5


class Granted(Struct, frozen=True):
    """Outcome of a request for a slot: the call has one."""


class Queued(Struct, frozen=True):
    """Outcome of a request for a slot: the call is queued."""


class GuardState:
    """Slots and queue of one backend server."""

    __slots__ = (
        "_cold",
        "_last_on_time_at",
        "busy_refusals",
        "capacity",
        "closed_reason",
        "confirmed",
        "consecutive_failures",
        "ended_calls",
        "failure_rate",
        "in_use",
        "last_probe_at",
        "last_response_at",
        "pace",
        "queue_limit",
        "record",
        "run_times",
        "service_s",
        "suspicion",
        "waiting",
    )

    def __init__(
        self,
        record: ServerRecord,
        queue_limit: int,
        cold: ColdLimits | None = None,
        cold_start_at: float = -math.inf,
        capacity: Capacity | FallibleCapacity | None = None,
    ) -> None:
        self.record = record
        self.capacity = capacity  # what the server takes; None: as it announces
        self.queue_limit = queue_limit
        self.in_use = 0
        self.waiting = WaitingCalls()
        self.service_s = 0.0  # mean time that the server takes for a call
        self.run_times: dict[str, float] = {}  # the same by route
        self.closed_reason: Reason | None = None  # why every call is refused
        #: Whether the server has announced itself since a failure that may have been
        #: a restart. An unconfirmed server is treated as cold.
        self.confirmed = True
        self.last_response_at = -math.inf
        self.pace: Pace | None = None  # while the server names a limit
        self.failure_rate = 0.0  # moving average
        self.consecutive_failures = 0
        self.ended_calls = 0
        self.busy_refusals = 0  # calls refused because no slot was free
        self.last_probe_at = -math.inf
        self.suspicion = VersionSuspicion()
        self._cold = ColdWindow(cold or ColdLimits(), cold_start_at)
        #: When a call that can still be on time last asked for a slot.
        self._last_on_time_at = -math.inf

    @property
    def is_leaving(self) -> bool:
        """Return whether the server takes no new calls because it leaves."""
        return self.record.state is ServerState.LEAVING

    def mark_leaving(self) -> None:
        """Refuse new calls, because the server has said that it leaves."""
        self.record = replace(self.record, state=ServerState.LEAVING)

    def get_capacity(self) -> int:
        """Return how many calls may run at once."""
        slots = min(self.record.slots, self.record.connections)
        if self.capacity is None:
            return slots
        return min(slots, self.capacity.get_limit())

    def responded_recently(self, now: float) -> bool:
        """Return whether the server responded too recently to have restarted."""
        return now - self.last_response_at < RECENT_RESPONSE_S

    def is_cold(self, now: float) -> bool:
        """Return whether the server is cold or must be treated as cold."""
        if not self.record.cold_per_s:
            return False
        return not self.confirmed or now < self.record.cold_until

    def report_load(self, now: float, route: str = "") -> LoadReport:
        """Return the load that other nodes choose servers by, for calls of a route."""
        slots = min(self.record.slots, self.record.connections)
        if self.capacity is not None:
            slots = min(slots, self.capacity.get_learned_limit())
        if self.is_cold(now):
            slots = max(1, min(slots, int(self.record.cold_per_s * self.service_s)))
        calls = self.in_use + len(self.waiting)
        if self.pace is not None:
            slots = max(1, min(slots, int(self.pace.per_s * self.service_s)))
            if not self._is_within_pace(now):
                calls = max(calls, slots)
        run_s = self.run_times.get(route, 0.0)
        wait_s = 0.0
        if calls >= slots:
            ahead = self.waiting.count_on_time(now)
            wait_s = self.service_s * (ahead + 1) / max(1, slots)
        return LoadReport(
            calls, slots, self.service_s, self.failure_rate, run_s, wait_s
        )

    def request_slot(
        self, call: Any, request: SlotRequest, now: float = 0.0
    ) -> Granted | Queued | Refusal:
        """Decide whether a call runs now, is queued or is refused.

        A call that will miss its objective is queued behind the calls that will not,
        and refused if it would wait long. Otherwise an overloaded server would answer
        every call late.
        """
        if self.is_leaving:
            return refuse_not_run(Reason.SERVER_LEAVING)
        if self.closed_reason is not None:
            return refuse_not_run(self.closed_reason)
        if now >= request.deadline:
            return refuse_not_run(Reason.DEADLINE_PASSED)
        if not request.may_wait and self._should_divert(request.idempotent, now):
            load = self.report_load(now, request.route)
            return Refusal(Reason.SERVER_FAILING, Ran.NOT_RUN, PROBE_INTERVAL_S, load)
        if not self._is_within_cold_limit(now):
            return Refusal(
                Reason.SERVER_COLD, Ran.NOT_RUN, self._cold.compute_wait(now)
            )
        must_queue = self.pace is not None and (
            bool(self.waiting) or not self._is_within_pace(now)
        )
        must_queue = must_queue or self._gives_way(request, now)
        if self.in_use < self.get_capacity() and not must_queue:
            self._start(call, request, now)
            return Granted()
        if not request.may_wait and self.pace is not None:
            load = self.report_load(now, request.route)
            wait_s = self.pace.compute_wait(now)
            return Refusal(Reason.SERVER_LIMITED, Ran.NOT_RUN, wait_s, load)
        if not request.may_wait:
            self.busy_refusals += 1
            wait_s = self.service_s / max(1, self.get_capacity())
            load = self.report_load(now, request.route)
            return Refusal(Reason.SLOTS_BUSY, Ran.NOT_RUN, wait_s, load)
        return self._queue(call, request, now)

    def record_sent(self, call: Any, now: float) -> None:
        """Record that the request of a call that holds a slot is sent."""
        self._cold.remove_unsent(call)
        if self.record.cold_per_s:
            self._cold.count_sent(now)

    def record_unsent(self, call: Any, now: float = 0.0) -> None:
        """Record that a call gives up its slot, perhaps without having been sent."""
        self._cold.remove_unsent(call)
        if self.capacity is not None:
            self.capacity.end(call, now)

    def release_slot(self, now: float) -> Any | None:
        """Release a slot; return the queued call that gets it, if any."""
        self.in_use -= 1
        return self.grant_waiting(now)

    def grant_waiting(self, now: float) -> Any | None:
        """Grant a free slot to a queued call and return the call, if any."""
        if self.is_leaving or self.in_use >= self.get_capacity():
            return None
        if not (self._is_within_cold_limit(now) and self._is_within_pace(now)):
            return None
        waiting = self.waiting.pop_next(now, self._has_room_for_late(now))
        if waiting is None:
            return None
        self._start(waiting.call, waiting.request, now)
        return waiting.call

    def pop_overdue(self, now: float) -> Any | None:
        """Remove and return a queued call that would end after its deadline, if any."""
        return self.waiting.pop_overdue(now)

    def remove_waiting(self, call: Any) -> bool:
        """Remove a call from the queue; return whether it was queued."""
        return self.waiting.remove(call)

    def record_result(self, seconds: float, failed: bool, route: str = "") -> None:
        """Count a call that ended and the time that the server took for it."""
        self.ended_calls += 1
        self.failure_rate = update_failure_rate(self.failure_rate, failed)
        self.consecutive_failures = self.consecutive_failures + 1 if failed else 0
        if failed:
            return  # the time of a failed call says nothing about the others
        mean_s = self.service_s or seconds
        self.service_s = mean_s + (seconds - mean_s) * SERVICE_TIME_WEIGHT
        mean_s = self.run_times.get(route, seconds)
        self.run_times[route] = mean_s + (seconds - mean_s) * SERVICE_TIME_WEIGHT

    def describe_slowing(self) -> float | None:
        """Return the learned elasticity of the calls' time; None if not learned."""
        estimate = None if self.capacity is None else self.capacity.get_estimate()
        return None if estimate is None else round(estimate.elasticity, 2)

    def observe_capacity(
        self, call: Any, route: str, seconds: float, now: float
    ) -> None:
        """Learn what the server takes from a call that succeeded."""
        if self.capacity is not None and not self.is_cold(now):
            self.capacity.observe(call, route, seconds, now)

    def remove_routes_except(self, routes: Collection[str]) -> None:
        """Remove the times of routes that are not listed."""
        if self.capacity is not None:
            self.capacity.remove_routes_except(routes)
        for route in self.run_times.keys() - routes:
            del self.run_times[route]

    def update_record(self, record: ServerRecord, now: float) -> list[Any]:
        """Store a changed record; return the queued calls that get a slot."""
        is_restarted = record.born != self.record.born
        if is_restarted:
            self.pace = None
        self.record = record
        if self.capacity is not None:
            self.capacity.update(min(record.slots, record.connections), is_restarted)
        granted = []
        while (call := self.grant_waiting(now)) is not None:
            granted.append(call)
        return granted

    def set_limit(self, per_s: float | None, now: float) -> bool:
        """Set the calls a second that the server takes; return whether they changed."""
        pace = self.pace
        if per_s is None:
            self.pace = None
            return pace is not None
        if pace is None:
            self.pace = Pace(per_s, now)
            return True
        old_per_s = pace.per_s
        pace.set_rate(per_s, now)
        return pace.per_s != old_per_s

    def compute_recheck_delay(self, now: float) -> float:
        """Return the seconds until a queued call may get a slot without an end."""
        if self.pace is None:
            return RECHECK_INTERVAL_S
        wait_s = max(self.pace.compute_wait(now), MIN_RECHECK_INTERVAL_S)
        return min(wait_s, RECHECK_INTERVAL_S)

    def _queue(self, call: Any, request: SlotRequest, now: float) -> Queued | Refusal:
        """Queue a call, unless it would end too late or the queue is full."""
        run_s = self.run_times.get(request.route, self.service_s)
        min_run_s = MIN_SERVICE_TIME_SHARE * run_s
        waiting = WaitingCall(
            call,
            request,
            request.deadline - min_run_s,
            request.objective - ON_TIME_RUN_TIMES * run_s,
        )
        wait_s = self._estimate_wait(waiting, now)
        remaining_s = request.deadline - now
        if not request.nested and now + wait_s > waiting.latest_start:
            waiting.latest_start = -math.inf
            wait_s = self._estimate_wait(waiting, now)
            remaining_s *= LATE_WAIT_SHARE
        is_full = len(self.waiting) >= self.queue_limit
        if is_full and not waiting.is_late(now):
            is_full = not self.waiting.displace_late(now)
        if is_full or wait_s + min_run_s > remaining_s:
            load = self.report_load(now, request.route)
            return Refusal(Reason.NO_SLOT, Ran.NOT_RUN, wait_s, load)
        self.waiting.add(waiting)
        return Queued()

    def _gives_way(self, request: SlotRequest, now: float) -> bool:
        """Return whether a call is late, and the free slot is kept for others."""
        run_s = self.run_times.get(request.route, self.service_s)
        if request.nested or now + run_s <= request.objective:
            self._last_on_time_at = now
            return False
        return not self._has_room_for_late(now)

    def _has_room_for_late(self, now: float) -> bool:
        """Return whether a late call may take a slot.

        In a trial of more calls than the server takes well, late ones would slow down
        those that can be on time.
        """
        capacity = self.get_capacity()
        if self.capacity is not None:
            capacity = min(capacity, self.capacity.get_learned_limit())
        if capacity == 1 or now - self._last_on_time_at > KEPT_SLOT_S:
            return True
        return self.in_use < capacity - 1

    def _start(self, call: Any, request: SlotRequest, now: float) -> None:
        self.in_use += 1
        self.waiting.usage.count(request.customer, now)
        self._cold.add_unsent(call)
        if self.capacity is not None:
            self.capacity.start(call, now)
        if self.pace is not None:
            self.pace.count_start(now)

    def _should_divert(self, idempotent: bool, now: float) -> bool:
        """Return whether to refuse a call because the server is failing.

        If a probe is due, the call is counted as the probe and accepted.
        """
        if self.consecutive_failures < FAILURE_THRESHOLD:
            return False
        interval_s = PROBE_INTERVAL_S if idempotent else WRITE_PROBE_INTERVAL_S
        if now - self.last_probe_at < interval_s:
            return True
        self.last_probe_at = now
        return False

    def _is_within_pace(self, now: float) -> bool:
        return self.pace is None or self.pace.compute_wait(now) <= 0.0

    def _is_within_cold_limit(self, now: float) -> bool:
        if not self.is_cold(now):
            return True
        return self._cold.allows(self.record.cold_per_s, now)

    def _estimate_wait(self, waiting: WaitingCall, now: float) -> float:
        """Return the seconds that a call would be queued."""
        calls_ahead = self.waiting.count_ahead(waiting, now)
        wait_s = self.service_s * (calls_ahead + 1) / max(1, self.get_capacity())
        if self.pace is None:
            return wait_s
        return max(wait_s, (calls_ahead + 1) / self.pace.per_s)
