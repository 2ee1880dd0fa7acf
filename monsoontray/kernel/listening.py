"""Listening sockets of tasks."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from monsoontray.kernel.sockets import READABLE
from monsoontray.logs import logger

if TYPE_CHECKING:
    from monsoontray.kernel.timers import Timers

BACKLOG = 1024  # connections that may wait to be accepted
ACCEPT_BATCH = 64  # connections accepted per event, at most
#: Pause after a connection could not be accepted for want of descriptors or memory. It
#: stays readable, so a task that waited for it would not sleep.
PAUSE_S = 0.1
_EXHAUSTED = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))


class ListeningSocket:
    """Socket that passes new connections to a function of the task that owns it.

    Raise OSError if the address is in use. ``task`` is a ``SocketTask``.
    """

    __slots__ = ("_accept_socket", "_is_paused", "_sock", "_task")

    def __init__(
        self,
        host: str,
        port: int,
        task: Any,
        accept_socket: Callable[[socket.socket], None],
    ) -> None:
        self._task = task
        self._accept_socket = accept_socket
        self._is_paused = False
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.setblocking(False)
        self._sock.bind((host, port))
        self._sock.listen(BACKLOG)
        task.add_socket(self._sock.fileno(), self, READABLE)

    def get_address(self) -> tuple[str, int]:
        """Return the host and port that the socket is bound to."""
        host, port = self._sock.getsockname()
        return host, port

    def handle_events(self, events: int) -> None:
        """Accept the waiting connections."""
        self.accept(ACCEPT_BATCH)

    def accept(self, limit: int) -> None:
        """Accept up to a number of waiting connections."""
        for _ in range(limit):
            try:
                sock, _address = self._sock.accept()
            except OSError as error:
                if error.errno in _EXHAUSTED:
                    self._pause(error)
                return
            self._accept_socket(sock)

    def close(self) -> None:
        """Stop listening and close the socket."""
        self._task.remove_socket(self._sock.fileno())
        self._sock.close()

    def _pause(self, error: OSError) -> None:
        if self._is_paused:
            return
        logger.warning("cannot accept connections for now: {}", error.strerror)
        self._is_paused = True
        self._task.remove_socket(self._sock.fileno())
        timers: Timers = self._task.timers
        timers.add(self._task.now + PAUSE_S, self._resume)

    def _resume(self) -> None:
        self._is_paused = False
        if self._sock.fileno() >= 0:
            self._task.add_socket(self._sock.fileno(), self, READABLE)
