"""Encode a value as its difference from an earlier one."""

from __future__ import annotations

from hashlib import blake2b

import msgspec

from monsoontray.decoding.values import Count

#: Values are split into chunks between two objects of a JSON list.
_CHUNK_SEPARATOR = b"},"
_DIGEST_BYTES = 8


class ChunkRange(msgspec.Struct, frozen=True, array_like=True):
    """Range of consecutive chunks of the earlier value."""

    start: Count
    count: Count


class Delta(msgspec.Struct, frozen=True, array_like=True):
    """A value as ranges of an earlier value's chunks and as new chunks."""

    parts: tuple[ChunkRange | bytes, ...]
    digest: bytes  # of the value


def build_delta(earlier: bytes, value: bytes) -> Delta:
    """Return the delta that turns the earlier value into the given one."""
    positions = {chunk: i for i, chunk in enumerate(earlier.split(_CHUNK_SEPARATOR))}
    parts: list[ChunkRange | bytes] = []
    for chunk in value.split(_CHUNK_SEPARATOR):
        position = positions.get(chunk)
        if position is None:
            parts.append(chunk)
            continue
        last = parts[-1] if parts else None
        if isinstance(last, ChunkRange) and last.start + last.count == position:
            parts[-1] = ChunkRange(last.start, last.count + 1)
        else:
            parts.append(ChunkRange(position, 1))
    return Delta(tuple(parts), _compute_digest(value))


def apply_delta(earlier: bytes, delta: Delta) -> bytes | None:
    """Return the value, or None if the delta was built from another earlier value."""
    earlier_chunks = earlier.split(_CHUNK_SEPARATOR)
    chunks: list[bytes] = []
    for part in delta.parts:
        if isinstance(part, ChunkRange):
            chunks += earlier_chunks[part.start : part.start + part.count]
        else:
            chunks.append(part)
    value = _CHUNK_SEPARATOR.join(chunks)
    return value if _compute_digest(value) == delta.digest else None


def _compute_digest(value: bytes) -> bytes:
    return blake2b(value, digest_size=_DIGEST_BYTES).digest()
