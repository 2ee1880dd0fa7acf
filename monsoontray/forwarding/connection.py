"""What connections to callers and to servers have in common."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING

from monsoontray.kernel.sockets import ERROR_OR_HANGUP, READABLE, WRITABLE

if TYPE_CHECKING:
    from monsoontray.forwarding.forwarder import Forwarder

MAX_READ_BYTES = 65_536
#: Time after which sent bytes that the peer did not acknowledge end a connection,
#: so that one that went silent is found. Several retransmissions fit in it.
USER_TIMEOUT_MS = 1_500


class Connection:
    """Own one socket: read what arrives and write what is buffered."""

    __slots__ = (
        "_descriptor",
        "_events",
        "_output",
        "_unwritable",
        "closed",
        "dirty",
        "forwarder",
        "paused",
        "sock",
        "unsent_bytes",
    )

    def __init__(
        self, sock: socket.socket, forwarder: Forwarder, events: int = READABLE
    ) -> None:
        self.sock = sock
        self.forwarder = forwarder
        self.closed = False
        self.dirty = False
        self.paused = False  # bytes are left in the socket
        self.unsent_bytes = 0
        self._unwritable = False
        self._output: list[bytes] = []
        self._events = events
        self._descriptor = sock.fileno()
        forwarder.add_socket(self._descriptor, self, events)

    def handle_events(self, events: int) -> None:
        """Act on events of the socket."""
        if events & (READABLE | ERROR_OR_HANGUP):
            self._read()
        if events & WRITABLE and not self.closed:
            self.flush()

    def write(self, data: bytes) -> None:
        """Buffer bytes; they are sent when the current event is done."""
        if self._unwritable:
            return
        self._output.append(data)
        self.unsent_bytes += len(data)
        if not self.dirty:
            self.dirty = True
            self.forwarder.dirty_connections.append(self)

    def flush(self) -> None:
        """Send what is buffered, as far as the socket takes it."""
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
        except OSError:
            self._discard_output()
            return
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
        """Leave further bytes in the socket."""
        self.paused = True
        self._set_events(self._events & ~READABLE)

    def resume_reading(self) -> None:
        """Read again."""
        if self.paused and not self.closed:
            self.paused = False
            self._set_events(self._events | READABLE)

    def close(self) -> None:
        """Close the socket."""
        if self.closed:
            return
        self.closed = True
        self._output.clear()
        self.unsent_bytes = 0
        self.forwarder.remove_socket(self._descriptor)
        self.sock.close()

    def on_data(self, data: bytes) -> None:
        """Act on received bytes."""
        raise NotImplementedError

    def on_connection_lost(self) -> None:
        """Act on the end of the connection."""
        raise NotImplementedError

    def on_sent(self) -> None:
        """Act on bytes having left the buffer."""

    def _discard_output(self) -> None:
        """Write no more; what the peer sent before it broke off is still read."""
        self._unwritable = True
        self._output.clear()
        self.unsent_bytes = 0
        self._set_events((self._events | READABLE) & ~WRITABLE)

    def on_eof(self) -> None:
        """Act on the peer having sent everything; as a loss unless overridden."""
        self.on_connection_lost()

    def _read(self) -> None:
        try:
            data = self.sock.recv(MAX_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.on_connection_lost()
            return
        if data:
            self.on_data(data)
        else:
            self.on_eof()

    def _set_events(self, events: int) -> None:
        if events != self._events and not self.closed:
            self._events = events
            self.forwarder.change_events(self._descriptor, events)


def configure_socket(sock: socket.socket) -> None:
    """Set the options that every connection has."""
    sock.setblocking(False)
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
