"""What the stand-in of the store holds, and the shapes of its calls."""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Any

import msgspec


class Faults(msgspec.Struct):
    """Faults in force; all off by default."""

    out: bool = False  # connections are cut without an answer
    silent: bool = False  # nothing is answered
    busy: bool = False  # every call is refused with 503
    latency_ms: float = 0.0
    lose_answers: bool = False  # writes take effect, their answers are lost
    late_ms: float = 0.0  # writes take effect so much later, their answers are lost
    stale: bool = False  # reads that allow it show what there was when this was set
    writes_per_s: float = 0.0  # 0 means no limit
    reads_per_s: float = 0.0


class WriteCondition(msgspec.Struct):
    """One condition of a write."""

    key: str
    revision: int


class PutRequest(msgspec.Struct):
    """One key that a write sets."""

    key: str
    value: str
    lease: int = 0


class WriteRequest(msgspec.Struct):
    """Body of a write."""

    expect: list[WriteCondition] = []
    puts: list[PutRequest] = []
    remove: list[str] = []


class LeaseRequest(msgspec.Struct):
    """Body of a grant."""

    ttl_s_time: float


@dataclass(slots=True)
class Entry:
    """Hold a key."""

    revision: int
    created: int
    value: str
    lease: int


@dataclass(slots=True)
class Lease:
    """Hold a lease."""

    lifetime_s: float
    deadline: float


@dataclass(slots=True)
class StoreState:
    """Hold keys, leases, history, counts and waiting watches."""

    entries: dict[str, Entry] = field(default_factory=dict)
    leases: dict[int, Lease] = field(default_factory=dict)
    revision: int = 1
    oldest_revision: int = 1  # the revision from which the history is complete
    history: deque[tuple[float, dict[str, Any]]] = field(default_factory=deque)
    counts: Counter[str] = field(default_factory=Counter)
    calls: deque[tuple[float, str]] = field(default_factory=deque)
    faults: Faults = field(default_factory=Faults)
    delayed_writes: set[asyncio.Task[None]] = field(default_factory=set)
    stale_entries: dict[str, Entry] = field(default_factory=dict)
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)
    lease_ids: itertools.count[int] = field(default_factory=lambda: itertools.count(1))
