"""States of the exchange on a connection: what was sent and what was received."""

from __future__ import annotations

from monsoontray.forwarding.heads import Framing


class SentRequest:
    """Request of an attempt, as far as it was written on the connection."""

    __slots__ = ("_framing", "_missing_bytes", "is_written")

    def __init__(self, framing: Framing, length: int) -> None:
        self._framing = framing
        self._missing_bytes = length
        self.is_written = False  # to its last byte

    def write_head(self) -> None:
        """Record that the head was written."""
        self.is_written = self._framing is not Framing.CHUNKED and (
            self._missing_bytes == 0
        )

    def write_body(self, size: int) -> None:
        """Record that a part of the body was written."""
        self._missing_bytes -= size
        if self._framing is Framing.LENGTH:
            self.is_written = self._missing_bytes == 0

    def write_end(self) -> None:
        """Record that the last chunk was written."""
        self.is_written = True
