"""Messages about the content of the store and announcements of the local server."""

from __future__ import annotations

from dataclasses import dataclass

from monsoontray.decisions.announcements import Announcement
from monsoontray.kernel.mailbox import Reply
from monsoontray.store.outcomes import Record


@dataclass(slots=True, frozen=True)
class StoreListed:
    """Report all records of the store whose keys have the receiver's prefixes."""

    records: tuple[Record, ...]
    revision: int  # of the store when it was read


@dataclass(slots=True, frozen=True)
class StoreChanged:
    """Report changes of the store."""

    records: tuple[Record, ...]
    removed: tuple[Record, ...]
    revision: int  # of the store; all changes up to it have been reported


@dataclass(slots=True, frozen=True)
class ServerAnnounced:
    """Report an announcement of the local server; answered once it is applied."""

    announcement: Announcement
    reply: Reply


@dataclass(slots=True, frozen=True)
class ServerLeft:
    """Report that a local server has left; answered once this is applied."""

    server: str
    born: int  # start of its incarnation in milliseconds; 0 if not given
    reply: Reply


@dataclass(slots=True, frozen=True)
class PublishNode:
    """Write this node's record to the store."""

    value: bytes


@dataclass(slots=True, frozen=True)
class WithdrawNode:
    """Remove this node's record from the store."""


@dataclass(slots=True, frozen=True)
class ReadMirror:
    """Ask for the changes of the store since a revision."""

    known_revision: int
    deadline: float  # when an answer is due even without changes
    reply: Reply


@dataclass(slots=True, frozen=True)
class StoreAccessChanged:
    """Report whether this node currently reads the store itself."""

    reads_store: bool


@dataclass(slots=True, frozen=True)
class ChooseStoreAccess:
    """Ask how this node should read the store."""

    reply: Reply


@dataclass(slots=True, frozen=True)
class DescribeNodes:
    """Ask for all nodes of the directory."""

    reply: Reply
