"""Messages about the content of the store and announcements of the local server."""

from __future__ import annotations

from msgspec import Struct

from monsoontray.decisions.announcements import Announcement, Departure
from monsoontray.decisions.directory import ListedNode
from monsoontray.decisions.freshness import Proof
from monsoontray.kernel.mailbox import Reply
from monsoontray.store.outcomes import ABSENT, Record


class StoreListed(Struct, frozen=True):
    """Report all records of the store whose keys have the receiver's prefixes."""

    records: tuple[Record, ...]
    revision: int  # of the store when it was read


class StoreChanged(Struct, frozen=True):
    """Report changes of the store."""

    records: tuple[Record, ...]
    removed: tuple[Record, ...]
    revision: int  # of the store; all changes up to it have been reported


class StoreProven(Struct, frozen=True):
    """Report that all changes of the store up to a moment have been reported."""

    proof: Proof


class ServerAnnounced(Struct, frozen=True):
    """Report an announcement of the local server; answered once it is applied."""

    announcement: Announcement
    reply: Reply


class ServerLeft(Struct, frozen=True):
    """Report that a local server has left; answered once this is applied."""

    server: str
    born: int  # start of its incarnation in milliseconds; 0 if not given
    reply: Reply


class PublishNode(Struct, frozen=True):
    """Write this node's record to the store."""

    value: bytes
    is_spread: bool = False  # all nodes have reason to write at the same time
    position: int = ABSENT  # of the record that was read last


class PublishDepartures(Struct, frozen=True):
    """Write this node's record of departures to the store."""

    value: bytes
    position: int = ABSENT  # of the record that was read last


class OwnRecordRead(Struct, frozen=True):
    """Report a record of this node that was written in the store."""

    record: Record


class DeparturesFound(Struct, frozen=True):
    """Report a record of this node's departures that it hasn't written last."""

    record: Record


class DeparturesWritten(Struct, frozen=True):
    """Report that the store has confirmed a record of departures."""

    value: bytes


class KeepDepartures(Struct, frozen=True):
    """Let other nodes keep this node's departures for its next process."""

    departures: tuple[Departure, ...]
    nodes: tuple[ListedNode, ...]


class RecoverDepartures(Struct, frozen=True):
    """Ask other nodes for the departures that they keep for this node."""

    nodes: tuple[ListedNode, ...]


class DeparturesRecovered(Struct, frozen=True):
    """Report departures that another node has kept for this one."""

    departures: tuple[Departure, ...]
    is_last: bool  # every node that was asked has answered or failed


class DeparturesOffered(Struct, frozen=True):
    """Report another node's departures, answered with those kept for that node."""

    body: bytes
    reply: Reply


class WithdrawNode(Struct, frozen=True):
    """Remove this node's record from the store."""


class ReadMirror(Struct, frozen=True):
    """Ask for the changes of the store since a revision."""

    known_revision: int
    deadline: float  # when an answer is due even without changes
    reply: Reply
    received_at: float | None = None  # no proof is given if this is not known


class StoreAccessChanged(Struct, frozen=True):
    """Report whether this node currently reads the store itself."""

    reads_store: bool


class ChooseStoreAccess(Struct, frozen=True):
    """Ask how this node should read the store."""

    reply: Reply


class DescribeNodes(Struct, frozen=True):
    """Ask for all nodes of the directory."""

    reply: Reply
