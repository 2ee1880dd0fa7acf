"""Blocking HTTP client of a task; bounds the size and the time of responses."""

from __future__ import annotations

import select
import socket
import struct
from typing import TYPE_CHECKING

from msgspec import Struct

from monsoontray.decoding.documents import MAX_DOCUMENT_BYTES
from monsoontray.forwarding.heads import (
    NO_EXTRA_HEADERS,
    EndOfMessage,
    ExtraHeaders,
    Framing,
    ResponseHead,
    encode_header,
    encode_request,
)
from monsoontray.forwarding.parsing import HeadLimits, Malformed, ResponseParser
from monsoontray.http.errors import (
    ConnectError,
    ConnectionLostError,
    InvalidResponseError,
    ResponseTimeoutError,
)

if TYPE_CHECKING:
    from monsoontray.kernel.clock import Clock
    from monsoontray.settings.settings import Address

HEAD_LIMITS = HeadLimits(header_count=100, head_bytes=16_384)
RECEIVE_BYTES = 65_536
#: Longest time from the first to the last byte of a response that makes progress.
MAX_RECEIVE_S = 10.0
MIN_CONNECT_S = 0.001  # zero would mean that the socket does not block
CONTENT_TYPE_LINE = b"content-type: application/json\r\n"
_DISCARD_UNSENT = struct.pack("ii", 1, 0)  # linger for no time


class HttpRequest(Struct, frozen=True):
    """Request and the times until which its sender waits."""

    method: str
    address: Address
    target: str
    connect_deadline: float  # monotonic seconds
    response_deadline: float  # monotonic seconds, until the response begins
    body: bytes = b""  # a JSON document
    lines: tuple[bytes, ...] = ()  # additional header lines


class HttpResponse(Struct, frozen=True):
    """Complete response."""

    status: int
    body: bytes
    headers: dict[bytes, bytes] = {}  # of those that the client reads


class HttpClient:
    """Client that keeps one idle connection for each of the latest addresses."""

    __slots__ = ("_clock", "_headers", "_idle", "_max_idle")

    def __init__(
        self, clock: Clock, max_idle: int, headers: frozenset[bytes] = frozenset()
    ) -> None:
        self._clock = clock
        self._headers = ExtraHeaders(forwarded=headers)
        self._max_idle = max_idle
        self._idle: dict[Address, socket.socket] = {}

    def send(self, request: HttpRequest) -> HttpResponse:
        """Send a request and return the response; raise RequestError."""
        sock = self._take_idle(request.address) or self._connect(request)
        try:
            response, is_reusable = self._exchange(sock, request)
        except BaseException:
            # A connection on which a response was lost delivers no later response,
            # and the system sends no part of the request again once nobody waits.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _DISCARD_UNSENT)
            sock.close()
            raise
        if is_reusable:
            self._keep(request.address, sock)
        else:
            sock.close()
        return response

    def close(self) -> None:
        """Close the idle connections."""
        for sock in self._idle.values():
            sock.close()
        self._idle.clear()

    def _take_idle(self, address: Address) -> socket.socket | None:
        """Return an idle connection that the other side has not closed."""
        sock = self._idle.pop(address, None)
        if sock is None:
            return None
        poll = select.poll()
        poll.register(sock, select.POLLIN)
        if poll.poll(0):
            sock.close()  # it has ended, or has unsolicited bytes
            return None
        return sock

    def _connect(self, request: HttpRequest) -> socket.socket:
        address = request.address
        timeout_s = max(request.connect_deadline - self._clock.now(), MIN_CONNECT_S)
        try:
            sock = socket.create_connection((address.host, address.port), timeout_s)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as error:
            raise ConnectError(f"cannot connect to {address}: {error}") from error
        return sock

    def _exchange(
        self, sock: socket.socket, request: HttpRequest
    ) -> tuple[HttpResponse, bool]:
        """Return the response, and whether the connection can be reused."""
        receiver = ResponseReceiver(request.method, self._headers)
        sent_at = self._clock.now()
        deadline = request.response_deadline
        receive_deadline = deadline + MAX_RECEIVE_S
        stall_s = max(deadline - sent_at, 0.0)
        try:
            sock.settimeout(self._compute_timeout(deadline))
            sock.sendall(encode_http_request(request))
            while not receiver.is_complete:
                sock.settimeout(self._compute_timeout(deadline))
                data = sock.recv(RECEIVE_BYTES)
                receiver.receive(data)
                deadline = min(self._clock.now() + stall_s, receive_deadline)
        except TimeoutError as error:
            raise ResponseTimeoutError(f"{request.address} did not respond") from error
        except OSError as error:
            raise ConnectionLostError(f"{request.address}: {error}") from error
        return receiver.build_response(), receiver.is_reusable

    def _keep(self, address: Address, sock: socket.socket) -> None:
        self._idle[address] = sock
        if len(self._idle) > self._max_idle:
            oldest = next(iter(self._idle))
            self._idle.pop(oldest).close()

    def _compute_timeout(self, deadline: float) -> float:
        """Return the seconds until a deadline; raise ResponseTimeoutError if passed."""
        remaining_s = deadline - self._clock.now()
        if remaining_s <= 0.0:
            raise ResponseTimeoutError("the deadline has passed")
        return remaining_s


class ResponseReceiver:
    """Response that is received part by part."""

    __slots__ = ("_head", "_parser", "_parts", "_size", "is_complete", "is_reusable")

    def __init__(self, method: str, headers: ExtraHeaders = NO_EXTRA_HEADERS) -> None:
        self._parser = ResponseParser(HEAD_LIMITS, headers)
        self._parser.expect_response(method)
        self._head: ResponseHead | None = None
        self._parts: list[bytes] = []
        self._size = 0
        self.is_complete = False
        self.is_reusable = False

    def receive(self, data: bytes) -> None:
        """Handle received bytes, none at the end of the connection.

        Raise RequestError if they end or spoil the response.
        """
        if not data:
            self._handle_end_of_connection()
            return
        events = self._parser.feed(data)
        for event in events:
            if isinstance(event, Malformed):
                raise InvalidResponseError(event.detail)
            if self.is_complete:
                self.is_reusable = False  # more than one response was sent
            elif isinstance(event, ResponseHead):
                self._head = event
            elif isinstance(event, bytes):
                self._add_part(event)
            elif isinstance(event, EndOfMessage):
                self.is_complete = True
                self.is_reusable = self._head is not None and self._head.keep_alive
        if self._parser.head_in_progress:
            self.is_reusable = False

    def build_response(self) -> HttpResponse:
        """Return the complete response."""
        assert self._head is not None
        head = self._head
        return HttpResponse(head.status, b"".join(self._parts), head.node_headers)

    def _add_part(self, part: bytes) -> None:
        self._parts.append(part)
        self._size += len(part)
        if self._size > MAX_DOCUMENT_BYTES:
            raise InvalidResponseError("the response is too large")

    def _handle_end_of_connection(self) -> None:
        head = self._head
        if head is None or head.framing is not Framing.UNTIL_CLOSE:
            raise ConnectionLostError("the connection ended before the response")
        self.is_complete = True


def encode_http_request(request: HttpRequest) -> bytes:
    """Return the bytes of a request."""
    lines = [encode_header(b"host", str(request.address).encode())]
    if request.body:
        lines.append(CONTENT_TYPE_LINE)
    lines += request.lines
    framing = Framing.EMPTY if request.method == "GET" else Framing.LENGTH
    head = encode_request(
        request.method, request.target.encode(), lines, framing, len(request.body)
    )
    return head + request.body
