"""HTTP transactions: a request of a caller's connection and its response."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

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
    """A request and its response, which is sent after earlier responses.

    The response is buffered until the earlier transactions of the connection end.
    """

    __slots__ = (
        "_caller",
        "_can_drain_body",
        "_chunked",
        "buffered",
        "buffered_bytes",
        "call",
        "closes_connection",
        "done",
        "paused",
        "receiving_request",
        "was_cut",
    )

    def __init__(self, caller: CallerConnection, head: RequestHead | None) -> None:
        self._caller = caller
        self.call: Call | None = None
        self.receiving_request = head is not None
        self.closes_connection = head is None or not head.keep_alive
        self.done = False
        self.paused = False  # the call accepts no more of the request body for now
        self.was_cut = False
        self._chunked = False
        self.buffered: list[bytes] = []  # output that must wait
        self.buffered_bytes = 0
        self._can_drain_body = head is not None and (
            head.framing is not Framing.CHUNKED
            and head.length <= MAX_DRAINED_BODY_BYTES
            # Without a "100 Continue" response, the caller may never send the body.
            and not head.expects_continue
        )

    @property
    def side(self) -> Any:
        """Return the side on which the request arrived."""
        return self._caller.side

    def count_unsent_bytes(self) -> int:
        """Return the number of bytes of the response that are not sent yet."""
        if self._caller.is_current(self):
            return self._caller.unsent_bytes
        return self.buffered_bytes

    def pause_reading(self) -> None:
        """Pause reading from the caller."""
        self.paused = True
        self._caller.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading from the caller."""
        self.paused = False
        self._caller.resume_if_allowed()

    def send_continue(self) -> None:
        """Ask the caller to send the request body."""
        self._write(CONTINUE_RESPONSE)

    def begin_response(self, head: ResponseHead, lines: list[bytes]) -> None:
        """Send the head of a response."""
        if self._must_close() or self.receiving_request:
            self.closes_connection = True
        if self.closes_connection:
            lines.append(CONNECTION_CLOSE_HEADER)
        self._chunked = head.framing is Framing.CHUNKED
        self._write(encode_response(head.status, lines, head.framing, head.length))

    def write_response_body(self, part: bytes) -> None:
        """Send a part of the response's body."""
        self._write(encode_chunk(part) if self._chunked else part)

    def end_response(self) -> None:
        """Complete the response."""
        if self._chunked:
            self._write(LAST_CHUNK)
        self._finish()

    def refuse(self, refusal: Refusal, call: Call | None, call_id: str = "") -> None:
        """Send a refusal as the response."""
        must_close = self.receiving_request and not self._can_drain_body
        if must_close or self._must_close():
            self.closes_connection = True
        if call is not None:
            call_id = call.call_id
        self._write(
            encode_refusal(self._caller.side, refusal, call_id, self.closes_connection)
        )
        self._finish()

    def cut(self) -> None:
        """Abort a response that has begun, by closing the connection."""
        self.call = None
        self.was_cut = True
        self.done = True
        self._caller.advance()

    def pop_buffered(self) -> list[bytes]:
        """Return and clear the buffered output."""
        parts, self.buffered = self.buffered, []
        self.buffered_bytes = 0
        return parts

    def _must_close(self) -> bool:
        """Return whether the response must end its connection, as the node stops.

        It would cut the calls behind it, so the last response ends the connection.
        """
        return self._caller.forwarder.draining and self._caller.is_last(self)

    def _finish(self) -> None:
        self.call = None
        self.paused = False
        self.done = True
        self._caller.advance()

    def _write(self, data: bytes) -> None:
        if self._caller.is_current(self):
            self._caller.write(data)
        else:
            self.buffered.append(data)
            self.buffered_bytes += len(data)
