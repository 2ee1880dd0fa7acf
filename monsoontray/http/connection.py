"""Connections of the HTTP server, each with one request in progress."""

from __future__ import annotations

import socket
from collections import deque
from functools import singledispatch
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Protocol
from urllib.parse import parse_qsl, unquote, urlsplit

from msgspec import Struct

from monsoontray.forwarding.heads import (
    CONNECTION_CLOSE_HEADER,
    CONTINUE_RESPONSE,
    EndOfMessage,
    Framing,
    RequestHead,
    encode_header,
    encode_response,
)
from monsoontray.forwarding.parsing import HeadLimits, Malformed, RequestParser
from monsoontray.kernel.sockets import ERROR_OR_HANGUP, READABLE, WRITABLE

if TYPE_CHECKING:
    from monsoontray.http.workers import WorkerPool
    from monsoontray.kernel.timers import Timers

HEAD_LIMITS = HeadLimits(header_count=100, head_bytes=16_384)
MAX_BODY_BYTES = 65_536
RECEIVE_BYTES = 65_536
#: Longest time that a connection may be idle, or take for a request or a response.
IDLE_TIMEOUT_S = 10.0


class ServerRequest(Struct, frozen=True):
    """Request to an HTTP server of this node."""

    path: str
    query: dict[str, str]
    body: bytes


class ServerResponse(Struct, frozen=True):
    """Response of an HTTP server of this node."""

    body: bytes = b""
    status: HTTPStatus = HTTPStatus.OK
    content_type: str = "application/json"


class ConnectionOwner(Protocol):
    """Task that owns the connections."""

    now: float
    timers: Timers

    def add_socket(self, descriptor: int, owner: Any, events: int) -> None:
        """Pass the events of a file descriptor to its owner."""

    def change_events(self, descriptor: int, events: int) -> None:
        """Change which events of a file descriptor are reported."""

    def remove_socket(self, descriptor: int) -> None:
        """Stop reporting events of a file descriptor."""

    def run(self, connection: ServedConnection, request: ServerRequest) -> None:
        """Let a thread run the handler of a request."""

    def remove(self, connection: ServedConnection) -> None:
        """Remove a connection that was closed."""


class ServedConnection:
    """Connection of a caller; reads no further request while one is in progress."""

    __slots__ = (
        "_body",
        "_deadline",
        "_events",
        "_head",
        "_is_closed",
        "_is_last",
        "_output",
        "_owner",
        "_parser",
        "_sock",
        "is_busy",
        "pool",
    )

    def __init__(
        self, sock: socket.socket, pool: WorkerPool, owner: ConnectionOwner
    ) -> None:
        self._sock = sock
        self._owner = owner
        self.pool = pool
        self._parser = RequestParser(HEAD_LIMITS)
        self._events: deque[Any] = deque()  # parsed but not handled
        self._head: RequestHead | None = None
        self._body = b""
        self._output = b""
        self._is_last = False  # the connection closes after the response
        self._is_closed = False
        self.is_busy = False  # a handler runs, or its response is being sent
        self._deadline = 0.0
        self._extend_deadline()
        owner.timers.add(self._deadline, self._check_deadline)
        owner.add_socket(sock.fileno(), self, READABLE)

    def handle_events(self, events: int) -> None:
        """Read a request, or send the rest of a response."""
        if events & WRITABLE:
            self._send()
        elif events & READABLE:
            self._receive()
        elif events & ERROR_OR_HANGUP:
            self.close()

    def send_response(self, response: ServerResponse) -> None:
        """Send the response to the request in progress."""
        if self._is_closed:
            return
        lines = [encode_header(b"content-type", response.content_type.encode())]
        if self._is_last:
            lines.append(CONNECTION_CLOSE_HEADER)
        size = len(response.body)
        head = encode_response(response.status, lines, Framing.LENGTH, size)
        self._output += head + response.body
        self._send()

    def close(self) -> None:
        """Close the connection."""
        if self._is_closed:
            return
        self._is_closed = True
        self._owner.remove_socket(self._sock.fileno())
        self._sock.close()
        self._owner.remove(self)

    def refuse(self, status: HTTPStatus) -> None:
        """Answer a request that can't be read, and close the connection."""
        self.is_busy = self._is_last = True
        self.send_response(ServerResponse(status=status))

    def continue_request(self, head: RequestHead) -> None:
        """Begin to read a request."""
        self._head = head
        self._body = b""
        if head.expects_continue:
            self._output += CONTINUE_RESPONSE
            self._send()

    def add_body(self, part: bytes) -> None:
        """Add a part of the body; refuse the request if it becomes too large."""
        self._body += part
        if len(self._body) > MAX_BODY_BYTES:
            self.refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def finish_request(self) -> None:
        """Let the handler of a complete request run."""
        head = self._head
        assert head is not None
        self._head = None
        try:
            url = urlsplit(head.target.decode("latin-1"))
        except ValueError:  # not a valid address in the target
            self.refuse(HTTPStatus.BAD_REQUEST)
            return
        self.is_busy = True
        self._is_last = not head.keep_alive
        request = ServerRequest(
            unquote(url.path, "latin-1"), dict(parse_qsl(url.query)), self._body
        )
        self._owner.run(self, request)

    def _receive(self) -> None:
        try:
            data = self._sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close()
            return
        self._extend_deadline()
        self._events.extend(self._parser.feed(data))
        self._handle_parsed()

    def _handle_parsed(self) -> None:
        while self._events and not self.is_busy and not self._is_closed:
            _handle_event(self._events.popleft(), self)
        self._update_events()

    def _send(self) -> None:
        try:
            sent = self._sock.send(self._output) if self._output else 0
        except BlockingIOError:
            sent = 0
        except OSError:
            self.close()
            return
        self._output = self._output[sent:]
        self._extend_deadline()
        if not self._output and self.is_busy:
            if self._is_last:
                self.close()
                return
            self.is_busy = False
            self._handle_parsed()
        self._update_events()

    def _update_events(self) -> None:
        if self._is_closed:
            return
        events = 0 if self.is_busy else READABLE
        if self._output:
            events = WRITABLE
        self._owner.change_events(self._sock.fileno(), events)

    def _extend_deadline(self) -> None:
        self._deadline = self._owner.now + IDLE_TIMEOUT_S

    def _check_deadline(self) -> None:
        """Close a connection that was idle for too long."""
        if self._is_closed:
            return
        if self._deadline <= self._owner.now:
            self.close()
        else:
            self._owner.timers.add(self._deadline, self._check_deadline)


@singledispatch
def _handle_event(event: Any, connection: ServedConnection) -> None:
    raise TypeError(f"unsupported event: {event!r}")


@_handle_event.register(RequestHead)
def _(event: RequestHead, connection: ServedConnection) -> None:
    connection.continue_request(event)


@_handle_event.register(bytes)
def _(event: bytes, connection: ServedConnection) -> None:
    connection.add_body(event)


@_handle_event.register(EndOfMessage)
def _(event: EndOfMessage, connection: ServedConnection) -> None:
    connection.finish_request()


@_handle_event.register(Malformed)
def _(event: Malformed, connection: ServedConnection) -> None:
    connection.refuse(HTTPStatus.BAD_REQUEST)
