"""Listening sockets."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any, Protocol

from monsoontray.forwarding.connection import SocketLoop, configure_socket
from monsoontray.kernel.sockets import READABLE

if TYPE_CHECKING:
    from monsoontray.settings.settings import Address

BACKLOG = 1024  # connections that may wait to be accepted
ACCEPT_BATCH = 64  # connections accepted per event, at most


class CallerAcceptor(SocketLoop, Protocol):
    """The task that owns a listening socket and the connections to it."""

    def accept_caller(self, sock: socket.socket, side: Any) -> None:
        """Add a new connection, or refuse it."""


class Listener:
    """A listening socket that passes its connections to the task that owns it."""

    __slots__ = ("_acceptor", "_side", "_sock")

    def __init__(self, address: Address, side: Any, acceptor: CallerAcceptor) -> None:
        self._acceptor = acceptor
        self._side = side
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.setblocking(False)
        self._sock.bind((address.host, address.port))
        self._sock.listen(BACKLOG)
        acceptor.add_socket(self._sock.fileno(), self, READABLE)

    def handle_events(self, events: int) -> None:
        """Accept the waiting connections."""
        self._accept(ACCEPT_BATCH)

    def close(self) -> None:
        """Stop listening and close the socket.

        Connections that wait are accepted first: the system has accepted them already,
        and would reset them although their callers may have sent requests.
        """
        self._accept(BACKLOG)
        self._acceptor.remove_socket(self._sock.fileno())
        self._sock.close()

    def _accept(self, limit: int) -> None:
        for _ in range(limit):
            try:
                sock, _address = self._sock.accept()
            except OSError:
                return
            configure_socket(sock)
            self._acceptor.accept_caller(sock, self._side)
