"""Connections from callers: partner routers, back ends and other nodes."""

from __future__ import annotations

import contextlib
import socket
from collections import deque
from functools import singledispatch
from typing import TYPE_CHECKING, Any

from monsoontray.decisions.outcomes import Reason, Refusal, refuse_unrun
from monsoontray.forwarding.connection import Connection
from monsoontray.forwarding.heads import (
    CLOSE_LINE,
    CONTINUE,
    LAST_CHUNK,
    EndOfMessage,
    Framing,
    RequestHead,
    ResponseHead,
    encode_chunk,
    encode_response,
)
from monsoontray.forwarding.parsing import Malformed, RequestEvent, RequestParser
from monsoontray.forwarding.refusals import encode_refusal

if TYPE_CHECKING:
    from monsoontray.forwarding.call import Call
    from monsoontray.forwarding.forwarder import Forwarder
    from monsoontray.kernel.timers import Timer

SHORT_BODY_BYTES = 65_536  # read to its end after a refusal, to keep the connection
LINGER_S = 1.0  # time to read on after a last response, so that it arrives


class CallerConnection(Connection):
    """Own one caller's socket: requests in, responses out, one call at a time."""

    __slots__ = (
        "_idle_deadline",
        "_idle_timer",
        "_lingering",
        "_parser",
        "_pending",
        "_request_open",
        "_response_chunked",
        "_response_closes",
        "_rest_is_short",
        "call",
        "side",
    )

    def __init__(self, sock: socket.socket, forwarder: Forwarder, side: Any) -> None:
        super().__init__(sock, forwarder)
        self.side = side
        self.call: Call | None = None
        self._parser = RequestParser(forwarder.limits.head)
        self._pending: deque[RequestEvent] = deque()
        self._request_open = False
        self._rest_is_short = True
        self._response_chunked = False
        self._response_closes = False
        self._lingering = False
        self._idle_deadline = forwarder.now + forwarder.limits.idle_s
        self._idle_timer: Timer | None = None
        self._arm_idle_timer()

    def on_data(self, data: bytes) -> None:
        """Act on received bytes."""
        if self._lingering:
            return
        parser = self._parser
        was_open = parser.open_head
        events = parser.feed(data)
        if parser.open_head:
            self._limit_head(was_open)
        else:
            self._idle_deadline = self.forwarder.now + self.forwarder.limits.idle_s
        for event in events:
            if self._lingering or self.closed:
                return
            if self._pending or (self.call is not None and not self._request_open):
                self._pending.append(event)
            else:
                _HANDLERS[event.__class__](event, self)
        if self._pending:
            self.pause_reading()

    def on_lost(self) -> None:
        """Cancel the call of a caller that has gone."""
        call = self.call
        self.call = None
        self.close()
        if call is not None:
            call.cancel()

    def on_sent(self) -> None:
        """Let the response flow again once the caller has taken enough."""
        if self._lingering:
            self._end_writing()
            return
        self._idle_deadline = self.forwarder.now + self.forwarder.limits.idle_s
        if self.call is not None:
            self.call.on_caller_sent(self.out_bytes)

    def close(self) -> None:
        """Close the socket and forget its timer."""
        if self.closed:
            return
        if self._idle_timer is not None:
            self.forwarder.timers.cancel(self._idle_timer)
        super().close()
        self.forwarder.forget_caller(self)

    def begin_request(self, head: RequestHead) -> None:
        """Start the call that a request asks for."""
        self._request_open = True
        chunked = head.framing is Framing.CHUNKED
        self._rest_is_short = not chunked and head.length <= SHORT_BODY_BYTES
        self._response_closes = not head.keep_alive
        self.forwarder.start_call(self, head)

    def accept_body(self, part: bytes) -> None:
        """Pass on a part of the request's body."""
        if self.call is not None:
            self.call.on_request_body(part)

    def end_request(self) -> None:
        """Pass on the end of the request."""
        self._request_open = False
        if self.call is not None:
            self.call.on_request_end()

    def reject(self, malformed: Malformed) -> None:
        """Refuse a request that can't be read and end the connection."""
        call = self.call
        self.call = None
        if call is not None:
            response_begun = call.response_started
            call.cancel()
            if response_begun:
                self.close()
                return
        refusal = refuse_unrun(malformed.reason)
        if call is not None:
            refusal = call.qualify(malformed.reason)
        self.forwarder.log_refusal(refusal, "", "", malformed.detail)
        self._response_closes = True
        self.refuse(refusal)

    def ask_to_continue(self) -> None:
        """Tell a caller that waits for it to send the body."""
        self.write(CONTINUE)

    def begin_response(self, head: ResponseHead, lines: list[bytes]) -> None:
        """Send the head of a response."""
        if self.forwarder.stopping or self._request_open:
            self._response_closes = True
        if self._response_closes:
            lines.append(CLOSE_LINE)
        self._response_chunked = head.framing is Framing.CHUNKED
        framing = head.framing
        self.write(encode_response(head.status, lines, framing, head.length))

    def write_response_body(self, part: bytes) -> None:
        """Send a part of the response's body."""
        self.write(encode_chunk(part) if self._response_chunked else part)

    def end_response(self) -> None:
        """Finish the response and go on to the next request."""
        if self._response_chunked:
            self.write(LAST_CHUNK)
        self._finish_call()

    def refuse(self, refusal: Refusal, call_id: str = "") -> None:
        """Send a refusal as the response."""
        self.forwarder.count_refusal(refusal)
        rest_is_long = self._request_open and not self._rest_is_short
        if rest_is_long or self.forwarder.stopping:
            self._response_closes = True
        self.write(encode_refusal(refusal, call_id, self._response_closes))
        self._finish_call()

    def refuse_connection(self, refusal: Refusal) -> None:
        """Send a refusal before any request and end the connection."""
        self._response_closes = True
        self.refuse(refusal)

    def cut(self) -> None:
        """End a response visibly incomplete."""
        self.call = None
        self.close()

    def close_if_idle(self) -> None:
        """Close a connection that carries no call."""
        if self.call is None and not self._pending and not self._lingering:
            self.close()

    def _finish_call(self) -> None:
        self.call = None
        if self._response_closes:
            self._linger()
            return
        if self._pending:
            self._replay_pending()
        self.resume_reading()

    def _replay_pending(self) -> None:
        while self._pending:
            if self.call is not None and not self._request_open:
                return
            event = self._pending.popleft()
            _HANDLERS[event.__class__](event, self)

    def _linger(self) -> None:
        """Read and drop what still arrives, so that the response is not lost."""
        self._lingering = True
        self._pending.clear()
        self._idle_deadline = self.forwarder.now + LINGER_S
        if self._idle_timer is not None:
            self.forwarder.timers.cancel(self._idle_timer)
        self._arm_idle_timer()
        self.resume_reading()

    def _end_writing(self) -> None:
        if not self.out_bytes:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)

    def _limit_head(self, was_open: bool) -> None:
        if was_open:
            return
        self._idle_deadline = self.forwarder.now + self.forwarder.limits.head_s
        if self._idle_timer is not None:
            self.forwarder.timers.cancel(self._idle_timer)
        self._arm_idle_timer()

    def _arm_idle_timer(self) -> None:
        self._idle_timer = self.forwarder.timers.add(
            self._idle_deadline, self._check_idle
        )

    def _check_idle(self) -> None:
        now = self.forwarder.now
        waits_for_response = self.call is not None and not self._request_open
        if waits_for_response and not self.out_bytes:
            self._idle_deadline = now + self.forwarder.limits.idle_s
        if self._idle_deadline > now:
            self._arm_idle_timer()
        elif self._lingering or self.out_bytes:
            self.on_lost()
        elif self._parser.open_head:
            self.reject(Malformed(Reason.HEAD_TIMEOUT, "the head came too slowly"))
        elif self.call is not None:
            self.reject(Malformed(Reason.BODY_TIMEOUT, "the body came too slowly"))
        else:
            self.close()


@singledispatch
def accept_event(event: Any, caller: CallerConnection) -> None:
    """Act on an event of the request parser."""
    raise TypeError(f"no such event: {event!r}")


@accept_event.register(RequestHead)
def _(event: RequestHead, caller: CallerConnection) -> None:
    caller.begin_request(event)


@accept_event.register(bytes)
def _(event: bytes, caller: CallerConnection) -> None:
    caller.accept_body(event)


@accept_event.register(EndOfMessage)
def _(event: EndOfMessage, caller: CallerConnection) -> None:
    caller.end_request()


@accept_event.register(Malformed)
def _(event: Malformed, caller: CallerConnection) -> None:
    caller.reject(event)


#: Handlers of ``accept_event`` by the exact type of the event.
_HANDLERS = accept_event.registry
