"""Send the request of a call to a guard or a back end, once for each attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from monsoontray.forwarding.exchange import SentRequest
from monsoontray.forwarding.fingerprint import (
    FINGERPRINT_HEADER,
    RequestFingerprint,
)
from monsoontray.forwarding.heads import (
    EXPECT_CONTINUE_HEADER,
    LAST_CHUNK,
    Framing,
    RequestHead,
    encode_chunk,
    encode_header,
    encode_request,
)
from monsoontray.forwarding.holdings import PART_COST
from monsoontray.forwarding.replay import ReplayBuffer
from monsoontray.forwarding.routes import TIMEOUT_HEADER, EntryRoute, GuardRoute, Hop

if TYPE_CHECKING:
    from monsoontray.forwarding.call import Call
    from monsoontray.forwarding.forwarder import Forwarder
    from monsoontray.forwarding.transaction import HttpTransaction
    from monsoontray.forwarding.upstream import UpstreamConnection


class RequestSender:
    """Sender of a call's request; it buffers the part received so far.

    If a request with a body is not idempotent, another node gets only its head at
    first, with ``Expect: 100-continue``. That node's guard asks for the body when the
    call holds a slot. Until then the request cannot have run, even if the node crashes.
    """

    __slots__ = (
        "_awaits_caller_body",
        "_awaits_continue",
        "_body",
        "_forwarder",
        "_head",
        "_id_line",
        "_route",
        "_transaction",
        "fingerprint",
        "hop",
        "is_received",
        "may_run",
        "sent",
        "upstream",
    )

    def __init__(
        self,
        forwarder: Forwarder,
        transaction: HttpTransaction,
        head: RequestHead,
        route: EntryRoute | GuardRoute,
        id_line: bytes,
        caller: bytes,
    ) -> None:
        self.hop: Hop | None = None  # where the current attempt goes
        self.upstream: UpstreamConnection | None = None
        self.sent = SentRequest(head.framing, head.length)  # of the current attempt
        self.is_received = False  # the whole request was received
        self.may_run = False  # enough was sent that a back end may run the call
        self._forwarder = forwarder
        self._transaction = transaction
        self._head = head
        self._route = route
        self._id_line = id_line
        self._body = ReplayBuffer()
        given = b""
        if isinstance(route, GuardRoute):  # the caller is another node
            given = head.node_headers.get(FINGERPRINT_HEADER, b"")
        self.fingerprint = RequestFingerprint(head.method, head.target, caller, given)
        if not head.has_body:
            self.fingerprint.end_body()
        #: Only the head was sent; the guard has not asked for the body.
        self._awaits_continue = False
        #: The caller was asked for the body, and no part of it has arrived.
        self._awaits_caller_body = False

    @property
    def is_replayable(self) -> bool:
        """Return whether everything received can be sent again."""
        return self._body.is_complete

    def start(self, call: Call, hop: Hop) -> None:
        """Send the request of a call to the next hop.

        Raises OSError if no connection can be opened.
        """
        self.hop = hop
        self.sent = SentRequest(self._head.framing, self._head.length)
        self.may_run = False
        self._awaits_continue = False
        self._awaits_caller_body = False
        upstream = self._forwarder.pool.acquire(hop.address)
        self.upstream = upstream
        upstream.begin_call(call, self._head.method)
        if upstream.connected:
            self.on_connected()

    def on_connected(self) -> None:
        """Send what was received, or ask the caller for the body first."""
        if self._is_expired():
            return
        hop, head = self.hop, self._head
        assert hop is not None
        if head.expects_continue and not self.is_received and not self._body.size:
            self._transaction.send_continue()
            # Delay the head for a back end until the caller has sent a part of the
            # body and so is known to be still connected.
            self._awaits_caller_body = not hop.is_guard
        if self._awaits_caller_body:
            self._transaction.resume_reading()
            return
        self._awaits_continue = (
            hop.is_guard and head.has_body and not self._route.idempotent
        )
        self._write_head(hop)
        if not self._awaits_continue:
            self._write_all()
        self._transaction.resume_reading()

    def request_body(self) -> None:
        """Ask the caller for the body, of which nothing has been sent yet."""
        if self._head.expects_continue and not self.is_received and not self._body.size:
            self._transaction.send_continue()
        self._transaction.resume_reading()

    def handle_continue(self) -> None:
        """Send the body, because the guard asked for it."""
        if self._awaits_continue:
            self._awaits_continue = False
            self._write_all()
            self._transaction.resume_reading()

    def identify(self, part: bytes) -> None:
        """Add a part of the body to the fingerprint, before any of it is sent."""
        self.fingerprint.add_body(part)
        is_sized = self._head.framing is Framing.LENGTH
        if is_sized and self.fingerprint.body_bytes == self._head.length:
            self.fingerprint.end_body()

    @property
    def body_size(self) -> int:
        """Return how much of the body is buffered."""
        return self._body.size

    def measure(self) -> int:
        """Return the memory that is held of the request's body, in bytes."""
        unsent_bytes = 0 if self.upstream is None else self.upstream.unsent_bytes
        return self._body.size + PART_COST * len(self._body.parts) + unsent_bytes

    def send_body(self, part: bytes) -> None:
        """Buffer a part of the request body, and send it if the hop is ready."""
        limit = self._forwarder.limits.replay_buffer_bytes
        self._send_delayed_head()
        upstream = self._find_ready_upstream()
        self._body.add(part, upstream is not None, limit)
        if upstream is None:
            if self._body.size >= limit:
                self._transaction.pause_reading()
            return
        self._write_body(part)
        if upstream.unsent_bytes > self._forwarder.limits.stream_buffer_bytes:
            self._transaction.pause_reading()

    def send_end(self) -> None:
        """Record that the whole request was received, and send its end."""
        self._send_delayed_head()
        self.is_received = True
        upstream = self._find_ready_upstream()
        if upstream is not None and self._head.framing is Framing.CHUNKED:
            self._write_last_chunk()

    def resume_request(self, unsent_bytes: int) -> None:
        """Read from the caller again once the hop has accepted enough data."""
        limit = self._forwarder.limits.stream_buffer_bytes // 2
        if unsent_bytes <= limit and not self.is_received and not self._awaits_continue:
            self._transaction.resume_reading()

    def resume_response(self, unsent_bytes: int) -> None:
        """Read from the hop again once the caller has accepted enough data."""
        limit = self._forwarder.limits.stream_buffer_bytes // 2
        if self.upstream is not None and unsent_bytes <= limit:
            self.upstream.resume_reading()

    def abort(self) -> None:
        """Close the connection, so that the hop stops working on the call."""
        upstream = self.upstream
        if upstream is not None:
            self.upstream = None
            upstream.call = None
            upstream.close()

    def detach_unanswered(self) -> UpstreamConnection | None:
        """Return the connection to a guard that has the call and has not answered.

        It is no longer used for the call. None is returned if there is no such guard.
        """
        upstream, hop = self.upstream, self.hop
        if upstream is None or hop is None or not hop.is_guard or not self.may_run:
            return None
        if upstream.unsent_bytes or not upstream.awaits_head:
            return None
        self.upstream = None
        return upstream

    def _find_ready_upstream(self) -> UpstreamConnection | None:
        """Return the connection if parts of the body may be sent on it now."""
        upstream = self.upstream
        if upstream is None or not upstream.connected or self._is_expired():
            return None
        return None if self._awaits_continue or self._awaits_caller_body else upstream

    def _is_expired(self) -> bool:
        """Return whether the deadline has passed, so that nothing more may be sent.

        After a pause of the process this may be seen before the deadline's timer runs.
        """
        return self._forwarder.now >= self._route.deadline

    def _send_delayed_head(self) -> None:
        if (
            self._awaits_caller_body
            and self.upstream is not None
            and not self._is_expired()
        ):
            self._awaits_caller_body = False
            assert self.hop is not None
            self._write_head(self.hop)
            self._write_all()

    def _write_head(self, hop: Hop) -> None:
        forwarder, head = self._forwarder, self._head
        assert self.upstream is not None
        self.may_run = not self._awaits_continue
        if not hop.is_guard:
            assert self.upstream.call is not None
            forwarder.guards.record_sent(self.upstream.call)
        remaining_ms = max(1, int((self._route.deadline - forwarder.now) * 1000))
        http_profile = forwarder.http_profile
        timeout = TIMEOUT_HEADER if hop.is_guard else http_profile.timeout_ms
        lines = [
            *head.lines,
            *hop.lines,
            self._id_line,
            b"%b: %d\r\n" % (timeout, remaining_ms),
        ]
        if hop.is_guard and self.fingerprint.value:
            value = self.fingerprint.value.encode()
            lines.append(encode_header(FINGERPRINT_HEADER, value))
        if self._awaits_continue:
            lines.append(EXPECT_CONTINUE_HEADER)
        self.upstream.write(
            encode_request(head.method, head.target, lines, head.framing, head.length)
        )
        self.sent.write_head()

    def _write_all(self) -> None:
        self.may_run = True
        if self._is_expired():
            return
        for part in self._body.parts:
            self._write_body(part)
        if self.is_received and self._head.framing is Framing.CHUNKED:
            self._write_last_chunk()

    def _write_body(self, part: bytes) -> None:
        assert self.upstream is not None
        chunked = self._head.framing is Framing.CHUNKED
        self.upstream.write(encode_chunk(part) if chunked else part)
        self.sent.write_body(len(part))

    def _write_last_chunk(self) -> None:
        assert self.upstream is not None
        self.upstream.write(LAST_CHUNK)
        self.sent.write_end()


def build_id_line(name: bytes, call_id: str) -> bytes:
    """Return the header line that carries the id of a call."""
    return encode_header(name, call_id.encode("latin-1"))
