"""Normalization of request targets for the comparison with routes."""

from __future__ import annotations

import re

_ESCAPE = re.compile(rb"%([0-9A-Fa-f]{2})")
_AMBIGUOUS_BYTES = frozenset((b"/", b"\\", b"%", b"\0"))
_TARGET_CHARACTERS = re.compile(rb"[\x21-\x7e]+")


def normalize_target(target: bytes) -> str | None:
    """Return the decoded path of a target, or None if the target is ambiguous.

    Dot segments, escaped slashes, empty segments and backslashes are ambiguous: a
    back end may resolve them to another path than the one compared with the routes.
    """
    if not target.startswith(b"/") or not _TARGET_CHARACTERS.fullmatch(target):
        return None
    path = target.partition(b"?")[0]
    if b"#" in target or b"//" in path or b"\\" in path:
        return None
    if b"%" in path:
        decoded = _decode_escapes(path)
        if decoded is None:
            return None
        path = decoded
    if b"/." in path and not {b".", b".."}.isdisjoint(path.split(b"/")):
        return None
    return path.decode("latin-1")


def _decode_escapes(path: bytes) -> bytes | None:
    if path.count(b"%") != len(_ESCAPE.findall(path)):
        return None
    for digits in _ESCAPE.findall(path):
        if bytes((int(digits, 16),)) in _AMBIGUOUS_BYTES:
            return None
    return _ESCAPE.sub(lambda match: bytes((int(match.group(1), 16),)), path)
