"""Send a call's request to a guard or a back end, anew for each attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from monsoontray.forwarding.heads import (
    EXPECT_LINE,
    LAST_CHUNK,
    Framing,
    RequestHead,
    encode_chunk,
    encode_line,
    encode_request,
)
from monsoontray.forwarding.replay import KeptBody
from monsoontray.forwarding.routes import TIMEOUT_HEADER, EntryRoute, GuardRoute, Hop

if TYPE_CHECKING:
    from monsoontray.forwarding.call import Call
    from monsoontray.forwarding.exchange import Exchange
    from monsoontray.forwarding.forwarder import Forwarder
    from monsoontray.forwarding.upstream import UpstreamConnection


class RequestSender:
    """Own what was received of a request and the connection it is sent on.

    A request that must not run twice is offered to another node by its head alone;
    the body follows when the guard holds a slot and asks for it. Until then the
    request certainly has not run, whatever becomes of that node.
    """

    __slots__ = (
        "_body",
        "_exchange",
        "_forwarder",
        "_head",
        "_holds_head",
        "_id_line",
        "_offers",
        "_route",
        "ended",
        "hop",
        "is_out",
        "upstream",
    )

    def __init__(
        self,
        forwarder: Forwarder,
        exchange: Exchange,
        head: RequestHead,
        route: EntryRoute | GuardRoute,
        id_line: bytes,
    ) -> None:
        self.hop: Hop | None = None  # of the current attempt
        self.upstream: UpstreamConnection | None = None
        self.ended = False  # the whole request was received
        self.is_out = False  # a back end may have what it needs to run the call
        self._forwarder = forwarder
        self._exchange = exchange
        self._head = head
        self._route = route
        self._id_line = id_line
        self._body = KeptBody()
        self._offers = False  # the guard was not heard to ask for the body
        self._holds_head = False  # the caller was asked for the body and sent none

    @property
    def is_repeatable(self) -> bool:
        """Say whether all that was received can be sent again."""
        return self._body.is_whole

    @property
    def is_complete(self) -> bool:
        """Say whether the whole request was sent."""
        return self.ended and not self._offers and not self._holds_head

    def start(self, call: Call, hop: Hop) -> None:
        """Send the request of a call to the next stop; raise OSError."""
        self.hop = hop
        self.is_out = False
        self._offers = False
        self._holds_head = False
        upstream = self._forwarder.pool.take(hop.address)
        self.upstream = upstream
        upstream.begin_call(call, self._head.method)
        if upstream.connected:
            self.connect()

    def connect(self) -> None:
        """Send what has been received, or ask the caller for the body first."""
        hop, head = self.hop, self._head
        assert hop is not None
        has_body = head.framing is not Framing.EMPTY and head.length != 0
        if head.expects_continue and not self.ended and not self._body.size:
            self._exchange.ask_to_continue()
            # A back end gets the head once the caller is known to be there still.
            self._holds_head = not hop.is_guard
        if self._holds_head:
            self._exchange.resume_reading()
            return
        self._offers = hop.is_guard and has_body and not self._route.idempotent
        self._write_head(hop)
        if not self._offers:
            self._write_all()
        self._exchange.resume_reading()

    def follow(self) -> None:
        """Send the body that the guard asks for."""
        if self._offers:
            self._offers = False
            self._write_all()
            self._exchange.resume_reading()

    def take_body(self, part: bytes) -> None:
        """Take a part of the request's body."""
        limit = self._forwarder.limits.replay_bytes
        self._release_head()
        upstream = self._find_open()
        self._body.add(part, upstream is not None, limit)
        if upstream is None:
            if self._body.size >= limit:
                self._exchange.pause_reading()
            return
        self._write_body(part)
        if upstream.out_bytes > self._forwarder.limits.stream_bytes:
            self._exchange.pause_reading()

    def take_end(self) -> None:
        """Take the end of the request."""
        self._release_head()
        self.ended = True
        upstream = self._find_open()
        if upstream is not None and self._head.framing is Framing.CHUNKED:
            upstream.write(LAST_CHUNK)

    def note_sent(self, left: int) -> None:
        """Read on once the next stop has taken enough of the request."""
        limit = self._forwarder.limits.stream_bytes // 2
        if left <= limit and not self.ended and not self._offers:
            self._exchange.resume_reading()

    def resume_response(self, left: int) -> None:
        """Read on from the next stop once the caller has taken enough."""
        limit = self._forwarder.limits.stream_bytes // 2
        if self.upstream is not None and left <= limit:
            self.upstream.resume_reading()

    def drop(self) -> None:
        """Close the connection, so that the next stop works no further."""
        upstream = self.upstream
        if upstream is not None:
            self.upstream = None
            upstream.call = None
            upstream.close()

    def _find_open(self) -> UpstreamConnection | None:
        """Return the connection if it takes parts of the body now."""
        upstream = self.upstream
        if upstream is None or not upstream.connected:
            return None
        return None if self._offers or self._holds_head else upstream

    def _release_head(self) -> None:
        if self._holds_head and self.upstream is not None:
            self._holds_head = False
            assert self.hop is not None
            self._write_head(self.hop)
            self._write_all()

    def _write_head(self, hop: Hop) -> None:
        forwarder, head = self._forwarder, self._head
        assert self.upstream is not None
        self.is_out = not self._offers
        remaining_ms = max(1, int((self._route.deadline - forwarder.now) * 1000))
        vocabulary = forwarder.vocabulary
        timeout = TIMEOUT_HEADER if hop.is_guard else vocabulary.timeout_ms
        lines = [
            *head.lines,
            *hop.lines,
            self._id_line,
            b"%b: %d\r\n" % (timeout, remaining_ms),
        ]
        if self._offers:
            lines.append(EXPECT_LINE)
        self.upstream.write(
            encode_request(head.method, head.target, lines, head.framing, head.length)
        )

    def _write_all(self) -> None:
        self.is_out = True
        for part in self._body.parts:
            self._write_body(part)
        if self.ended and self._head.framing is Framing.CHUNKED:
            assert self.upstream is not None
            self.upstream.write(LAST_CHUNK)

    def _write_body(self, part: bytes) -> None:
        assert self.upstream is not None
        chunked = self._head.framing is Framing.CHUNKED
        self.upstream.write(encode_chunk(part) if chunked else part)


def build_id_line(name: bytes, call_id: str) -> bytes:
    """Return the line that names a call to the next stop."""
    return encode_line(name, call_id.encode("latin-1"))
