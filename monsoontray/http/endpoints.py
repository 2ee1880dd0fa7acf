"""The HTTP servers of a node, one for each of its addresses."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from monsoontray.http.server import EndpointServer, Handler, WorkerPool

if TYPE_CHECKING:
    from monsoontray.kernel.kernel import Kernel
    from monsoontray.settings.settings import Settings

MAX_LOCAL_THREADS = 8  # for operators, the platform and the local server
ADDRESS_SETTINGS = (
    "operator_address",
    "ready_address",
    "peer_address",
    "metrics_address",
)


class HttpEndpoints:
    """Service that runs HTTP servers; their threads only translate."""

    def __init__(
        self, name: str, kernel: Kernel, handler: Handler, max_peer_threads: int
    ) -> None:
        settings: Settings = kernel.find("settings").settings
        self._name = name
        self._addresses = {
            settings.get_bind_address(each)
            for each in ADDRESS_SETTINGS
            if settings.get_string(each)
        }
        self._peer_address = settings.get_bind_address("peer_address")
        self._clock = kernel.clock
        self._handler = handler
        self._max_peer_threads = max_peer_threads
        self._servers: list[EndpointServer] = []

    def start(self) -> None:
        """Start the servers; raise OSError if an address is in use."""
        # Reads that wait for changes must not occupy the threads for heartbeats.
        peer_pool = WorkerPool(f"{self._name}-peers", self._max_peer_threads)
        local_pool = WorkerPool(f"{self._name}-local", MAX_LOCAL_THREADS)
        for address in self._addresses:
            pool = peer_pool if address == self._peer_address else local_pool
            server = EndpointServer(address, self._handler, pool)
            server.prepare()
            self._servers.append(server)
            name = f"{self._name}-{address.port}"
            threading.Thread(target=server.serve, name=name, daemon=True).start()

    def stop(self, deadline: float) -> None:
        """Stop the servers, each of which waits for its loop to end.

        A loop that has not ended by the deadline ends with the process.
        """
        stopping = [
            threading.Thread(target=each.stop, daemon=True) for each in self._servers
        ]
        for thread in stopping:
            thread.start()
        for thread in stopping:
            thread.join(max(0.0, deadline - self._clock.now()))

    def post(self, message: object) -> None:
        """Raise TypeError; the service accepts no messages."""
        raise TypeError(f"the endpoint accepts no messages: {message!r}")
