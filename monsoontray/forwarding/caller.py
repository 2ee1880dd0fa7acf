"""Connections from callers: partner routers, back ends and other nodes."""

from __future__ import annotations

import contextlib
import socket
from collections import deque
from functools import singledispatch
from typing import TYPE_CHECKING, Any

from monsoontray.decisions.outcomes import Reason, Refusal, refuse_not_run
from monsoontray.decisions.retries import is_idempotent_method
from monsoontray.forwarding.connection import Connection
from monsoontray.forwarding.heads import EndOfMessage, RequestHead
from monsoontray.forwarding.intake import Intake
from monsoontray.forwarding.parsing import Malformed, RequestEvent, RequestParser
from monsoontray.forwarding.sides import answers_withdrawals, find_head_limits
from monsoontray.forwarding.transaction import HttpTransaction

if TYPE_CHECKING:
    from monsoontray.forwarding.forwarder import Forwarder
    from monsoontray.kernel.timers import Timer

#: Time to keep reading once the last response of a connection is sent: closing a
#: socket with unread bytes resets it, and the caller would lose the response.
LINGER_S = 1.0
MAX_PIPELINED = 16  # requests of one connection that are served concurrently


class CallerConnection(Connection):
    """A caller's connection; it sends responses in the order of the requests."""

    __slots__ = (
        "_deadline",
        "_processing",
        "_timer",
        "forwarder",
        "intake",
        "is_lingering",
        "side",
        "transactions",
    )

    def __init__(self, sock: socket.socket, forwarder: Forwarder, side: Any) -> None:
        self.forwarder = forwarder
        super().__init__(sock, forwarder)
        self.side = side
        head_limits = find_head_limits(side, forwarder.limits.head)
        self.intake = Intake(RequestParser(head_limits, side.extra_headers))
        self.transactions: deque[HttpTransaction] = deque()
        self.is_lingering = False
        self._processing = False
        self._deadline = forwarder.now + forwarder.limits.idle_timeout_s
        self._timer: Timer | None = None
        self._arm_timer()

    def is_current(self, transaction: HttpTransaction) -> bool:
        """Return whether the response of a transaction may be written now."""
        return bool(self.transactions) and self.transactions[0] is transaction

    def is_last(self, transaction: HttpTransaction) -> bool:
        """Return whether no request has been read behind that of a transaction."""
        return not self.transactions or self.transactions[-1] is transaction

    def on_data(self, data: bytes) -> None:
        """Parse received bytes and handle the requests in them."""
        if self.is_lingering:
            return
        intake = self.intake
        was_in_progress = intake.head_in_progress
        self.forwarder.account.room -= intake.add(data)
        self._start_timeout(was_in_progress)
        self._process_pending()

    def on_eof(self) -> None:
        """Say of a call that was taken back whether a server may have run it."""
        transaction = self.transactions[0] if self.transactions else None
        call = None if transaction is None else transaction.call
        if (
            transaction is None
            or call is None
            or call.response_started
            or not answers_withdrawals(self.side)
        ):
            self.on_connection_lost()
            return
        transaction.call = None
        refusal = call.build_final_refusal(Reason.WITHDRAWN)
        call.cancel()
        transaction.closes_connection = True
        transaction.refuse(refusal, None, call.call_id)

    def on_connection_lost(self) -> None:
        """Close the connection and cancel its calls."""
        transactions, self.transactions = self.transactions, deque()
        self.close()
        _cancel_calls(transactions)

    def on_sent(self) -> None:
        """Resume reading the current response if enough of it was sent."""
        self._deadline = self.forwarder.now + self.forwarder.limits.idle_timeout_s
        if self.is_lingering:
            self._shut_down_writing()
            return
        if self.transactions:
            call = self.transactions[0].call
            if call is not None:
                call.request.resume_response(self.unsent_bytes)
        if not self.intake.is_empty:
            self._process_pending()

    def close(self) -> None:
        """Close the socket and cancel its timer."""
        if self.closed:
            return
        if self._timer is not None:
            self.forwarder.timers.cancel(self._timer)
        super().close()
        self.intake.clear()
        self.forwarder.remove_caller(self)

    def begin_request(self, head: RequestHead) -> None:
        """Start the call of a request."""
        transaction = HttpTransaction(self, head)
        self.transactions.append(transaction)
        self.forwarder.start_call(self, transaction, head)

    def forward_body(self, part: bytes) -> None:
        """Forward a part of the request's body."""
        transaction = self.find_incoming()
        if transaction is not None and transaction.call is not None:
            transaction.call.receive_body(part)

    def end_request(self) -> None:
        """Forward the end of the request."""
        transaction = self.find_incoming()
        if transaction is not None:
            transaction.receiving_request = False
            if transaction.call is not None:
                transaction.call.receive_end()
            elif transaction.done:
                self.advance()

    def reject(self, malformed: Malformed) -> None:
        """Refuse a malformed request and close the connection."""
        refusal = refuse_not_run(malformed.reason)
        call_id = ""
        transaction = self.find_incoming()
        if transaction is not None and transaction.call is not None:
            call = transaction.call
            call_id = call.call_id
            transaction.call = None
            response_started = call.response_started
            refusal = call.build_final_refusal(malformed.reason)
            call.cancel()
            if response_started:
                transaction.cut()
                return
        elif transaction is None or transaction.done:
            if transaction is not None:
                transaction.receiving_request = False
            transaction = HttpTransaction(self, None)
            self.transactions.append(transaction)
        transaction.closes_connection = True
        self.forwarder.report.record_refused_connection(refusal, malformed.detail)
        transaction.refuse(refusal, None, call_id)

    def refuse_connection(self, refusal: Refusal) -> None:
        """Refuse the connection before any request and close it."""
        transaction = HttpTransaction(self, None)
        self.transactions.append(transaction)
        self.forwarder.report.record_refused_connection(refusal, "")
        transaction.refuse(refusal, None)

    def resume_if_allowed(self) -> None:
        """Resume reading unless received requests are still waiting."""
        if self.intake.is_empty:
            self.resume_reading()

    def advance(self) -> None:
        """Remove complete transactions and write the responses that follow."""
        while self.transactions and not self.is_lingering:
            first = self.transactions[0]
            if not first.done or (
                first.receiving_request and not first.closes_connection
            ):
                break
            self.transactions.popleft()
            if first.was_cut or first.closes_connection:
                self._linger()
                return
            if self.transactions:
                for part in self.transactions[0].pop_buffered():
                    self.write(part)
        self._process_pending()

    def close_if_idle(self) -> None:
        """Close the connection if it has no call and no request waits to be read."""
        is_used = self.transactions or not self.intake.is_empty or self.is_lingering
        if not is_used and not self.has_unread_bytes():
            self.close()

    def find_incoming(self) -> HttpTransaction | None:
        """Return the transaction whose request is still being received."""
        if self.transactions and self.transactions[-1].receiving_request:
            return self.transactions[-1]
        return None

    def _process_pending(self) -> None:
        """Handle received events in order, until one must wait."""
        if self._processing:
            return
        self._processing = True
        events = self.intake.events
        while not self.is_lingering and not self.closed:
            if not events and self._parse():
                continue
            if not events:
                break
            if not self._can_process(events[0]):
                self.pause_reading()
                break
            event = events.popleft()
            _HANDLERS[event.__class__](event, self)
        self._processing = False
        transaction = self.find_incoming()
        if self.intake.is_empty and (transaction is None or not transaction.paused):
            self.resume_reading()

    def _parse(self) -> bool:
        """Parse received bytes; return whether there were any."""
        intake = self.intake
        was_in_progress = intake.head_in_progress
        if not intake.parse():
            return False
        self._start_timeout(was_in_progress)
        return True

    def _start_timeout(self, was_in_progress: bool) -> None:
        """Start the timeout of a head that begins, or of an idle connection."""
        if self.intake.head_in_progress:
            self._start_head_timeout(was_in_progress)
        else:
            self._deadline = self.forwarder.now + self.forwarder.limits.idle_timeout_s

    def _can_process(self, event: RequestEvent) -> bool:
        """Return whether an event may be handled before earlier calls have ended.

        Only requests with idempotent methods are served concurrently.
        """
        if self.find_incoming() is not None:
            return True
        # A caller that reads no responses gets no further ones.
        if self.unsent_bytes > self.forwarder.limits.stream_buffer_bytes:
            return False
        if not self.transactions:
            return True
        if not isinstance(event, RequestHead):
            return False
        # No response can be sent behind one that closes the connection.
        if self.transactions[-1].closes_connection:
            return False
        has_room = len(self.transactions) < MAX_PIPELINED
        return has_room and is_idempotent_method(event.method)

    def _linger(self) -> None:
        """Discard further input for a while, so that what was written arrives."""
        self.is_lingering = True
        self.intake.clear()
        # Requests after the one whose response closes the connection count as unread.
        transactions, self.transactions = self.transactions, deque()
        _cancel_calls(transactions)
        self._deadline = self.forwarder.now + self.forwarder.limits.idle_timeout_s
        self.resume_reading()
        self._shut_down_writing()

    def _shut_down_writing(self) -> None:
        """Send end of file once all output is sent, and close the socket soon."""
        if self.unsent_bytes:
            return
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)
        self._deadline = self.forwarder.now + LINGER_S
        if self._timer is not None:
            self.forwarder.timers.cancel(self._timer)
        self._arm_timer()

    def _start_head_timeout(self, was_in_progress: bool) -> None:
        """Start the timeout of a head when its first bytes arrive."""
        if was_in_progress:
            return
        self._deadline = self.forwarder.now + self.forwarder.limits.head_timeout_s
        if self._timer is not None:
            self.forwarder.timers.cancel(self._timer)
        self._arm_timer()

    def _arm_timer(self) -> None:
        self._timer = self.forwarder.timers.add(self._deadline, self._check_deadline)

    def _check_deadline(self) -> None:
        """Close the connection, or refuse its request, if it timed out."""
        now = self.forwarder.now
        incoming = self.find_incoming()
        if self.transactions and incoming is None and not self.unsent_bytes:
            self._deadline = now + self.forwarder.limits.idle_timeout_s
        if self._deadline > now:
            self._arm_timer()
        elif self.is_lingering or self.unsent_bytes:
            self.on_connection_lost()
        elif self.intake.head_in_progress:
            self.reject(
                Malformed(Reason.HEAD_TIMEOUT, "timed out while receiving the head")
            )
        elif incoming is not None and incoming.call is not None:
            self.reject(
                Malformed(Reason.BODY_TIMEOUT, "timed out while receiving the body")
            )
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
    """Handle an event of the request parser."""
    raise TypeError(f"unsupported event: {event!r}")


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


#: Handlers of ``handle_event`` by the exact type of the event.
_HANDLERS = handle_event.registry
