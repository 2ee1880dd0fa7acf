"""Connections to guards and to the local backend server."""

from __future__ import annotations

import enum
import errno
import socket
from collections.abc import Callable
from functools import singledispatch
from typing import TYPE_CHECKING, Any

from monsoontray.decisions.outcomes import Ran, Reason
from monsoontray.forwarding.connection import Connection, configure_socket
from monsoontray.forwarding.exchange import ReceivedResponse
from monsoontray.forwarding.heads import (
    END_OF_MESSAGE,
    ContinueReceived,
    EndOfMessage,
    ResponseHead,
)
from monsoontray.forwarding.parsing import Malformed, ResponseParser
from monsoontray.forwarding.receiving import (
    handle_response_body,
    handle_response_end,
    handle_response_head,
)
from monsoontray.forwarding.windows import SilenceLimit
from monsoontray.kernel.sockets import ERROR_OR_HANGUP, READABLE, WRITABLE

if TYPE_CHECKING:
    from monsoontray.forwarding.call import Call
    from monsoontray.forwarding.forwarder import Forwarder
    from monsoontray.forwarding.withdrawals import Withdrawal
    from monsoontray.kernel.timers import Timer
    from monsoontray.settings.settings import Address

IDLE_TIMEOUT_FRACTION = 0.5  # of the idle timeout of the other side


class ConnectOutcome(enum.Enum):
    """Outcome of opening a connection without a call."""

    CONNECTED = "connected"
    REFUSED = "refused"  # nothing listens at the address
    FAILED = "failed"  # there was no answer, or the connection was lost

    @classmethod
    def from_error(cls, error: int) -> ConnectOutcome:
        """Return the outcome that an error number of the system stands for."""
        return cls.REFUSED if error == errno.ECONNREFUSED else cls.FAILED


