"""One request of a connection and the response that is due for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from monsoontray.forwarding.heads import (
    CONNECTION_CLOSE_HEADER,
    CONTINUE_RESPONSE,
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

#: Longest request body that is read to its end after a refusal, so that the
#: connection can be reused.
MAX_DRAINED_BODY_BYTES = 65_536


class HttpTransaction:
    """Write a response in its turn among the responses of its connection."""

    __slots__ = (
        "_buffered",
        "_buffered_bytes",
        "_caller",
        "_can_drain_body",
        "_chunked",
        "call",
        "closes_connection",
        "done",
        "paused",
        "request_open",
        "was_cut",
    )

    def __init__(self, caller: CallerConnection, head: RequestHead | None) -> None:
        self._caller = caller
        self.call: Call | None = None
        self.request_open = head is not None
        self.closes_connection = head is None or not head.keep_alive
        self.done = False
        self.paused = False  # the call takes no more of the request for now
        self.was_cut = False
        self._chunked = False
        self._buffered: list[bytes] = []  # written before its turn
        self._buffered_bytes = 0
        self._can_drain_body = head is not None and (
            head.framing is not Framing.CHUNKED
            and head.length <= MAX_DRAINED_BODY_BYTES
            # A caller that was not asked for the body may never send it.
            and not head.expects_continue
        )

    def count_unsent_bytes(self) -> int:
        """Return the bytes that wait to be sent."""
        if self._caller.is_current(self):
            return self._caller.unsent_bytes
        return self._buffered_bytes

    def pause_reading(self) -> None:
        """Leave further bytes of the caller in the socket."""
        self.paused = True
        self._caller.pause_reading()

    def resume_reading(self) -> None:
        """Read on from the caller."""
        self.paused = False
        self._caller.resume_if_allowed()

    def send_continue(self) -> None:
        """Tell a caller that waits for it to send the body."""
        self._write(CONTINUE_RESPONSE)

    def begin_response(self, head: ResponseHead, lines: list[bytes]) -> None:
        """Send the head of a response."""
        if self._caller.forwarder.closes_connections or self.request_open:
            self.closes_connection = True
        if self.closes_connection:
            lines.append(CONNECTION_CLOSE_HEADER)
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
        is_undrained = self.request_open and not self._can_drain_body
        if is_undrained or forwarder.closes_connections:
            self.closes_connection = True
        if call is not None:
            call_id = call.call_id
        self._write(
            encode_refusal(self._caller.side, refusal, call_id, self.closes_connection)
        )
        self._finish()

    def cut(self) -> None:
        """End a response visibly incomplete."""
        self.call = None
        self.was_cut = True
        self.done = True
        self._caller.advance()

    def pop_buffered(self) -> list[bytes]:
        """Return what was written before its turn."""
        parts, self._buffered = self._buffered, []
        self._buffered_bytes = 0
        return parts

    def _finish(self) -> None:
        self.call = None
        self.paused = False
        self.done = True
        self._caller.advance()

    def _write(self, data: bytes) -> None:
        if self._caller.is_current(self):
            self._caller.write(data)
        else:
            self._buffered.append(data)
            self._buffered_bytes += len(data)
