"""HTTP exchanges of a task that owns sockets; none of them makes the task wait."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

from monsoontray.http.client import (
    RECEIVE_BYTES,
    HttpRequest,
    HttpResponse,
    ResponseReceiver,
    encode_http_request,
)
from monsoontray.http.errors import RequestError
from monsoontray.kernel.sockets import READABLE, WRITABLE

if TYPE_CHECKING:
    from monsoontray.kernel.sockets import SocketTask

OnEnd = Callable[[HttpResponse | None], object]


class HttpExchange:
    """A request and its response, on a connection of their own."""

    __slots__ = (
        "_descriptor",
        "_on_end",
        "_receiver",
        "_sock",
        "_task",
        "_timer",
        "_unsent",
    )

    def __init__(self, task: SocketTask, request: HttpRequest, on_end: OnEnd) -> None:
        """Send a request; ``on_end`` gets the response, or None after a failure."""
        self._task = task
        self._on_end = on_end
        self._unsent = encode_http_request(request)
        self._receiver = ResponseReceiver(request.method)
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setblocking(False)
        self._descriptor = self._sock.fileno()
        self._timer = task.timers.add(request.response_deadline, self._fail)
        task.add_socket(self._descriptor, self, READABLE | WRITABLE)
        try:
            self._sock.connect((request.address.host, request.address.port))
        except BlockingIOError:
            pass
        except OSError:
            self._fail()

    def handle_events(self, events: int) -> None:
        """Send the rest of the request, then receive the response."""
        try:
            if self._unsent:
                self._send()
            else:
                self._receive()
        except BlockingIOError:
            return
        except (OSError, RequestError):
            self._fail()

    def _send(self) -> None:
        sent = self._sock.send(self._unsent)
        self._unsent = self._unsent[sent:]
        if not self._unsent:
            self._task.change_events(self._descriptor, READABLE)

    def _receive(self) -> None:
        self._receiver.receive(self._sock.recv(RECEIVE_BYTES))
        if self._receiver.is_complete:
            self._end(self._receiver.build_response())

    def _fail(self) -> None:
        self._end(None)

    def _end(self, response: HttpResponse | None) -> None:
        self._task.timers.cancel(self._timer)
        self._task.remove_socket(self._descriptor)
        self._sock.close()
        self._on_end(response)
