"""States of the exchange on a connection: what was sent and what was received."""

from __future__ import annotations

from monsoontray.forwarding.heads import Framing, ResponseHead

#: Most bytes that are received for a call before the head of its response:
#: informational responses, and late responses to earlier calls.
MAX_SKIPPED_BYTES = 262_144


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


class ReceivedResponse:
    """Response to a call, as far as it was received on the connection."""

    __slots__ = (
        "_is_until_close",
        "_skipped_bytes",
        "awaits_head",
        "is_foreign",
        "keeps_alive",
    )

    def __init__(self) -> None:
        self.awaits_head = True  # the head of the call's response is still to come
        self.is_foreign = False  # what is received now belongs to another call
        self.keeps_alive = True  # the connection stays open behind the response
        self._is_until_close = False  # the end of the connection ends the response
        self._skipped_bytes = 0  # received while the head was awaited

    def receive_head(self, head: ResponseHead, is_own: bool) -> None:
        """Record the head of the call's response, or of one to an earlier call."""
        self.keeps_alive = head.keep_alive
        self._is_until_close = head.framing is Framing.UNTIL_CLOSE
        self.is_foreign = self.awaits_head = not is_own

    def end_foreign(self) -> bool:
        """Record the end of a response; return whether it was to another call."""
        was_foreign, self.is_foreign = self.is_foreign, False
        return was_foreign

    def skip(self, size: int) -> bool:
        """Record bytes before the head; return whether they are too many."""
        if self.awaits_head:
            self._skipped_bytes += size
        return self._skipped_bytes > MAX_SKIPPED_BYTES

    def is_whole_at_end(self, is_reset: bool) -> bool:
        """Return whether the end of the connection completes the response."""
        return self._is_until_close and not self.is_foreign and not is_reset
