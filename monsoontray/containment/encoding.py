"""Encoding of the store's records about ended servers and cleared requests."""

from __future__ import annotations

from collections.abc import Mapping
from hashlib import blake2b
from typing import Annotated

import msgspec
from msgspec import Meta

from monsoontray.decisions.containment import (
    HEAD_LENGTH,
    PREFIX_LENGTH,
    Clearance,
    ServerEnd,
)
from monsoontray.decisions.offers import MAX_OFFERED
from monsoontray.decoding.documents import decode_json, decode_msgpack
from monsoontray.decoding.errors import DecodingError
from monsoontray.decoding.values import Seconds, Timestamp, Token

PREFIX = "containment/"
END_PREFIX = "containment/ends/"
CLEARANCE_PREFIX = "containment/cleared/"
_KEY_DIGEST_BYTES = 8

Fingerprint = Annotated[
    str,
    Meta(pattern=rf"^[0-9a-f]{{{PREFIX_LENGTH}}}([0-9a-f]{{{HEAD_LENGTH}}})?\Z"),
]
EndKey = Annotated[str, Meta(pattern=rf"^{END_PREFIX}[0-9a-f]{{16}}\Z")]


class EndSchema(msgspec.Struct, frozen=True, array_like=True):
    """Record of the end of a server; the field order is the format."""

    server: Token
    born: Timestamp
    fingerprints: Annotated[tuple[Fingerprint, ...], Meta(min_length=1, max_length=512)]


class ClearanceSchema(msgspec.Struct, frozen=True, array_like=True):
    """Record of a cleared request; the field order is the format."""

    fingerprint: Fingerprint
    ends: Annotated[tuple[EndKey, ...], Meta(max_length=4_096)]


RecordKey = Annotated[str, Meta(pattern=rf"^{PREFIX}[!-~]{{1,100}}\Z")]
RecordValue = Annotated[bytes, Meta(max_length=65_536)]


class OfferedRecord(msgspec.Struct, frozen=True, array_like=True):
    """Record that a node tells another one; the field order is the format."""

    key: RecordKey
    value: RecordValue
    remaining_s: Seconds  # until it is forgotten


class Offer(msgspec.Struct, frozen=True, array_like=True):
    """Records of a node and a digest of all it knows; the field order is the format."""

    digest: Annotated[bytes, Meta(max_length=_KEY_DIGEST_BYTES)]
    records: Annotated[tuple[OfferedRecord, ...], Meta(max_length=MAX_OFFERED)] = ()


def encode_offer(offer: Offer) -> bytes:
    """Return an offer as MessagePack."""
    return msgspec.msgpack.encode(offer)


def decode_offer(data: bytes) -> Offer:
    """Return the offer; raise DecodingError."""
    offer: Offer = decode_msgpack(data, Offer)
    return offer


def compute_digest(values: Mapping[str, bytes]) -> bytes:
    """Return a digest that is the same at nodes that know the same records."""
    digest = blake2b(digest_size=_KEY_DIGEST_BYTES)
    for key in sorted(values):
        digest.update(b"%b %d " % (key.encode(), len(values[key])))
        digest.update(values[key])
    return digest.digest()


def build_end_key(end: ServerEnd) -> str:
    """Return the key of the end of a server's incarnation."""
    content = f"{end.server}\n{end.born}".encode()
    return END_PREFIX + blake2b(content, digest_size=_KEY_DIGEST_BYTES).hexdigest()


def encode_end(end: ServerEnd) -> bytes:
    """Return the value of an end's record."""
    return msgspec.json.encode(EndSchema(end.server, end.born, end.fingerprints))


def decode_end(key: str, value: bytes) -> ServerEnd:
    """Return the end that a record describes; raise DecodingError."""
    schema: EndSchema = decode_json(value, EndSchema)
    end = ServerEnd(schema.server, schema.born, schema.fingerprints)
    if key != build_end_key(end):
        raise DecodingError(f"the record is of the end of {end.server!r}")
    return end


def encode_clearance(clearance: Clearance) -> bytes:
    """Return the value of a clearance's record."""
    schema = ClearanceSchema(clearance.fingerprint, tuple(sorted(clearance.ends)))
    return msgspec.json.encode(schema)


def decode_clearance(value: bytes) -> Clearance:
    """Return the clearance that a record describes; raise DecodingError."""
    schema: ClearanceSchema = decode_json(value, ClearanceSchema)
    return Clearance(schema.fingerprint, frozenset(schema.ends))
