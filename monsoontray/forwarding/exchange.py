"""One request of a connection and the response that is due for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from monsoontray.forwarding.heads import (
    CLOSE_LINE,
    CONTINUE,
    LAST_CHUNK,
    Framing,
    RequestHead,
    ResponseHead,
    encode_chunk,
    encode_response,
)
from monsoontray.forwarding.refusals import encode_refusal

if TYPE_CHECKING:
    from monsoontray.decisions.outcomes import Refusal
    from monsoontray.forwarding.call import Call
    from monsoontray.forwarding.caller import CallerConnection

SHORT_BODY_BYTES = 65_536  # read to its end after a refusal, to keep the connection


class Exchange:
    """Write a response in its turn among the responses of its connection."""

    __slots__ = (
        "_caller",
        "_chunked",
        "_parts",
        "_rest_is_short",
        "_size",
        "call",
        "closes",
        "done",
        "paused",
        "request_open",
        "was_cut",
    )

    def __init__(self, caller: CallerConnection, head: RequestHead | None) -> None:
        self._caller = caller
        self.call: Call | None = None
        self.request_open = head is not None
        self.closes = head is None or not head.keep_alive
        self.done = False
        self.paused = False  # the call takes no more of the request for now
        self.was_cut = False
        self._chunked = False
        self._parts: list[bytes] = []  # written before its turn
        self._size = 0
        self._rest_is_short = head is not None and (
            head.framing is not Framing.CHUNKED
            and head.length <= SHORT_BODY_BYTES
            # A caller that was not asked for the body may never send it.
            and not head.expects_continue
        )

    def count_unsent(self) -> int:
        """Return the bytes that wait to be sent."""
        if self._caller.is_first(self):
            return self._caller.out_bytes
        return self._size

    def pause_reading(self) -> None:
        """Leave further bytes of the caller in the socket."""
        self.paused = True
        self._caller.pause_reading()

    def resume_reading(self) -> None:
        """Read on from the caller."""
        self.paused = False
        self._caller.resume_if_allowed()

    def ask_to_continue(self) -> None:
        """Tell a caller that waits for it to send the body."""
        self._write(CONTINUE)

    def begin_response(self, head: ResponseHead, lines: list[bytes]) -> None:
        """Send the head of a response."""
        if self._caller.forwarder.closes_connections or self.request_open:
            self.closes = True
        if self.closes:
            lines.append(CLOSE_LINE)
        self._chunked = head.framing is Framing.CHUNKED
        self._write(encode_response(head.status, lines, head.framing, head.length))

    def write_response_body(self, part: bytes) -> None:
        """Send a part of the response's body."""
        self._write(encode_chunk(part) if self._chunked else part)

    def end_response(self) -> None:
        """Finish the response."""
        if self._chunked:
            self._write(LAST_CHUNK)
        self._finish()

    def refuse(self, refusal: Refusal, call: Call | None, call_id: str = "") -> None:
        """Send a refusal as the response."""
        forwarder = self._caller.forwarder
        rest_is_long = self.request_open and not self._rest_is_short
        if rest_is_long or forwarder.closes_connections:
            self.closes = True
        if call is not None:
            call_id = call.call_id
        self._write(encode_refusal(self._caller.side, refusal, call_id, self.closes))
        self._finish()

    def cut(self) -> None:
        """End a response visibly incomplete."""
        self.call = None
        self.was_cut = True
        self.done = True
        self._caller.advance()

    def take_parts(self) -> list[bytes]:
        """Return what was written before its turn."""
        parts, self._parts = self._parts, []
        self._size = 0
        return parts

    def _finish(self) -> None:
        self.call = None
        self.paused = False
        self.done = True
        self._caller.advance()

    def _write(self, data: bytes) -> None:
        if self._caller.is_first(self):
            self._caller.write(data)
        else:
            self._parts.append(data)
            self._size += len(data)
