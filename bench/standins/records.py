"""State of the store stand-in and schemas of its requests."""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Any

import msgspec


class Faults(msgspec.Struct):
    """Active faults; all off by default."""

    out: bool = False  # connections are cut without a response
    silent: bool = False  # calls are never answered
    busy: bool = False  # every call is refused with 503
    latency_ms: float = 0.0
    lose_answers: bool = False  # writes take effect, without a response
    late_ms: float = 0.0  # writes take effect after this delay, without a response
    late_share: float = 1.0  # of the writes for which this holds
    stale: bool = False  # reads that allow it return the state when this was set
    writes_per_s: float = 0.0  # 0 means no limit
    reads_per_s: float = 0.0


class WriteCondition(msgspec.Struct):
    """Condition of a write: the key must have this revision, 0 if absent."""

    key: str
    revision: int


class PutRequest(msgspec.Struct):
    """A key that a write sets; the value is base64."""

    key: str
    value: str
    lease: int = 0


class WriteRequest(msgspec.Struct):
    """Write: all changes are made if all conditions hold, else none."""

    expect: list[WriteCondition] = []
    puts: list[PutRequest] = []
    remove: list[str] = []


class LeaseRequest(msgspec.Struct):
    """Request for a lease."""

    ttl_s_time: float


@dataclass(slots=True)
class Entry:
    """Value and revisions of a key; lease 0 means none."""

    revision: int
    created_revision: int
    value: str
    lease_id: int


@dataclass(slots=True)
class Lease:
    """Lifetime of a lease and the time at which it expires."""

    lifetime_s: float
    deadline: float


@dataclass(slots=True)
class StoreState:
    """Keys, leases, event history, call counts and active faults of the store."""

    entries: dict[str, Entry] = field(default_factory=dict)
    leases: dict[int, Lease] = field(default_factory=dict)
    revision: int = 1
    compacted_revision: int = 1  # later events are all in the history
    history: deque[tuple[float, dict[str, Any]]] = field(default_factory=deque)
    call_counts: Counter[str] = field(default_factory=Counter)
    recent_calls: deque[tuple[float, str]] = field(default_factory=deque)
    faults: Faults = field(default_factory=Faults)
    late_count: float = 0.0  # writes that should have been late, and weren't
    delayed_writes: set[asyncio.Task[None]] = field(default_factory=set)
    stale_entries: dict[str, Entry] = field(default_factory=dict)
    era: int = 0  # rises when the store comes back from its copy
    copy: tuple[dict[str, Entry], dict[int, Lease], int] | None = None
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)
    new_lease_ids: itertools.count[int] = field(
        default_factory=lambda: itertools.count(1)
    )
