"""Typed outcomes of calls to the platform's key-value service."""

from __future__ import annotations

import enum
from dataclasses import dataclass

#: The revision of a key that does not exist.
ABSENT = 0


@dataclass(slots=True, frozen=True)
class Record:
    """Hold a key's value and the revision that wrote it."""

    key: str
    revision: int  # ABSENT when the key does not exist
    value: bytes


@dataclass(slots=True, frozen=True)
class Lease:
    """Hold a granted lease."""

    lease_id: str
    deadline: float  # monotonic seconds, reckoned from before the request


@dataclass(slots=True, frozen=True)
class Done:
    """Say that a write took effect, at a revision."""

    revision: int


@dataclass(slots=True, frozen=True)
class Conflict:
    """Say that a write did not happen since the key had changed."""

    revision: int


class Cause(enum.Enum):
    """Name why a call was not done or why its outcome is unknown."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    OVERLOADED = "overloaded"
    TIMEOUT = "timeout"
    CONNECTION_LOST = "connection-lost"
    BAD_RESPONSE = "bad-response"
    LEASE_LAPSED = "lease-lapsed"


@dataclass(slots=True, frozen=True)
class NotDone:
    """Say that a call certainly had no effect."""

    cause: Cause


@dataclass(slots=True, frozen=True)
class Unknown:
    """Say that a call may have had its effect or not."""

    cause: Cause


@dataclass(slots=True, frozen=True)
class Unchanged:
    """Say that a watch ended without a change."""


@dataclass(slots=True, frozen=True)
class Put:
    """Describe one key to write, bound to a lease if one is named."""

    key: str
    value: bytes
    lease_id: str = ""


@dataclass(slots=True, frozen=True)
class Listing:
    """Hold the records below a prefix, and the revision to watch from."""

    records: tuple[Record, ...]
    revision: int


@dataclass(slots=True, frozen=True)
class Changes:
    """Hold what changed below a prefix, and the revision to watch from."""

    records: tuple[Record, ...]
    removed: tuple[Record, ...]  # their values are empty
    revision: int


@dataclass(slots=True, frozen=True)
class Compacted:
    """Say that the history which a watch asked for is gone."""


ReadOutcome = Record | NotDone
ListOutcome = Listing | NotDone
WriteOutcome = Done | Conflict | NotDone | Unknown
LeaseOutcome = Lease | NotDone | Unknown
WatchOutcome = Record | Unchanged | NotDone
WatchPrefixOutcome = Changes | Compacted | NotDone
