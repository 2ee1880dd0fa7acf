"""Connections from callers: partner routers, back ends and other nodes."""

from __future__ import annotations

import contextlib
import socket
from collections import deque
from functools import singledispatch
from typing import TYPE_CHECKING, Any

from monsoontray.decisions.outcomes import Reason, Refusal, refuse_unrun
from monsoontray.decisions.retries import is_idempotent_method
from monsoontray.forwarding.connection import Connection
from monsoontray.forwarding.exchange import Exchange
from monsoontray.forwarding.heads import EndOfMessage, RequestHead
from monsoontray.forwarding.parsing import Malformed, RequestEvent, RequestParser

if TYPE_CHECKING:
    from monsoontray.forwarding.forwarder import Forwarder
    from monsoontray.kernel.timers import Timer

LINGER_S = 1.0  # time to read on after a last response, so that it arrives
MAX_PIPELINED = 16  # requests of one connection that are served at once


class CallerConnection(Connection):
    """Own one caller's socket: requests in, responses out in the same order."""

    __slots__ = (
        "_exchanges",
        "_idle_deadline",
        "_idle_timer",
        "_lingering",
        "_parser",
        "_pending",
        "_taking",
        "side",
    )

    def __init__(self, sock: socket.socket, forwarder: Forwarder, side: Any) -> None:
        super().__init__(sock, forwarder)
        self.side = side
        self._parser = RequestParser(forwarder.limits.head, side.names)
        self._exchanges: deque[Exchange] = deque()
        self._pending: deque[RequestEvent] = deque()
        self._lingering = False
        self._taking = False
        self._idle_deadline = forwarder.now + forwarder.limits.idle_timeout_s
        self._idle_timer: Timer | None = None
        self._arm_idle_timer()

    def is_first(self, exchange: Exchange) -> bool:
        """Say whether it is the turn of an exchange to be written."""
        return bool(self._exchanges) and self._exchanges[0] is exchange

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
            self._idle_deadline = (
                self.forwarder.now + self.forwarder.limits.idle_timeout_s
            )
        self._pending.extend(events)
        self._take_pending()

    def on_lost(self) -> None:
        """Cancel the calls of a caller that has gone."""
        exchanges, self._exchanges = self._exchanges, deque()
        self.close()
        _cancel_all(exchanges)

    def on_sent(self) -> None:
        """Let the response flow again once the caller has taken enough."""
        if self._lingering:
            self._end_writing()
            return
        self._idle_deadline = self.forwarder.now + self.forwarder.limits.idle_timeout_s
        if self._exchanges:
            call = self._exchanges[0].call
            if call is not None:
                call.request.resume_response(self.out_bytes)

    def close(self) -> None:
        """Close the socket and forget its timer."""
        if self.closed:
            return
        if self._idle_timer is not None:
            self.forwarder.timers.cancel(self._idle_timer)
        super().close()
        self.forwarder.remove_caller(self)

    def begin_request(self, head: RequestHead) -> None:
        """Start the call that a request asks for."""
        exchange = Exchange(self, head)
        self._exchanges.append(exchange)
        self.forwarder.start_call(self, exchange, head)

    def accept_body(self, part: bytes) -> None:
        """Pass on a part of the request's body."""
        exchange = self._find_open()
        if exchange is not None and exchange.call is not None:
            exchange.call.request.send_body(part)

    def end_request(self) -> None:
        """Pass on the end of the request."""
        exchange = self._find_open()
        if exchange is not None:
            exchange.request_open = False
            if exchange.call is not None:
                exchange.call.request.send_end()
            elif exchange.done:
                self.advance()

    def reject(self, malformed: Malformed) -> None:
        """Refuse a request that can't be read and end the connection."""
        refusal = refuse_unrun(malformed.reason)
        exchange = self._find_open()
        if exchange is not None and exchange.call is not None:
            call = exchange.call
            exchange.call = None
            response_begun = call.response_started
            refusal = call.build_refusal(malformed.reason)
            call.cancel()
            if response_begun:
                exchange.cut()
                return
        elif exchange is None or exchange.done:
            if exchange is not None:
                exchange.request_open = False
            exchange = Exchange(self, None)
            self._exchanges.append(exchange)
        exchange.closes = True
        self.forwarder.report.record_refused_connection(refusal, malformed.detail)
        exchange.refuse(refusal, None)

    def refuse_connection(self, refusal: Refusal) -> None:
        """Send a refusal before any request and end the connection."""
        exchange = Exchange(self, None)
        self._exchanges.append(exchange)
        self.forwarder.report.record_refused_connection(refusal, "")
        exchange.refuse(refusal, None)

    def resume_if_allowed(self) -> None:
        """Read on unless requests that were received wait for their turn."""
        if not self._pending:
            self.resume_reading()

    def advance(self) -> None:
        """Go on to the next response once one is complete."""
        while self._exchanges and not self._lingering:
            first = self._exchanges[0]
            if not first.done or (first.request_open and not first.closes):
                break
            if first.was_cut:
                self.on_lost()
                return
            self._exchanges.popleft()
            if first.closes:
                self._linger()
                return
            if self._exchanges:
                for part in self._exchanges[0].take_parts():
                    self.write(part)
        self._take_pending()

    def close_if_idle(self) -> None:
        """Close a connection that carries no call."""
        if not self._exchanges and not self._pending and not self._lingering:
            self.close()

    def _find_open(self) -> Exchange | None:
        """Return the exchange whose request is still arriving."""
        if self._exchanges and self._exchanges[-1].request_open:
            return self._exchanges[-1]
        return None

    def _take_pending(self) -> None:
        """Act on the events whose turn has come."""
        if self._taking:
            return
        self._taking = True
        pending = self._pending
        while pending and not self._lingering and not self.closed:
            if not self._may_take(pending[0]):
                self.pause_reading()
                break
            event = pending.popleft()
            _HANDLERS[event.__class__](event, self)
        self._taking = False
        exchange = self._find_open()
        if not pending and (exchange is None or not exchange.paused):
            self.resume_reading()

    def _may_take(self, event: RequestEvent) -> bool:
        """Say whether an event can be acted on before earlier calls have ended."""
        if self._find_open() is not None or not self._exchanges:
            return True
        if isinstance(event, RequestHead):
            if len(self._exchanges) >= MAX_PIPELINED:
                return False
            return is_idempotent_method(event.method)
        return False

    def _linger(self) -> None:
        """Read and drop what still arrives, so that the response is not lost."""
        self._lingering = True
        self._pending.clear()
        # Requests behind a response that closes the connection count as unread.
        exchanges, self._exchanges = self._exchanges, deque()
        _cancel_all(exchanges)
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
        self._idle_deadline = self.forwarder.now + self.forwarder.limits.head_timeout_s
        if self._idle_timer is not None:
            self.forwarder.timers.cancel(self._idle_timer)
        self._arm_idle_timer()

    def _arm_idle_timer(self) -> None:
        self._idle_timer = self.forwarder.timers.add(
            self._idle_deadline, self._check_idle
        )

    def _check_idle(self) -> None:
        now = self.forwarder.now
        open_exchange = self._find_open()
        if self._exchanges and open_exchange is None and not self.out_bytes:
            self._idle_deadline = now + self.forwarder.limits.idle_timeout_s
        if self._idle_deadline > now:
            self._arm_idle_timer()
        elif self._lingering or self.out_bytes:
            self.on_lost()
        elif self._parser.open_head:
            self.reject(Malformed(Reason.HEAD_TIMEOUT, "the head came too slowly"))
        elif open_exchange is not None and open_exchange.call is not None:
            self.reject(Malformed(Reason.BODY_TIMEOUT, "the body came too slowly"))
        else:
            self.close()


def _cancel_all(exchanges: deque[Exchange]) -> None:
    for exchange in exchanges:
        call = exchange.call
        exchange.call = None
        if call is not None:
            call.cancel()


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
