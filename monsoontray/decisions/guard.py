"""Decide which calls a backend server takes: exact slots and a short queue."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import count
from typing import Any

from monsoontray.decisions.outcomes import Ran, Reason, Refusal, refuse_not_run
from monsoontray.decisions.rollouts import VersionSuspicion
from monsoontray.decisions.servers import (
    LoadReport,
    ServerRecord,
    ServerState,
    update_failure_rate,
)

COLD_WINDOW_S = 1.05  # a cold server's bound holds for each second; some to spare
COLD_LIMIT_SHARE = 0.95  # of the bound: calls may take unequal times to arrive
#: Share of the bound in a guard's first window, into which calls of a former process
#: of the node may reach.
FIRST_COLD_LIMIT_SHARE = 0.8
SERVICE_TIME_WEIGHT = 0.1  # of the latest call in the mean service time
MIN_SERVICE_TIME_SHARE = 0.7  # of the mean service time that a call needs at least
LATE_WAIT_SHARE = 0.6  # of the time left that a call which would be late may still take
#: Failed calls in a row from which a server is offered no call that can go elsewhere:
#: one that fails two calls of five does so in one case of a hundred.
FAILURE_THRESHOLD = 5
#: Time between two calls that a failing server still gets, to see it recover: calls
#: that may be repeated, and others where those do not come.
PROBE_INTERVAL_S = 0.25
WRITE_PROBE_INTERVAL_S = 1.0
RECHECK_INTERVAL_S = 0.1  # time after which waiting calls are looked at again
#: A server that was heard of later than this has not started anew since: the
#: shortest time without a server in the deployments is a second.
RECENT_RESPONSE_S = 0.5


@dataclass(slots=True, frozen=True)
class ColdLimits:
    """Bound what a cold server gets."""

    factor: float = 1.0  # of the rate that it says it bears
    slack: float = 0.0  # calls a second besides


@dataclass(slots=True, frozen=True)
class Granted:
    """Say that a call holds a slot."""


@dataclass(slots=True, frozen=True)
class Queued:
    """Say that a call waits for a slot."""


@dataclass(slots=True, frozen=True)
class SlotRequest:
    """Describe a call that asks for a slot."""

    deadline: float
    priority: int  # 0 goes first
    objective: float = math.inf  # until when its answer counts as on time
    route: str = ""
    may_wait: bool = True  # where no slot is free
    idempotent: bool = False


class WaitingCall:
    """Hold a call that waits for a slot."""

    __slots__ = ("call", "deadline", "rank", "removed")

    def __init__(self, call: Any, deadline: float, rank: tuple[bool, int]) -> None:
        self.call = call
        self.deadline = deadline
        self.rank = rank  # late ones last, then by priority
        self.removed = False


class GuardState:
    """Hold the slots and the queue of one backend server."""

    __slots__ = (
        "_cold",
        "_first_cold_at",
        "_queue",
        "_sequence",
        "_start_times",
        "closed_reason",
        "confirmed",
        "consecutive_failures",
        "failure_rate",
        "in_use",
        "last_probe_at",
        "last_response_at",
        "queue_limit",
        "record",
        "service_s",
        "suspicion",
        "waiting",
    )

    def __init__(
        self, record: ServerRecord, queue_limit: int, cold: ColdLimits | None = None
    ) -> None:
        self.record = record
        self.queue_limit = queue_limit
        self.in_use = 0
        self.waiting: dict[Any, WaitingCall] = {}
        self.service_s = 0.0  # mean time that the server needs for one call
        self.closed_reason: Reason | None = None  # why nothing at all is passed on
        #: Whether the server announced itself since it was last in doubt. Until
        #: then it is treated as cold, since it may have started anew.
        self.confirmed = True
        self.last_response_at = -math.inf  # when the server sent a response last
        self.failure_rate = (
            0.0  # share of the calls that fail, the latest counting most
        )
        self.consecutive_failures = 0  # in a row
        self.last_probe_at = -math.inf
        self.suspicion = VersionSuspicion()
        self._cold = cold or ColdLimits()
        self._start_times: deque[float] = deque()
        self._first_cold_at: float | None = (
            None  # when a cold server was first asked for
        )
        self._queue: list[tuple[tuple[bool, int], float, int, WaitingCall]] = []
        self._sequence = count()

    def get_capacity(self) -> int:
        """Return how many calls may run at once."""
        return min(self.record.slots, self.record.connections)

    def responded_recently(self, now: float) -> bool:
        """Say whether the server responded a short time ago."""
        return now - self.last_response_at < RECENT_RESPONSE_S

    def is_cold(self, now: float) -> bool:
        """Say whether the server bears little now."""
        if not self.record.cold_per_s:
            return False
        return not self.confirmed or now < self.record.cold_until

    def report_load(self, now: float) -> LoadReport:
        """Return the load for other nodes to choose by."""
        slots = self.get_capacity()
        if self.is_cold(now):
            slots = max(1, min(slots, int(self.record.cold_per_s * self.service_s)))
        calls = self.in_use + len(self.waiting)
        return LoadReport(calls, slots, self.service_s, self.failure_rate)

    def request_slot(
        self, call: Any, request: SlotRequest, now: float = 0.0
    ) -> Granted | Queued | Refusal:
        """Decide whether a call runs now, waits or is refused.

        A call that can't be answered by its objective waits behind all that can, and
        not if it would take long: a server that is behind would else answer all late.
        """
        if self.record.state is ServerState.LEAVING:
            return refuse_not_run(Reason.SERVER_LEAVING)
        if self.closed_reason is not None:
            return refuse_not_run(self.closed_reason)
        if not request.may_wait and self._should_divert(request.idempotent, now):
            load = self.report_load(now)
            return Refusal(Reason.SERVER_FAILING, Ran.NOT_RUN, PROBE_INTERVAL_S, load)
        if not self._is_within_cold_limit(now):
            return Refusal(
                Reason.SERVER_COLD, Ran.NOT_RUN, self._compute_cold_wait(now)
            )
        if self.in_use < self.get_capacity():
            self._start(now)
            return Granted()
        if not request.may_wait:
            wait_s = self.service_s / self.get_capacity()
            load = self.report_load(now)
            return Refusal(Reason.SLOTS_BUSY, Ran.NOT_RUN, wait_s, load)
        run_s = self.suspicion.means.get(request.route, self.service_s)
        rank = (False, request.priority)
        wait_s = self._estimate_wait(rank)
        left_s = request.deadline - now
        if now + wait_s + run_s > request.objective:
            rank = (True, request.priority)
            wait_s = self._estimate_wait(rank)
            left_s *= LATE_WAIT_SHARE
        needed_s = wait_s + MIN_SERVICE_TIME_SHARE * run_s
        if len(self.waiting) >= self.queue_limit or needed_s > left_s:
            load = self.report_load(now)
            return Refusal(Reason.NO_SLOT, Ran.NOT_RUN, wait_s, load)
        waiting = WaitingCall(call, request.deadline, rank)
        self.waiting[call] = waiting
        heappush(self._queue, (rank, request.deadline, next(self._sequence), waiting))
        return Queued()

    def release_slot(self, now: float) -> Any | None:
        """Free a slot; return the waiting call that it passes to, if any."""
        self.in_use -= 1
        return self.grant_waiting(now)

    def grant_waiting(self, now: float) -> Any | None:
        """Return a waiting call that gets a free slot, if any."""
        if self.in_use >= self.get_capacity() or not self._is_within_cold_limit(now):
            return None
        call = self._pop_waiting(now)
        if call is not None:
            self._start(now)
        return call

    def remove_waiting(self, call: Any) -> bool:
        """Remove a call from the queue; say whether it was there."""
        waiting = self.waiting.pop(call, None)
        if waiting is None:
            return False
        waiting.removed = True
        return True

    def record_result(self, seconds: float, failed: bool) -> None:
        """Take how a call has ended and the time that the server needed for it."""
        self.failure_rate = update_failure_rate(self.failure_rate, failed)
        self.consecutive_failures = self.consecutive_failures + 1 if failed else 0
        if failed:
            return  # it tells nothing of the time that calls need
        if not self.service_s:
            self.service_s = seconds
        self.service_s += (seconds - self.service_s) * SERVICE_TIME_WEIGHT

    def update_record(self, record: ServerRecord, now: float) -> list[Any]:
        """Take a changed announcement; return calls that get a slot by it."""
        self.record = record
        granted = []
        while (call := self.grant_waiting(now)) is not None:
            granted.append(call)
        return granted

    def _start(self, now: float) -> None:
        self.in_use += 1
        if self.record.cold_per_s:
            self._start_times.append(now)
            self._drop_old_start_times(now)

    def _should_divert(self, idempotent: bool, now: float) -> bool:
        """Say whether the server fails and needs no further call to show it."""
        if self.consecutive_failures < FAILURE_THRESHOLD:
            return False
        pause_s = PROBE_INTERVAL_S if idempotent else WRITE_PROBE_INTERVAL_S
        if now - self.last_probe_at < pause_s:
            return True
        self.last_probe_at = now
        return False

    def _is_within_cold_limit(self, now: float) -> bool:
        if not self.is_cold(now):
            return True
        self._drop_old_start_times(now)
        bound = self.record.cold_per_s * self._cold.factor + self._cold.slack
        if self._first_cold_at is None:
            self._first_cold_at = now
        is_first = now - self._first_cold_at < COLD_WINDOW_S
        limit = bound * (FIRST_COLD_LIMIT_SHARE if is_first else COLD_LIMIT_SHARE)
        return len(self._start_times) + 1 <= limit

    def _compute_cold_wait(self, now: float) -> float:
        """Return the time until the server bears a further call."""
        return (
            self._start_times[0] + COLD_WINDOW_S - now
            if self._start_times
            else COLD_WINDOW_S
        )

    def _drop_old_start_times(self, now: float) -> None:
        while self._start_times and self._start_times[0] + COLD_WINDOW_S <= now:
            self._start_times.popleft()

    def _estimate_wait(self, rank: tuple[bool, int]) -> float:
        """Return how long a call would wait behind those that go before it."""
        before = sum(1 for waiting in self.waiting.values() if waiting.rank <= rank)
        return self.service_s * (before + 1) / max(1, self.get_capacity())

    def _pop_waiting(self, now: float) -> Any | None:
        while self._queue:
            waiting = heappop(self._queue)[3]
            if waiting.removed or waiting.deadline <= now:
                continue
            del self.waiting[waiting.call]
            return waiting.call
        return None
