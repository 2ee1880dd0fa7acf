"""HTTP servers of one service, one for each of its addresses."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from monsoontray.http.server import EndpointServer

if TYPE_CHECKING:
    from monsoontray.http.server import Handler, WorkerPool
    from monsoontray.kernel.clock import Clock
    from monsoontray.settings.settings import Address


class ServerGroup:
    """Servers that start one by one and stop together."""

    __slots__ = ("_clock", "_handle", "_name", "_servers")

    def __init__(self, name: str, handle: Handler, clock: Clock) -> None:
        self._name = name
        self._handle = handle
        self._clock = clock
        self._servers: list[EndpointServer] = []

    def start_server(self, address: Address, pool: WorkerPool) -> None:
        """Start a server; raise OSError if its address is in use."""
        server = EndpointServer(address, self._handle, pool)
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
