"""Which connections give way when a process holds too much for its callers."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from typing import Any

from msgspec import Struct

#: Share of the machine's memory that may be held for callers and servers.
HELD_SHARE = 0.4
#: What is held after connections gave way, as a share of the budget; the rest is room
#: for other callers.
RELIEVED_SHARE = 0.75
#: Smallest room, as a share of the budget, after which what is held is measured again.
MIN_ROOM_SHARE = 1 / 16
#: Descriptors that are kept for files, servers, other nodes and the store.
RESERVED_SHARE = 0.1
MIN_STALL_S = 0.01
BYTES_PER_MB = 1_048_576


class Wait(enum.IntEnum):
    """What a connection waits for; those with lower values give way first."""

    CLIENT = 0  # that it sends or reads more
    SLOT = 1  # at a server, none of which got a request of the connection
    SERVER = 2  # that it responds; a request may have run


class Holding(Struct, frozen=True):
    """What a process holds for one connection."""

    connection: Any
    cost: int  # bytes, without those of an idle connection
    moved_at: float  # when the other side last accepted or completed anything
    wait: Wait


def compute_budget(memory_mb: int) -> int:
    """Return how many bytes may be held on a machine with that memory."""
    return int(memory_mb * BYTES_PER_MB * HELD_SHARE)


def compute_room(budget: int, held: int) -> int:
    """Return how many bytes may come in until what is held is measured again."""
    return max(budget - held, int(budget * MIN_ROOM_SHARE))


def compute_connection_limit(max_descriptors: int) -> int:
    """Return how many descriptors connections of callers and to servers may use."""
    return max(1, int(max_descriptors * (1 - RESERVED_SHARE)))


def choose_for_memory(
    holdings: Iterable[Holding], budget: int, now: float
) -> list[Holding]:
    """Return the connections to give up: those that hold most and move least first.

    None gives way while the budget is kept.
    """
    costly = [each for each in holdings if each.cost > 0]
    excess = sum(each.cost for each in costly)
    if excess <= budget:
        return []
    excess -= int(budget * RELIEVED_SHARE)
    costly.sort(key=lambda each: (each.wait, -each.cost * _compute_stall(each, now)))
    chosen = []
    for each in costly:
        if excess <= 0:
            break
        excess -= each.cost
        chosen.append(each)
    return chosen


def choose_for_descriptors(
    holdings: Iterable[Holding], count: int, now: float
) -> list[Holding]:
    """Return the connections to close: those that have moved least, of their client.

    A connection whose request may be answered is never chosen.
    """
    waiting = [each for each in holdings if each.wait is Wait.CLIENT]
    waiting.sort(key=lambda each: each.moved_at)
    return waiting[:count]


def _compute_stall(holding: Holding, now: float) -> float:
    return max(now - holding.moved_at, MIN_STALL_S)