class UpstreamConnection(Connection):
    """A connection to a guard or a backend server; carries one call at a time."""

    __slots__ = (
        "_connect_timer",
        "_on_connected",
        "_parser",
        "_response",
        "_silence_limit",
        "address",
        "call",
        "connected",
        "forwarder",
        "idle_deadline",
        "keep_alive_s",
        "must_close",
        "withdrawal",
    )

    def __init__(
        self,
        sock: socket.socket,
        forwarder: Forwarder,
        address: Address,
        on_connected: Callable[[ConnectOutcome], object] | None = None,
    ) -> None:
        self.forwarder = forwarder
        super().__init__(sock, forwarder, READABLE | WRITABLE)
        self.address = address
        #: Set on connections that are opened without a call.
        self._on_connected = on_connected
        self.call: Call | None = None
        self.withdrawal: Withdrawal | None = None  # of the call that it carried
        self.connected = False
        self.idle_deadline = 0.0
        self.must_close = False  # no further request may be sent on this connection
        self.keep_alive_s = 0.0  # idle timeout that the other side announced; 0 if none
        self._response = ReceivedResponse()
        self._silence_limit = SilenceLimit(sock, forwarder, self._on_window_closed)
        extra_headers = forwarder.http_profile.get_response_headers()
        self._parser = ResponseParser(forwarder.limits.head, extra_headers)
        deadline = forwarder.now + forwarder.limits.connect_timeout_s
        self._connect_timer: Timer | None = forwarder.timers.add(
            deadline, self._on_connect_timeout
        )

    def handle_events(self, events: int) -> None:
        """Finish connecting, then handle events of the socket."""
        if not self.connected and not self._finish_connecting(events):
            return
        super().handle_events(events)

    def begin_call(self, call: Call, method: str) -> None:
        """Prepare for the request and the response of a call."""
        self.call = call
        self._response = ReceivedResponse()
        self._parser.expect_response(method)

    @property
    def awaits_head(self) -> bool:
        """Return whether the response to the call has not begun."""
        return self.connected and self._response.awaits_head

    def withdraw(self, withdrawal: Withdrawal) -> None:
        """End this half of the connection, so that the guard drops the call."""
        self.call = None
        self.withdrawal = withdrawal
        self.resume_reading()
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._fail(Reason.CONNECTION_LOST)

    def on_data(self, data: bytes) -> None:
        """Parse received bytes and pass the response to the call."""
        if self.withdrawal is not None:
            self.withdrawal.receive(self._parser.feed(data))
            return
        if self.call is None:
            # Unsolicited bytes must not be read as the response to the next call, and
            # the start of a head must not stay in the parser.
            self.close()
            return
        self.forwarder.account.room -= len(data)
        events = self._parser.feed(data)
        if END_OF_MESSAGE in events and (
            events[-1] is not END_OF_MESSAGE or self._parser.head_in_progress
        ):
            self.must_close = True  # the server sent more than one response
        for event in events:
            if self.call is None:
                self.close()
                return
            _HANDLERS[event.__class__](event, self)
        if self._response.skip(len(data)):
            self._fail(Reason.BAD_RESPONSE)

    def on_eof(self) -> None:
        """Complete a response that ends with the connection, or fail the call."""
        is_whole = self._response.is_whole_at_end(self.is_reset)
        if is_whole and self.call is not None:
            self.finish_response()
        else:
            self.on_connection_lost()

    def on_connection_lost(self) -> None:
        """Close the connection and report the loss to the call."""
        self._fail(Reason.CONNECTION_LOST)

    def on_sent(self) -> None:
        """Report to the call how many bytes are still unsent."""
        self._silence_limit.record_sent()
        if self.call is not None:
            self.call.request.resume_request(self.unsent_bytes)

    def close(self) -> None:
        """Close the socket and cancel its timer."""
        if self.closed:
            return
        self._cancel_connect_timer()
        self._silence_limit.stop()
        super().close()
        self._parser.close()
        self.forwarder.pool.remove(self)

    def finish_response(self) -> None:
        """Report the end of the response; keep the connection if it is reusable."""
        if self._response.end_foreign():
            return
        call = self.call
        assert call is not None
        self.call = None
        if self._may_be_reused(call):
            self.resume_reading()
            self.forwarder.pool.add_idle(self)
        else:
            self.close()
        handle_response_end(call)

    def _may_be_reused(self, call: Call) -> bool:
        """Return whether another request may be sent after the response to a call.

        The other side reads what is sent next as the rest of an incomplete request.
        """
        is_sent = call.request.sent.is_written and not self.unsent_bytes
        is_usable = (
            self._response.keeps_alive and not self.must_close and not self.is_reset
        )
        return is_sent and is_usable

    def on_head(self, head: ResponseHead) -> None:
        """Pass the head of a response to the call."""
        if head.keep_alive_s:
            self.keep_alive_s = head.keep_alive_s
        assert self.call is not None
        # A late response to an earlier call precedes the expected response.
        response = self._response
        response.receive_head(head, handle_response_head(self.call, head))
        if response.is_foreign:
            self.must_close = True

    def on_body(self, part: bytes) -> None:
        """Pass a part of a response's body to the call."""
        if not self._response.is_foreign:
            assert self.call is not None
            handle_response_body(self.call, part)

    def reject(self, malformed: Malformed) -> None:
        """Close the connection because its response is malformed."""
        self._fail(Reason.BAD_RESPONSE)

    def _finish_connecting(self, events: int) -> bool:
        """Handle the outcome of connecting; return whether it succeeded."""
        error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error or events & ERROR_OR_HANGUP:
            self._fail(Reason.UNREACHABLE, ConnectOutcome.from_error(error))
            return False
        self.connected = True
        self._cancel_connect_timer()
        if self.call is not None:
            self.call.request.on_connected()
        else:
            self.forwarder.pool.add_idle(self)
            self._report_connected(ConnectOutcome.CONNECTED)
        return True

    def _on_window_closed(self) -> None:
        self.forwarder.report.record_closed_window(self.call)

    def _report_connected(self, outcome: ConnectOutcome) -> None:
        on_connected, self._on_connected = self._on_connected, None
        if on_connected is not None:
            on_connected(outcome)

    def _on_connect_timeout(self) -> None:
        self._connect_timer = None
        self._fail(Reason.UNREACHABLE)

    def _cancel_connect_timer(self) -> None:
        if self._connect_timer is not None:
            self.forwarder.timers.cancel(self._connect_timer)
            self._connect_timer = None

    def _fail(
        self, reason: Reason, outcome: ConnectOutcome = ConnectOutcome.FAILED
    ) -> None:
        """Close the connection and report the reason to its call."""
        call, withdrawal = self.call, self.withdrawal
        self.call = None
        self.close()
        if call is not None:
            call.on_upstream_lost(reason)
        if withdrawal is not None:
            withdrawal.settle(Ran.UNKNOWN)
        self._report_connected(outcome)


