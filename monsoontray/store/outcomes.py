"""Outcomes of calls to the platform's key-value service."""

from __future__ import annotations

import enum

from msgspec import Struct

#: Revision of a key that does not exist.
ABSENT = 0


class Record(Struct, frozen=True):
    """The value of a key and the revision that wrote it."""

    key: str
    revision: int  # ABSENT if the key does not exist
    value: bytes


class Lease(Struct, frozen=True):
    """A granted or renewed lease."""

    lease_id: str
    deadline: float  # monotonic seconds: time before the request plus the lifetime
    era: int = 0  # of the store


class Done(Struct, frozen=True):
    """Outcome of a write that took effect."""

    revision: int


class Conflict(Struct, frozen=True):
    """Outcome of a write that found a key at another revision and had no effect."""

    revision: int  # highest revision that the store reported
    records: tuple[Record, ...] = ()  # those of the keys that exist


class Cause(enum.Enum):
    """Why a call had no effect or its outcome is unknown."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    OVERLOADED = "overloaded"
    TIMEOUT = "timeout"
    CONNECTION_LOST = "connection-lost"
    BAD_RESPONSE = "bad-response"
    LEASE_EXPIRED = "lease-lapsed"
    ERA_ENDED = "era-ended"  # the store came back from a copy meanwhile


class NotDone(Struct, frozen=True):
    """Outcome of a call that certainly had no effect."""

    cause: Cause


class Unknown(Struct, frozen=True):
    """Outcome of a call that may or may not have taken effect."""

    cause: Cause


class Unchanged(Struct, frozen=True):
    """Outcome of a watch that ended without a change."""


class Put(Struct, frozen=True):
    """One key to write, bound to a lease if one is given."""

    key: str
    value: bytes
    lease_id: str = ""


class Listing(Struct, frozen=True):
    """The records with a key prefix, and the revision to watch from."""

    records: tuple[Record, ...]
    revision: int


class Changes(Struct, frozen=True):
    """Changes to keys with a prefix, and the revision to watch from."""

    records: tuple[Record, ...]
    removed: tuple[Record, ...]  # their values are empty
    revision: int


class Compacted(Struct, frozen=True):
    """Outcome of a watch whose start revision was compacted; list the prefix again."""


ReadOutcome = Record | NotDone
ListOutcome = Listing | NotDone
WriteOutcome = Done | Conflict | NotDone | Unknown
LeaseOutcome = Lease | NotDone | Unknown
WatchOutcome = Record | Unchanged | NotDone
WatchPrefixOutcome = Changes | Compacted | NotDone
