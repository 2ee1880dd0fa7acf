"""Messages about usage."""

from __future__ import annotations

from msgspec import Struct

from monsoontray.decisions.duty_steps import Holder
from monsoontray.decisions.usage import Counts
from monsoontray.kernel.mailbox import Reply


class TakeUsage(Struct, frozen=True):
    """Ask for the calls counted since the last time; sets the time that they use."""

    offset: float  # seconds of true time beyond the steady clock


class UsageCounted(Struct, frozen=True):
    """Report calls of the local server by window and customer."""

    counts: dict[int, Counts]
    counted_until: float  # monotonic seconds


class UsageTold(Struct, frozen=True):
    """Report the sums of another node; answered once they are kept or passed on."""

    body: bytes
    reply: Reply


class HolderChanged(Struct, frozen=True):
    """Report which node holds the duty, or that none is known."""

    holder: Holder | None


class DutyHeld(Struct, frozen=True):
    """Report that this node holds the duty now."""

    recorded: int  # newest window that is recorded
    nodes: tuple[str, ...]  # nodes that are known
    may_lack_records: bool = False  # of windows that ended before


class DutyLost(Struct, frozen=True):
    """Report that this node no longer holds the duty."""


class WindowCollected(Struct, frozen=True):
    """Record and send the counts of a window."""

    window: int
    counts: Counts


class WindowsRecorded(Struct, frozen=True):
    """Report the newest window that is recorded, as the holder knows it."""

    recorded: int
