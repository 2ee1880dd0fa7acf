"""Order of the calls that wait for a slot of a backend server."""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import Any

from msgspec import Struct

#: Each so many grants, the call that has waited longest goes first, whatever its
#: priority, so that no kind of call starves.
OLDEST_FIRST_INTERVAL = 8
USAGE_HALF_LIFE_S = 2.0  # of the calls that a customer has started
MAX_CUSTOMERS = 10_000  # whose usage is remembered


class SlotRequest(Struct, frozen=True):
    """Properties of a call that requests a slot."""

    deadline: float
    priority: int  # 0 is served first
    objective: float = math.inf  # time until which a response counts as on time
    route: str = ""
    may_wait: bool = True  # may be queued if no slot is free
    idempotent: bool = False
    nested: bool = False  # made by a server that holds a slot meanwhile
    customer: str = ""  # empty if there is none


class WaitingCall:
    """Call in the queue for a slot."""

    __slots__ = ("call", "latest_start", "request", "sequence", "start_deadline")

    def __init__(
        self,
        call: Any,
        request: SlotRequest,
        start_deadline: float,
        latest_start: float,
    ) -> None:
        self.call = call
        self.request = request
        self.start_deadline = start_deadline  # a later start would end too late
        self.latest_start = latest_start  # a later start would miss the objective
        self.sequence = 0

    def is_late(self, now: float) -> bool:
        """Return whether the call will miss its objective even if it starts now."""
        return not self.request.nested and now > self.latest_start


class CustomerUsage:
    """Calls that each customer has started lately, halved every few seconds."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: dict[str, tuple[float, float]] = {}

    def count(self, customer: str, now: float) -> None:
        """Count a call that a customer starts."""
        if not customer:
            return
        if customer not in self._counts and len(self._counts) >= MAX_CUSTOMERS:
            del self._counts[next(iter(self._counts))]
        self._counts[customer] = (self.get(customer, now) + 1.0, now)

    def get(self, customer: str, now: float) -> float:
        """Return the calls that a customer has started lately."""
        count, counted_at = self._counts.get(customer, (0.0, now))
        return count * 0.5 ** ((now - counted_at) / USAGE_HALF_LIFE_S)


Rank = tuple[bool, bool, int, float, float, float, int]


class WaitingCalls:
    """Calls that wait for a slot, and which of them gets the next one.

    Calls of running servers go first: each of them holds a slot elsewhere. Calls that
    miss their objective go last. Between these, priority decides, then the customer
    that has started fewer calls lately, then the objective.
    """

    __slots__ = ("_calls", "_grants", "_sequence", "usage")

    def __init__(self) -> None:
        self._calls: dict[Any, WaitingCall] = {}
        self._grants = 0
        self._sequence = 0
        self.usage = CustomerUsage()

    def __len__(self) -> int:
        return len(self._calls)

    def __iter__(self) -> Iterator[Any]:
        return iter(self._calls)

    def __contains__(self, call: object) -> bool:
        return call in self._calls

    def add(self, waiting: WaitingCall) -> None:
        """Add a call."""
        self._sequence += 1
        waiting.sequence = self._sequence
        self._calls[waiting.call] = waiting

    def remove(self, call: Any) -> bool:
        """Remove a call; return whether it waited."""
        return self._calls.pop(call, None) is not None

    def pop_overdue(self, now: float) -> Any | None:
        """Remove and return a call that would end after its deadline, if any."""
        for waiting in self._calls.values():
            if waiting.start_deadline <= now:
                del self._calls[waiting.call]
                return waiting.call
        return None

    def pop_next(self, now: float, with_late: bool = True) -> WaitingCall | None:
        """Remove and return the call that gets the next slot, if any.

        Overdue calls stay until they are refused.
        """
        usable = [
            each
            for each in self._calls.values()
            if each.start_deadline > now and (with_late or not each.is_late(now))
        ]
        if not usable:
            return None
        self._grants += 1
        on_time = [each for each in usable if not each.is_late(now)]
        if on_time and self._grants % OLDEST_FIRST_INTERVAL == 0:
            chosen = min(on_time, key=lambda each: each.sequence)
        else:
            chosen = min(usable, key=lambda each: self._rank(each, now))
        del self._calls[chosen.call]
        return chosen

    def count_ahead(self, waiting: WaitingCall, now: float) -> int:
        """Return how many calls would get a slot before another one."""
        if not self._calls:
            return 0
        urgency = _find_urgency(waiting, now)
        ahead = peers = 0
        for each in self._calls.values():
            # A call that overtook others of its urgency would make these late.
            ahead += _find_urgency(each, now) <= urgency
            peers += each.request.priority == waiting.request.priority
        if waiting.is_late(now):
            return ahead
        return min(ahead, OLDEST_FIRST_INTERVAL * (peers + 1) - 1)

    def count_on_time(self, now: float) -> int:
        """Return how many calls can still be answered by their objective."""
        return sum(not each.is_late(now) for each in self._calls.values())

    def displace_late(self, now: float) -> bool:
        """Let the late call of the lowest rank be refused; return whether one was."""
        late = [
            each
            for each in self._calls.values()
            if each.is_late(now) and each.start_deadline > now
        ]
        if not late:
            return False
        max(late, key=lambda each: self._rank(each, now)).start_deadline = -math.inf
        return True

    def _rank(self, waiting: WaitingCall, now: float) -> Rank:
        request = waiting.request
        return (
            *_find_urgency(waiting, now),
            self.usage.get(request.customer, now),
            request.objective,
            request.deadline,
            waiting.sequence,
        )


def _find_urgency(waiting: WaitingCall, now: float) -> tuple[bool, bool, int]:
    request = waiting.request
    return waiting.is_late(now), not request.nested, request.priority
