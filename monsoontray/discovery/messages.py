"""Messages about what the store holds and what the local server announces."""

from __future__ import annotations

from dataclasses import dataclass

from monsoontray.decisions.announcements import Announcement
from monsoontray.kernel.mailbox import Reply
from monsoontray.store.outcomes import Record


@dataclass(slots=True, frozen=True)
class StoreListed:
    """Tell everything that the store holds below some prefixes."""

    records: tuple[Record, ...]
    revision: int  # of the store, when this was read


@dataclass(slots=True, frozen=True)
class StoreChanged:
    """Tell what changed in the store."""

    records: tuple[Record, ...]
    removed: tuple[Record, ...]
    revision: int  # of the store, up to which these are all changes


@dataclass(slots=True, frozen=True)
class ServerAnnounced:
    """Take what the local server says of itself; answers when it is in force."""

    announcement: Announcement
    reply: Reply


@dataclass(slots=True, frozen=True)
class ServerLeft:
    """Take that a local server has left; answers when it is in force."""

    server: str
    born: int  # 0 where it was not told
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
    """Ask for what was read from the store since a revision."""

    known_revision: int
    deadline: float  # until when an answer without news is held back
    reply: Reply


@dataclass(slots=True, frozen=True)
class StoreAccessChanged:
    """Tell whether the store serves this node, which reads it itself."""

    reads_store: bool


@dataclass(slots=True, frozen=True)
class ChooseStoreAccess:
    """Ask how this node is to read the store."""

    reply: Reply


@dataclass(slots=True, frozen=True)
class DescribeNodes:
    """Ask for what is known of the nodes."""

    reply: Reply
