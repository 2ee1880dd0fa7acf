"""HTTP server for small requests: one task owns its sockets, threads run handlers."""

from __future__ import annotations

import socket
from collections.abc import Callable, Mapping
from functools import singledispatch
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from msgspec import Struct

from monsoontray.http.connection import (
    ServedConnection,
    ServerRequest,
    ServerResponse,
)
from monsoontray.http.workers import Job, WorkerPool
from monsoontray.kernel.listening import ListeningSocket
from monsoontray.kernel.sockets import SocketTask
from monsoontray.logs import logger

if TYPE_CHECKING:
    from monsoontray.kernel.kernel import Kernel
    from monsoontray.settings.settings import Address

SHUTDOWN_TIMEOUT_S = 0.2  # for requests in progress when the node stops
MAX_CONNECTIONS = 2_048  # open at the same time; all nodes of a zone poll one reader

Handler = Callable[[ServerRequest], ServerResponse]


class ResponseReady(Struct, frozen=True):
    """Message: a handler has returned the response to a connection's request."""

    connection: ServedConnection
    response: ServerResponse


class EndpointServer(SocketTask):
    """Task that owns the listening sockets and connections of HTTP addresses.

    ``pools`` has the threads that run the handler, by address. Raise OSError if an
    address is in use.
    """

    def __init__(
        self,
        name: str,
        kernel: Kernel,
        handler: Handler,
        pools: Mapping[Address, WorkerPool],
    ) -> None:
        super().__init__(name, kernel, handle_message)
        self._handler_function = handler
        self._pools = pools
        self._connections: dict[ServedConnection, None] = {}
        self._listeners: list[EndpointListener] = []

    def start(self) -> None:
        """Bind the addresses and start the thread."""
        for address, pool in self._pools.items():
            self._listeners.append(EndpointListener(address, pool, self))
        super().start()

    def get_addresses(self) -> list[Address]:
        """Return the addresses that the server listens on."""
        return [each.address for each in self._listeners]

    def begin_stop(self, deadline: float) -> None:
        """Close the listening sockets; wait a moment for requests in progress."""
        for listener in self._listeners:
            listener.close()
        for connection in list(self._connections):
            if not connection.is_busy:
                connection.close()
        self.timers.add(min(deadline, self.now + SHUTDOWN_TIMEOUT_S), self.stop_serving)
        self._end_if_done()

    def close(self) -> None:
        """Close all connections and end the threads."""
        for connection in list(self._connections):
            connection.close()
        for pool in set(self._pools.values()):
            pool.stop()
        super().close()

    def accept(self, sock: socket.socket, pool: WorkerPool) -> None:
        """Add a new connection; close the oldest idle one if there are too many."""
        if len(self._connections) >= MAX_CONNECTIONS and not self._close_idle():
            sock.close()
            return
        self._connections[ServedConnection(sock, pool, self)] = None

    def remove(self, connection: ServedConnection) -> None:
        """Remove a connection that was closed."""
        self._connections.pop(connection, None)
        if self.stop_deadline is not None:
            self._end_if_done()

    def run(self, connection: ServedConnection, request: ServerRequest) -> None:
        """Let a thread run the handler of a request."""
        connection.pool.put(
            Job(
                lambda: self._respond(request),
                lambda response: self.post(ResponseReady(connection, response)),
            )
        )

    def _respond(self, request: ServerRequest) -> ServerResponse:
        try:
            return self._handler_function(request)
        except Exception as error:
            logger.warning("request failed: {!r}", error)
            return ServerResponse(status=HTTPStatus.INTERNAL_SERVER_ERROR)

    def _close_idle(self) -> bool:
        for connection in self._connections:
            if not connection.is_busy:
                connection.close()
                return True
        return False

    def _end_if_done(self) -> None:
        if not self._connections:
            self.stop_serving()


class EndpointListener:
    """Listening socket of the server."""

    __slots__ = ("_listening", "_pool", "_server", "address")

    def __init__(
        self, address: Address, pool: WorkerPool, server: EndpointServer
    ) -> None:
        self._pool = pool
        self._server = server
        self._listening = ListeningSocket(
            address.host, address.port, server, self._accept
        )
        self.address = type(address)(*self._listening.get_address())

    def close(self) -> None:
        """Stop listening."""
        self._listening.close()

    def _accept(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._server.accept(sock, self._pool)


@singledispatch
def handle_message(message: Any, server: EndpointServer) -> None:
    """Handle a message to the server."""
    raise TypeError(f"unsupported message: {message!r}")


@handle_message.register(ResponseReady)
def _(message: ResponseReady, server: EndpointServer) -> None:
    message.connection.send_response(message.response)
