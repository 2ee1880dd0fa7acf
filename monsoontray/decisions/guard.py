"""Decide which calls a backend server takes: exact slots and a short queue."""

from __future__ import annotations

from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import count
from typing import Any

from monsoontray.decisions.outcomes import Reason, Refusal, refuse_unrun
from monsoontray.decisions.servers import ServerRecord, ServerState


@dataclass(slots=True, frozen=True)
class Granted:
    """Say that a call holds a slot."""


@dataclass(slots=True, frozen=True)
class Queued:
    """Say that a call waits for a slot."""


class Waiting:
    """Hold a call that waits for a slot."""

    __slots__ = ("call", "deadline", "gone")

    def __init__(self, call: Any, deadline: float) -> None:
        self.call = call
        self.deadline = deadline
        self.gone = False


class GuardState:
    """Hold the slots and the queue of one backend server."""

    __slots__ = ("_order", "_queue", "in_use", "queue_limit", "record", "waiting")

    def __init__(self, record: ServerRecord, queue_limit: int) -> None:
        self.record = record
        self.queue_limit = queue_limit
        self.in_use = 0
        self.waiting: dict[Any, Waiting] = {}
        self._queue: list[tuple[int, float, int, Waiting]] = []
        self._order = count()

    def get_capacity(self) -> int:
        """Return how many calls may run at once."""
        return min(self.record.slots, self.record.connections)

    def request_slot(
        self, call: Any, deadline: float, priority: int
    ) -> Granted | Queued | Refusal:
        """Decide whether a call runs now, waits or is refused."""
        if self.record.state is ServerState.LEAVING:
            return refuse_unrun(Reason.SERVER_LEAVING)
        if self.in_use < self.get_capacity():
            self.in_use += 1
            return Granted()
        if len(self.waiting) >= self.queue_limit:
            return refuse_unrun(Reason.NO_SLOT)
        waiting = Waiting(call, deadline)
        self.waiting[call] = waiting
        heappush(self._queue, (priority, deadline, next(self._order), waiting))
        return Queued()

    def release_slot(self, now: float) -> Any | None:
        """Free a slot; return the waiting call that it passes to, if any."""
        self.in_use -= 1
        if self.in_use >= self.get_capacity():
            return None
        call = self._take_waiting(now)
        if call is not None:
            self.in_use += 1
        return call

    def forget_waiting(self, call: Any) -> bool:
        """Remove a call from the queue; say whether it was there."""
        waiting = self.waiting.pop(call, None)
        if waiting is None:
            return False
        waiting.gone = True
        return True

    def update_record(self, record: ServerRecord, now: float) -> list[Any]:
        """Take a changed announcement; return calls that get a slot by it."""
        self.record = record
        granted = []
        while self.in_use < self.get_capacity():
            call = self._take_waiting(now)
            if call is None:
                break
            self.in_use += 1
            granted.append(call)
        return granted

    def _take_waiting(self, now: float) -> Any | None:
        while self._queue:
            waiting = heappop(self._queue)[3]
            if waiting.gone or waiting.deadline <= now:
                continue
            del self.waiting[waiting.call]
            return waiting.call
        return None
