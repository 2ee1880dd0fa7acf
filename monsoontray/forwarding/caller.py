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
from monsoontray.forwarding.heads import EndOfMessage, RequestHead
from monsoontray.forwarding.parsing import Malformed, RequestEvent, RequestParser
from monsoontray.forwarding.transaction import HttpTransaction

if TYPE_CHECKING:
    from monsoontray.forwarding.forwarder import Forwarder
    from monsoontray.kernel.timers import Timer

LINGER_S = 1.0  # time to read on after a last response, so that it arrives
MAX_PIPELINED = 16  # requests of one connection that are served at once


class CallerConnection(Connection):
    """Own one caller's socket: requests in, responses out in the same order."""

    __slots__ = (
        "_idle_deadline",
        "_idle_timer",
        "_lingering",
        "_parser",
        "_pending_events",
        "_processing",
        "_transactions",
        "side",
    )

    def __init__(self, sock: socket.socket, forwarder: Forwarder, side: Any) -> None:
        super().__init__(sock, forwarder)
        self.side = side
        self._parser = RequestParser(forwarder.limits.head, side.names)
        self._transactions: deque[HttpTransaction] = deque()
        self._pending_events: deque[RequestEvent] = deque()
        self._lingering = False
        self._processing = False
        self._idle_deadline = forwarder.now + forwarder.limits.idle_timeout_s
        self._idle_timer: Timer | None = None
        self._arm_idle_timer()

    def is_current(self, transaction: HttpTransaction) -> bool:
        """Say whether it is the turn of an exchange to be written."""
        return bool(self._transactions) and self._transactions[0] is transaction

    def on_data(self, data: bytes) -> None:
        """Act on received bytes."""
        if self._lingering:
            return
        parser = self._parser
        was_in_progress = parser.head_in_progress
        events = parser.feed(data)
        if parser.head_in_progress:
            self._start_head_timeout(was_in_progress)
        else:
            self._idle_deadline = (
                self.forwarder.now + self.forwarder.limits.idle_timeout_s
            )
        self._pending_events.extend(events)
        self._process_pending()

    def on_connection_lost(self) -> None:
        """Cancel the calls of a caller that has gone."""
        transactions, self._transactions = self._transactions, deque()
        self.close()
        _cancel_calls(transactions)

    def on_sent(self) -> None:
        """Let the response flow again once the caller has taken enough."""
        if self._lingering:
            self._shut_down_writing()
            return
        self._idle_deadline = self.forwarder.now + self.forwarder.limits.idle_timeout_s
        if self._transactions:
            call = self._transactions[0].call
            if call is not None:
                call.request.resume_response(self.unsent_bytes)

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
        transaction = HttpTransaction(self, head)
        self._transactions.append(transaction)
        self.forwarder.start_call(self, transaction, head)

    def forward_body(self, part: bytes) -> None:
        """Pass on a part of the request's body."""
        transaction = self._find_receiving()
        if transaction is not None and transaction.call is not None:
            transaction.call.request.send_body(part)

    def end_request(self) -> None:
        """Pass on the end of the request."""
        transaction = self._find_receiving()
        if transaction is not None:
            transaction.request_open = False
            if transaction.call is not None:
                transaction.call.request.send_end()
            elif transaction.done:
                self.advance()

    def reject(self, malformed: Malformed) -> None:
        """Refuse a request that can't be read and end the connection."""
        refusal = refuse_unrun(malformed.reason)
        transaction = self._find_receiving()
        if transaction is not None and transaction.call is not None:
            call = transaction.call
            transaction.call = None
            response_begun = call.response_started
            refusal = call.build_refusal(malformed.reason)
            call.cancel()
            if response_begun:
                transaction.cut()
                return
        elif transaction is None or transaction.done:
            if transaction is not None:
                transaction.request_open = False
            transaction = HttpTransaction(self, None)
            self._transactions.append(transaction)
        transaction.closes_connection = True
        self.forwarder.report.record_refused_connection(refusal, malformed.detail)
        transaction.refuse(refusal, None)

    def refuse_connection(self, refusal: Refusal) -> None:
        """Send a refusal before any request and end the connection."""
        transaction = HttpTransaction(self, None)
        self._transactions.append(transaction)
        self.forwarder.report.record_refused_connection(refusal, "")
        transaction.refuse(refusal, None)

    def resume_if_allowed(self) -> None:
        """Read on unless requests that were received wait for their turn."""
        if not self._pending_events:
            self.resume_reading()

    def advance(self) -> None:
        """Go on to the next response once one is complete."""
        while self._transactions and not self._lingering:
            first = self._transactions[0]
            if not first.done or (first.request_open and not first.closes_connection):
                break
            if first.was_cut:
                self.on_connection_lost()
                return
            self._transactions.popleft()
            if first.closes_connection:
                self._linger()
                return
            if self._transactions:
                for part in self._transactions[0].pop_buffered():
                    self.write(part)
        self._process_pending()

    def close_if_idle(self) -> None:
        """Close a connection that carries no call."""
        if not self._transactions and not self._pending_events and not self._lingering:
            self.close()

    def _find_receiving(self) -> HttpTransaction | None:
        """Return the exchange whose request is still arriving."""
        if self._transactions and self._transactions[-1].request_open:
            return self._transactions[-1]
        return None

    def _process_pending(self) -> None:
        """Act on the events whose turn has come."""
        if self._processing:
            return
        self._processing = True
        events = self._pending_events
        while events and not self._lingering and not self.closed:
            if not self._can_process(events[0]):
                self.pause_reading()
                break
            event = events.popleft()
            _HANDLERS[event.__class__](event, self)
        self._processing = False
        transaction = self._find_receiving()
        if not events and (transaction is None or not transaction.paused):
            self.resume_reading()

    def _can_process(self, event: RequestEvent) -> bool:
        """Say whether an event can be acted on before earlier calls have ended."""
        if self._find_receiving() is not None or not self._transactions:
            return True
        if isinstance(event, RequestHead):
            if len(self._transactions) >= MAX_PIPELINED:
                return False
            return is_idempotent_method(event.method)
        return False

    def _linger(self) -> None:
        """Read and drop what still arrives, so that the response is not lost."""
        self._lingering = True
        self._pending_events.clear()
        # Requests behind a response that closes the connection count as unread.
        transactions, self._transactions = self._transactions, deque()
        _cancel_calls(transactions)
        self._idle_deadline = self.forwarder.now + LINGER_S
        if self._idle_timer is not None:
            self.forwarder.timers.cancel(self._idle_timer)
        self._arm_idle_timer()
        self.resume_reading()

    def _shut_down_writing(self) -> None:
        if not self.unsent_bytes:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)

    def _start_head_timeout(self, was_in_progress: bool) -> None:
        if was_in_progress:
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
        receiving = self._find_receiving()
        if self._transactions and receiving is None and not self.unsent_bytes:
            self._idle_deadline = now + self.forwarder.limits.idle_timeout_s
        if self._idle_deadline > now:
            self._arm_idle_timer()
        elif self._lingering or self.unsent_bytes:
            self.on_connection_lost()
        elif self._parser.head_in_progress:
            self.reject(Malformed(Reason.HEAD_TIMEOUT, "the head came too slowly"))
        elif receiving is not None and receiving.call is not None:
            self.reject(Malformed(Reason.BODY_TIMEOUT, "the body came too slowly"))
        else:
            self.close()


def _cancel_calls(transactions: deque[HttpTransaction]) -> None:
    for transaction in transactions:
        call = transaction.call
        transaction.call = None
        if call is not None:
            call.cancel()


@singledispatch
def handle_event(event: Any, caller: CallerConnection) -> None:
    """Act on an event of the request parser."""
    raise TypeError(f"no such event: {event!r}")


@handle_event.register(RequestHead)
def _(event: RequestHead, caller: CallerConnection) -> None:
    caller.begin_request(event)


@handle_event.register(bytes)
def _(event: bytes, caller: CallerConnection) -> None:
    caller.forward_body(event)


@handle_event.register(EndOfMessage)
def _(event: EndOfMessage, caller: CallerConnection) -> None:
    caller.end_request()


@handle_event.register(Malformed)
def _(event: Malformed, caller: CallerConnection) -> None:
    caller.reject(event)


#: Handlers of ``accept_event`` by the exact type of the event.
_HANDLERS = handle_event.registry
