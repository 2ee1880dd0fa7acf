"""Shapes in which nodes pass on to each other what they read from the store."""

from __future__ import annotations

import zlib

import msgspec

from monsoontray.decisions.deltas import Delta

#: Key prefixes that nodes copy for each other.
MIRRORED_PREFIXES = ("op/", "nodes/", "rollouts/")
#: Size from which a value is passed on by what has changed in it.
DELTA_MIN_BYTES = 4_096
_LEVEL = 1  # of compression: most of the gain, at a third of the time


class MirrorRecord(msgspec.Struct, frozen=True, array_like=True):
    """Hold a record, whole or by what has changed since a base."""

    key: str
    revision: int
    value: bytes
    base_revision: int = 0  # of the record that ``delta`` changes
    delta: Delta | None = None


class MirrorResponse(msgspec.Struct, frozen=True, array_like=True):
    """Hold what the store has, or what has changed in it since a revision."""

    revision: int
    reads_store: bool = True  # whether the store serves the node that copied it
    is_complete: bool = False  # keys that are not named do not exist
    records: tuple[MirrorRecord, ...] = ()
    removed: tuple[tuple[str, int], ...] = ()  # keys and revisions


def encode_response(response: MirrorResponse) -> bytes:
    """Return a copy as nodes send it."""
    return zlib.compress(msgspec.msgpack.encode(response), _LEVEL)


def decode_response(data: bytes) -> MirrorResponse:
    """Return a copy; raise msgspec.DecodeError."""
    try:
        return msgspec.msgpack.decode(zlib.decompress(data), type=MirrorResponse)
    except zlib.error as error:
        raise msgspec.DecodeError(str(error)) from error
