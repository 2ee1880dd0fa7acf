"""Listening sockets."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any, Protocol

from monsoontray.forwarding.connection import SocketLoop, configure_socket
from monsoontray.kernel.listening import BACKLOG, ListeningSocket

if TYPE_CHECKING:
    from monsoontray.settings.settings import Address


class CallerAcceptor(SocketLoop, Protocol):
    """The task that owns a listening socket and the connections to it."""

    def accept_caller(self, sock: socket.socket, side: Any) -> None:
        """Add a new connection, or refuse it."""


class Listener:
    """A listening socket that passes its connections to the task that owns it."""

    __slots__ = ("_acceptor", "_listening", "_side")

    def __init__(self, address: Address, side: Any, acceptor: CallerAcceptor) -> None:
        self._acceptor = acceptor
        self._side = side
        self._listening = ListeningSocket(
            address.host, address.port, acceptor, self._accept
        )

    def get_address(self) -> tuple[str, int]:
        """Return the host and port that the socket is bound to."""
        return self._listening.get_address()

    def close(self) -> None:
        """Stop listening and close the socket.

        Connections that wait are accepted first: the system has accepted them already,
        and would reset them although their callers may have sent requests.
        """
        self._listening.accept(BACKLOG)
        self._listening.close()

    def _accept(self, sock: socket.socket) -> None:
        configure_socket(sock)
        self._acceptor.accept_caller(sock, self._side)
