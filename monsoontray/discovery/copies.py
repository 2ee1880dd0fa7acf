"""Shapes in which nodes pass on to each other what they read from the store."""

from __future__ import annotations

import zlib

import msgspec

from monsoontray.decisions.deltas import Delta

#: Key prefixes that nodes copy for each other.
MIRRORED = ("op/", "nodes/", "rollouts/")
#: Size from which a value is passed on by what has changed in it.
LARGE_BYTES = 4_096
_LEVEL = 1  # of compression: most of the gain, at a third of the time


class CopiedRecord(msgspec.Struct, frozen=True, array_like=True):
    """Hold a record, whole or by what has changed since a base."""

    key: str
    revision: int
    value: bytes
    base_revision: int = 0  # of the record that ``delta`` changes
    delta: Delta | None = None


class Copy(msgspec.Struct, frozen=True, array_like=True):
    """Hold what the store has, or what has changed in it since a revision."""

    revision: int
    is_served: bool = True  # whether the store serves the node that copied it
    is_whole: bool = False  # keys that are not named do not exist
    records: tuple[CopiedRecord, ...] = ()
    removed: tuple[tuple[str, int], ...] = ()  # keys and revisions


def encode_copy(copy: Copy) -> bytes:
    """Return a copy as nodes send it."""
    return zlib.compress(msgspec.msgpack.encode(copy), _LEVEL)


def decode_copy(data: bytes) -> Copy:
    """Return a copy; raise msgspec.DecodeError."""
    try:
        return msgspec.msgpack.decode(zlib.decompress(data), type=Copy)
    except zlib.error as error:
        raise msgspec.DecodeError(str(error)) from error
