"""Messages about ended servers and the requests that they were running."""

from __future__ import annotations

from msgspec import Struct

from monsoontray.decisions.containment import Clearance, ServerEnd
from monsoontray.kernel.mailbox import Reply
from monsoontray.store.outcomes import Record


class ServerEnded(Struct, frozen=True):
    """Report the end of a local server."""

    end: ServerEnd


class RequestCleared(Struct, frozen=True):
    """Report that a request completed that servers had ended with."""

    clearance: Clearance


class UpdateContainment(Struct, frozen=True):
    """Replace the ends and clearances that are known in the fleet."""

    ends: dict[str, ServerEnd]  # by key
    clearances: tuple[Clearance, ...]


class WriteRecords(Struct, frozen=True):
    """Write records to the store."""

    values: dict[str, bytes]  # by key
    positions: dict[str, int] = {}  # of the records that were read last, by key


class RecordsFound(Struct, frozen=True):
    """Report records that the store has in place of those to be written."""

    records: tuple[Record, ...]


class ShareRecords(Struct, frozen=True):
    """Replace the records that other nodes are told of."""

    values: dict[str, bytes]  # by key
    deadlines: dict[str, float]  # when each record is forgotten, by key


class RecordsLearned(Struct, frozen=True):
    """Report records of other nodes that this node did not know."""

    values: dict[str, bytes]  # by key
    deadlines: dict[str, float]  # when each record is forgotten, by key


class RecordsOffered(Struct, frozen=True):
    """Report an offer of another node, which is answered with one of this node."""

    body: bytes
    reply: Reply