class UpstreamPool:
    """Idle connections by address; the most recently used one is reused first.

    Idle connections are closed before the other side would close them: if a request
    is sent while the other side closes, its outcome is unknown.
    """

    __slots__ = (
        "_forwarder",
        "_idle",
        "_idle_timeout_s",
        "_sweep_scheduled",
        "open_count",
    )

    def __init__(self, forwarder: Forwarder) -> None:
        self._forwarder = forwarder
        self._idle: dict[Address, list[UpstreamConnection]] = {}
        self._idle_timeout_s = forwarder.limits.idle_timeout_s * IDLE_TIMEOUT_FRACTION
        self._sweep_scheduled = False
        self.open_count = 0  # connections, idle or in use

    def acquire(self, address: Address) -> UpstreamConnection:
        """Return an idle connection, or a new one if none is idle.

        Raises OSError if no connection can be opened.
        """
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            if connection.idle_deadline > self._forwarder.now:
                return connection
            connection.close()
        return self._open(address)

    def preconnect(
        self, address: Address, on_connected: Callable[[ConnectOutcome], object]
    ) -> None:
        """Open a connection for later calls and report the outcome."""
        try:
            self._open(address, on_connected)
        except OSError as error:
            on_connected(ConnectOutcome.from_error(error.errno or 0))

    def add_idle(self, connection: UpstreamConnection) -> None:
        """Keep an idle connection for the next call."""
        idle_timeout_s = self._idle_timeout_s
        if connection.keep_alive_s:
            idle_timeout_s = min(
                idle_timeout_s, connection.keep_alive_s * IDLE_TIMEOUT_FRACTION
            )
        connection.idle_deadline = self._forwarder.now + idle_timeout_s
        if not self._sweep_scheduled:
            self._sweep_scheduled = True
            self._forwarder.timers.add(connection.idle_deadline, self._sweep)
        self._idle.setdefault(connection.address, []).append(connection)

    def remove(self, connection: UpstreamConnection) -> None:
        """Remove a closed connection."""
        self.open_count -= 1
        idle = self._idle.get(connection.address)
        if idle is not None and connection in idle:
            idle.remove(connection)

    def close_address(self, address: Address) -> None:
        """Close the idle connections to an address."""
        for connection in list(self._idle.get(address, ())):
            connection.close()
        self._idle.pop(address, None)

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.close_address(address)

    def _sweep(self) -> None:
        """Close connections that were idle too long and schedule the next sweep."""
        self._sweep_scheduled = False
        now = self._forwarder.now
        # Each list starts with the connection that has been idle the longest.
        for idle in list(self._idle.values()):
            while idle and idle[0].idle_deadline <= now:
                idle[0].close()
        self._idle = {address: idle for address, idle in self._idle.items() if idle}
        if self._idle:
            earliest = min(idle[0].idle_deadline for idle in self._idle.values())
            self._sweep_scheduled = True
            self._forwarder.timers.add(earliest, self._sweep)

    def _open(
        self,
        address: Address,
        on_connected: Callable[[ConnectOutcome], object] | None = None,
    ) -> UpstreamConnection:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        configure_socket(sock)
        try:
            sock.connect((address.host, address.port))
        except BlockingIOError:
            pass
        except OSError:
            sock.close()
            raise
        self.open_count += 1
        return UpstreamConnection(sock, self._forwarder, address, on_connected)


@singledispatch
def handle_event(event: Any, upstream: UpstreamConnection) -> None:
    """Handle an event of the response parser."""
    raise TypeError(f"unsupported event: {event!r}")


@handle_event.register(ResponseHead)
def _(event: ResponseHead, upstream: UpstreamConnection) -> None:
    upstream.on_head(event)


@handle_event.register(bytes)
def _(event: bytes, upstream: UpstreamConnection) -> None:
    upstream.on_body(event)


@handle_event.register(ContinueReceived)
def _(event: ContinueReceived, upstream: UpstreamConnection) -> None:
    if upstream.call is not None:
        upstream.call.request.handle_continue()


@handle_event.register(EndOfMessage)
def _(event: EndOfMessage, upstream: UpstreamConnection) -> None:
    upstream.finish_response()


@handle_event.register(Malformed)
def _(event: Malformed, upstream: UpstreamConnection) -> None:
    upstream.reject(event)


#: Handlers of ``handle_event`` by the exact type of the event.
_HANDLERS = handle_event.registry
