"""Fingerprints, by which a request is recognized when it is sent again."""

from __future__ import annotations

import re
from hashlib import blake2b

from monsoontray.decisions.containment import HEAD_LENGTH, PREFIX_LENGTH

FINGERPRINT_HEADER = b"monsoontray-fingerprint"
PREFIX_BODY_BYTES = 16_384  # a longer body has a digest of its start as well
_DIGEST_BYTES = HEAD_LENGTH // 2
_FINGERPRINT = re.compile(
    rb"[0-9a-f]{%d}([0-9a-f]{%d})?" % (PREFIX_LENGTH, HEAD_LENGTH)
)


class RequestFingerprint:
    """Fingerprint of a request's method, target, caller and body.

    A request that is sent again has another id, but the same fingerprint. It begins
    with a digest of the head. One of the whole body follows; in a long body, one of its
    start precedes that, so that most requests can be told apart early.
    """

    __slots__ = ("_body", "_prefix", "_value", "body_bytes", "head")

    def __init__(self, method: str, target: bytes, caller: bytes, given: bytes) -> None:
        self._body = blake2b(digest_size=_DIGEST_BYTES)
        self.body_bytes = 0
        self._prefix = ""
        self._value = ""
        if _FINGERPRINT.fullmatch(given):
            self._value = given.decode()
            self.head = self._value[:HEAD_LENGTH]
        else:
            content = b"\n".join((method.encode(), target, caller))
            self.head = blake2b(content, digest_size=_DIGEST_BYTES).hexdigest()

    @property
    def value(self) -> str:
        """Return the fingerprint, or an empty string while it is not known."""
        return self._value

    @property
    def known(self) -> str:
        """Return the fingerprint, its start without the whole body, or nothing."""
        return self._value or self._prefix

    def add_body(self, part: bytes) -> None:
        """Add a part of the body."""
        if self._value:
            return
        missing = PREFIX_BODY_BYTES - self.body_bytes
        self.body_bytes += len(part)
        if 0 <= missing < len(part):
            self._body.update(part[:missing])
            self._prefix = self.head + _digest_prefix(self._body.digest())
            part = part[missing:]
        self._body.update(part)

    def end_body(self) -> None:
        """Complete the fingerprint, as the whole body has been added."""
        if not self._value:
            self._value = (self._prefix or self.head) + self._body.hexdigest()


def _digest_prefix(digest: bytes) -> str:
    """Return a digest that no whole body has."""
    return blake2b(digest, digest_size=_DIGEST_BYTES, person=b"prefix").hexdigest()
