"""HTTP server for small requests, with threads that start when they are needed."""

from __future__ import annotations

import threading
from collections.abc import Callable
from http import HTTPStatus
from queue import SimpleQueue
from time import monotonic
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl

from cheroot.server import Gateway, HTTPServer
from msgspec import Struct

from monsoontray.logs import logger

if TYPE_CHECKING:
    from cheroot.server import HTTPConnection

    from monsoontray.settings.settings import Address

MAX_BODY_BYTES = 65_536
SHUTDOWN_TIMEOUT_S = 0.2  # for requests in progress when the node stops
#: Connections that wait to be accepted, and idle ones that stay open, for each server.
#: All nodes of a zone poll one reader. Beyond the first limit the system drops the
#: packet that opens a connection, and the caller sends it again only after seconds.
MAX_WAITING_CONNECTIONS = 1_024
MAX_IDLE_CONNECTIONS = 1_024


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


Handler = Callable[[ServerRequest], ServerResponse]


class WorkerPool:
    """Threads that handle the requests of one or more servers.

    A thread starts when a request arrives and all others are occupied.
    """

    __slots__ = ("_lock", "_max_threads", "_name", "_queue", "_spare", "_threads")

    def __init__(self, name: str, max_threads: int) -> None:
        self._name = name
        self._max_threads = max_threads
        self._queue: SimpleQueue[HTTPConnection | None] = SimpleQueue()
        self._lock = threading.Lock()
        self._spare = 0  # idle threads without the connections that are queued
        self._threads: list[threading.Thread] = []

    def start(self) -> None:
        """Do nothing; threads start with the first requests."""

    def put(self, connection: HTTPConnection) -> None:
        """Queue a connection that has a request."""
        with self._lock:
            self._spare -= 1
            if self._spare < 0 and len(self._threads) < self._max_threads:
                self._spare += 1
                name = f"{self._name}-{len(self._threads)}"
                thread = threading.Thread(target=self._work, name=name, daemon=True)
                self._threads.append(thread)
                thread.start()
        self._queue.put(connection)

    def stop(self, timeout_s: float) -> None:
        """End the threads; those that take longer end with the process."""
        for _ in self._threads:
            self._queue.put(None)
        deadline = monotonic() + timeout_s
        for thread in self._threads:
            thread.join(max(0.0, deadline - monotonic()))

    def _work(self) -> None:
        while True:
            connection = self._queue.get()
            if connection is None:
                return
            _handle_connection(connection)
            with self._lock:
                self._spare += 1


class EndpointServer(HTTPServer):
    """HTTP server in which a connection occupies a thread only during requests."""

    keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
    request_queue_size = MAX_WAITING_CONNECTIONS
    max_request_body_size = MAX_BODY_BYTES
    shutdown_timeout: Any = SHUTDOWN_TIMEOUT_S
    _connections: Any  # set by the library

    def __init__(self, address: Address, handler: Handler, pool: WorkerPool) -> None:
        super().__init__((address.host, address.port), EndpointGateway)
        self.handler = handler
        self.requests = pool

    def process_conn(self, conn: HTTPConnection) -> None:
        """Handle a request; for a new connection, wait until one arrives.

        Otherwise callers that connect and send nothing would occupy all threads.
        """
        if conn.last_used is None:
            self._connections.put(conn)
        else:
            super().process_conn(conn)

    def error_log(self, msg: str = "", level: int = 0, traceback: bool = False) -> None:
        """Log a failure of the library."""
        logger.warning("HTTP server: {}", msg)


class EndpointGateway(Gateway):
    """Adapter from the library's requests to a handler."""

    def respond(self) -> None:
        """Handle the current request and send the response."""
        library_request = self.req
        query = dict(parse_qsl(library_request.qs.decode("latin-1")))
        request = ServerRequest(
            library_request.path.decode("latin-1"),
            query,
            library_request.rfile.read(MAX_BODY_BYTES),
        )
        response = library_request.server.handler(request)
        status = response.status
        library_request.status = f"{status.value} {status.phrase}".encode()
        library_request.outheaders = [
            (b"Content-Type", response.content_type.encode()),
            (b"Content-Length", b"%d" % len(response.body)),
        ]
        library_request.ensure_headers_sent()
        if response.body:
            library_request.write(response.body)


def _handle_connection(connection: HTTPConnection) -> None:
    """Handle a request, then keep or close its connection."""
    is_kept: Any = False
    try:
        is_kept = connection.communicate()
    except Exception as error:
        logger.warning("request failed: {!r}", error)
    if is_kept:
        connection.server.put_conn(connection)
    else:
        connection.close()
