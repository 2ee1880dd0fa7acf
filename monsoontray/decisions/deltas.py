"""Describe a value by how it differs from an earlier one."""

from __future__ import annotations

from hashlib import blake2b

import msgspec

#: Where values are split into chunks: between two objects of a JSON list.
_SEPARATOR = b"},"
_DIGEST_BYTES = 8


class Run(msgspec.Struct, frozen=True, array_like=True):
    """Name chunks of the earlier value that follow each other."""

    start: int
    count: int


class Delta(msgspec.Struct, frozen=True, array_like=True):
    """Hold a value as runs of an earlier value's chunks and as new chunks."""

    parts: tuple[Run | bytes, ...]
    digest: bytes  # of the value


def build_delta(earlier: bytes, value: bytes) -> Delta:
    """Return what turns the earlier value into the other one."""
    index = {chunk: i for i, chunk in enumerate(earlier.split(_SEPARATOR))}
    parts: list[Run | bytes] = []
    for chunk in value.split(_SEPARATOR):
        found = index.get(chunk)
        if found is None:
            parts.append(chunk)
            continue
        last = parts[-1] if parts else None
        if isinstance(last, Run) and last.start + last.count == found:
            parts[-1] = Run(last.start, last.count + 1)
        else:
            parts.append(Run(found, 1))
    return Delta(tuple(parts), _compute_digest(value))


def apply_delta(earlier: bytes, delta: Delta) -> bytes | None:
    """Return the value, or None when the delta is of another earlier value."""
    known = earlier.split(_SEPARATOR)
    chunks: list[bytes] = []
    for part in delta.parts:
        if isinstance(part, Run):
            chunks += known[part.start : part.start + part.count]
        else:
            chunks.append(part)
    value = _SEPARATOR.join(chunks)
    return value if _compute_digest(value) == delta.digest else None


def _compute_digest(value: bytes) -> bytes:
    return blake2b(value, digest_size=_DIGEST_BYTES).digest()
