"""Encoding of the mirror's responses, through which nodes read the store."""

from __future__ import annotations

import zlib

import msgspec

from monsoontray.decisions.deltas import Delta

#: Prefixes of the keys that nodes mirror for each other.
MIRRORED_PREFIXES = ("op/", "nodes/", "rollouts/")
#: Values of at least this size are sent as deltas.
DELTA_MIN_BYTES = 4_096
#: Achieves most of the compression of higher levels, in a third of the time.
_COMPRESSION_LEVEL = 1


class MirrorRecord(msgspec.Struct, frozen=True, array_like=True):
    """A record of the store; its value is sent whole or as a delta."""

    key: str
    revision: int
    value: bytes
    base_revision: int = 0  # of the record that ``delta`` applies to
    delta: Delta | None = None


class MirrorResponse(msgspec.Struct, frozen=True, array_like=True):
    """Content of the store or its changes; the field order is the format."""

    revision: int
    reads_store: bool = True  # whether the sending node reads the store itself
    is_complete: bool = False  # if so, keys that are not in ``records`` do not exist
    records: tuple[MirrorRecord, ...] = ()
    removed: tuple[tuple[str, int], ...] = ()  # keys and revisions


def encode_response(response: MirrorResponse) -> bytes:
    """Return a response as compressed MessagePack."""
    return zlib.compress(msgspec.msgpack.encode(response), _COMPRESSION_LEVEL)


def decode_response(data: bytes) -> MirrorResponse:
    """Return the decoded response; raise msgspec.DecodeError if it is invalid."""
    try:
        return msgspec.msgpack.decode(zlib.decompress(data), type=MirrorResponse)
    except zlib.error as error:
        raise msgspec.DecodeError(str(error)) from error
