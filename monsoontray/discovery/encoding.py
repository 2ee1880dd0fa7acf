"""Encoding of the mirror's responses, through which nodes read the store."""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from typing import Annotated

import msgspec

from monsoontray.containment.encoding import PREFIX as CONTAINMENT_PREFIX
from monsoontray.decisions.announcements import MAX_DEPARTURES, Departure
from monsoontray.decisions.deltas import Delta
from monsoontray.decisions.directory import ListedNode
from monsoontray.decoding.documents import decode_json, decode_msgpack, decompress
from monsoontray.decoding.errors import DecodingError
from monsoontray.decoding.values import Name, Revision
from monsoontray.store.outcomes import Record

NODE_KEY_PREFIX = "nodes/"
DEPARTURES_KEY_PREFIX = "departures/"
USAGE_HOLDER_KEY = "usage/holder"
#: Prefixes of the keys that nodes mirror for each other.
MIRRORED_PREFIXES = (
    "op/",
    "rollouts/",
    NODE_KEY_PREFIX,
    DEPARTURES_KEY_PREFIX,
    CONTAINMENT_PREFIX,
    USAGE_HOLDER_KEY,
)
#: Values of at least this size are sent as deltas.
DELTA_MIN_BYTES = 4_096
#: Achieves most of the compression of higher levels, in a third of the time.
_COMPRESSION_LEVEL = 1


class MirrorRecord(msgspec.Struct, frozen=True, array_like=True):
    """A record of the store; its value is sent whole or as a delta."""

    key: str
    revision: Revision
    value: bytes
    base_revision: Revision = 0  # of the record that ``delta`` applies to
    delta: Delta | None = None


class MirrorResponse(msgspec.Struct, frozen=True, array_like=True):
    """Content of the store or its changes; the field order is the format."""

    revision: Revision
    reads_store: bool = True  # whether the sending node reads the store itself
    is_complete: bool = False  # if so, keys that are not in ``records`` do not exist
    records: tuple[MirrorRecord, ...] = ()
    removed: tuple[tuple[str, Revision], ...] = ()  # keys and revisions
    proof_lead_s: float | None = None  # from when the request was received
    proof_revision: Revision = 0


DepartureList = Annotated[
    tuple[Departure, ...], msgspec.Meta(max_length=MAX_DEPARTURES)
]


class DepartureOffer(msgspec.Struct, frozen=True, array_like=True):
    """Departures that a node acknowledged; the field order is the format."""

    node: Name
    departures: DepartureList = ()


def encode_response(response: MirrorResponse) -> bytes:
    """Return a response as compressed MessagePack."""
    return zlib.compress(msgspec.msgpack.encode(response), _COMPRESSION_LEVEL)


def decode_response(data: bytes) -> MirrorResponse:
    """Return the decoded response; raise DecodingError if it is invalid."""
    response: MirrorResponse = decode_msgpack(decompress(data), MirrorResponse)
    return response


def decode_node(record: Record) -> ListedNode:
    """Return the node that a record describes; raise DecodingError."""
    node: ListedNode = decode_json(record.value, ListedNode)
    if record.key != NODE_KEY_PREFIX + node.node:
        raise DecodingError(f"the record is of node {node.node!r}")
    return node


def encode_departures(departures: Sequence[Departure]) -> bytes:
    """Return the value of a node's record of departures."""
    return msgspec.json.encode(departures)


def decode_departures(record: Record) -> tuple[Departure, ...]:
    """Return the departures that a record describes; raise DecodingError."""
    departures: tuple[Departure, ...] = decode_json(record.value, DepartureList)
    return departures


def encode_departure_offer(offer: DepartureOffer) -> bytes:
    """Return an offer of departures as MessagePack."""
    return msgspec.msgpack.encode(offer)


def decode_departure_offer(data: bytes) -> DepartureOffer:
    """Return the offer of departures; raise DecodingError."""
    offer: DepartureOffer = decode_msgpack(data, DepartureOffer)
    return offer
