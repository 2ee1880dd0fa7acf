"""Records of the duty to report usage, and the steps of a node that holds it."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from monsoontray.decoding.values import (
    Bytes,
    Name,
    SequenceNumber,
    SocketAddress,
    Token,
)


class WindowUsage(Struct, frozen=True):
    """The counts that were recorded for a window."""

    window: SequenceNumber
    counts: dict[Name, Bytes]


class Ledger(Struct, frozen=True):
    """What was decided, whoever held the duty; kept without a lease."""

    token: SequenceNumber = 0  # given out last
    recorded: SequenceNumber = 0  # newest window whose counts are decided
    windows: Annotated[tuple[WindowUsage, ...], Meta(max_length=16)] = ()
    era: SequenceNumber = 0  # of the store, when the newest window was recorded


class Holder(Struct, frozen=True):
    """The node that holds the duty, as stored under its lease."""

    node: Name
    address: SocketAddress  # at which nodes tell their counts
    token: SequenceNumber
    lease_id: Token


class ReadDuty(Struct, frozen=True):
    """Step: read the holder and the ledger."""


class DutyRead(Struct, frozen=True):
    """Outcome of a read; a revision of 0 means that there is no record."""

    holder: Holder | None
    holder_revision: int
    ledger: Ledger
    ledger_revision: int


class GrantLease(Struct, frozen=True):
    """Step: obtain a lease to claim the duty with."""

    lifetime_s: float


class ClaimDuty(Struct, frozen=True):
    """Step: write holder and ledger if there is no holder and the ledger is known."""

    holder: Holder
    ledger: Ledger
    ledger_revision: int


class RenewLease(Struct, frozen=True):
    """Step: renew the lease of the duty."""

    lease_id: str
    lifetime_s: float


class RecordWindow(Struct, frozen=True):
    """Step: write the ledger if holder and ledger are as they are known."""

    ledger: Ledger
    holder_revision: int
    ledger_revision: int


class SendReport(Struct, frozen=True):
    """Step: send a recorded window, unless the deadline has passed."""

    usage: WindowUsage
    node: str
    token: int
    deadline: float


class ReportAccepted(Struct, frozen=True):
    """Outcome of a send that the platform has accepted."""


class ReportFailed(Struct, frozen=True):
    """Outcome of a send that failed or whose answer was lost."""
