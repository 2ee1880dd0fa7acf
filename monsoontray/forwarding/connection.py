"""Base class of connections to callers, guards and backend servers."""

from __future__ import annotations

import contextlib
import socket
from typing import Protocol

from monsoontray.kernel.sockets import (
    ERROR_OR_HANGUP,
    READABLE,
    WRITABLE,
    SocketOwner,
)

MAX_READ_BYTES = 65_536


class SocketLoop(Protocol):
    """What a connection needs of the task that owns it."""

    now: float  # monotonic seconds of the current event
    dirty_connections: list[Connection]  # whose output is sent after the current event

    def add_socket(self, descriptor: int, owner: SocketOwner, events: int) -> None:
        """Pass the events of a file descriptor to its owner."""

    def change_events(self, descriptor: int, events: int) -> None:
        """Change which events of a file descriptor are reported."""

    def remove_socket(self, descriptor: int) -> None:
        """Stop reporting events of a file descriptor."""

    def record_lost_connection(self, error: OSError) -> None:
        """Count a connection that the system has ended."""


class Connection:
    """A non-blocking socket with an output buffer."""

    __slots__ = (
        "_descriptor",
        "_events",
        "_loop",
        "_output",
        "closed",
        "dirty",
        "is_reset",
        "moved_at",
        "paused",
        "sock",
        "unsent_bytes",
    )

    def __init__(
        self, sock: socket.socket, loop: SocketLoop, events: int = READABLE
    ) -> None:
        self.sock = sock
        self._loop = loop
        self.closed = False
        self.dirty = False  # waits for flush in forwarder.dirty_connections
        self.is_reset = False  # a call on the socket has reported an error
        self.moved_at = loop.now  # when the other side last accepted bytes
        self.paused = False  # received bytes stay in the socket
        self.unsent_bytes = 0
        self._output: list[bytes] = []
        self._events = events
        self._descriptor = sock.fileno()
        loop.add_socket(self._descriptor, self, events)

    def handle_events(self, events: int) -> None:
        """Read from and write to the socket as its events allow."""
        if events & (READABLE | ERROR_OR_HANGUP):
            self._read()
        if events & WRITABLE and not self.closed:
            self.flush()

    def write(self, data: bytes) -> None:
        """Buffer bytes; they are sent after the current event is handled."""
        if self.is_reset:
            return
        self._output.append(data)
        self.unsent_bytes += len(data)
        if not self.dirty:
            self.dirty = True
            self._loop.dirty_connections.append(self)

    def flush(self) -> None:
        """Send buffered bytes until the socket accepts no more."""
        self.dirty = False
        if self.closed:
            return
        if not self._output:
            self._set_events(self._events & ~WRITABLE)
            return
        data = self._output[0] if len(self._output) == 1 else b"".join(self._output)
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            self._loop.record_lost_connection(error)
            self._discard_output()
            return
        if sent:
            self.moved_at = self._loop.now
        self.unsent_bytes -= sent
        if sent == len(data):
            self._output.clear()
            if self._events & WRITABLE:
                self._set_events(self._events & ~WRITABLE)
        else:
            self._output = [data[sent:]]
            self._set_events(self._events | WRITABLE)
        self.on_sent()

    def pause_reading(self) -> None:
        """Leave further received bytes in the socket."""
        self.paused = True
        self._set_events(self._events & ~READABLE)

    def resume_reading(self) -> None:
        """Resume reading after ``pause_reading``."""
        if self.paused and not self.closed:
            self.paused = False
            self._set_events(self._events | READABLE)

    def has_unread_bytes(self) -> bool:
        """Return whether bytes of the peer wait to be read."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def close(self) -> None:
        """Close the socket and discard buffered output."""
        if self.closed:
            return
        self.closed = True
        self._output.clear()
        self.unsent_bytes = 0
        self._loop.remove_socket(self._descriptor)
        self.sock.close()

    def on_data(self, data: bytes) -> None:
        """Handle received bytes."""
        raise NotImplementedError

    def on_connection_lost(self) -> None:
        """Handle the loss of the connection."""
        raise NotImplementedError

    def on_sent(self) -> None:
        """Handle the sending of buffered bytes, or of a part of them."""

    def _discard_output(self) -> None:
        """Stop writing; bytes that the peer sent before it closed are still read.

        The system reports an error once only: after this, the end of the peer's data
        looks like an orderly one.
        """
        self.is_reset = True
        self._output.clear()
        self.unsent_bytes = 0
        self._set_events((self._events | READABLE) & ~WRITABLE)

    def on_eof(self) -> None:
        """Handle the end of the peer's data; a connection loss by default."""
        self.on_connection_lost()

    def _read(self) -> None:
        try:
            data = self.sock.recv(MAX_READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._loop.record_lost_connection(error)
            self.on_connection_lost()
            return
        if data:
            self.on_data(data)
        else:
            self.on_eof()

    def _set_events(self, events: int) -> None:
        if events != self._events and not self.closed:
            self._events = events
            self._loop.change_events(self._descriptor, events)


def configure_socket(sock: socket.socket) -> None:
    """Set the options that all connections share."""
    sock.setblocking(False)
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
