"""Backend servers that announced themselves on this VM."""

from __future__ import annotations

from msgspec.structs import replace

from monsoontray.decisions.servers import ServerState
from monsoontray.forwarding.messages import LocalServer

LEAVING_RETENTION_S = 30.0  # a leaving server is removed after this time


class AnnouncedServers:
    """Servers of one VM and when their announcements expire."""

    __slots__ = ("_deadlines", "_lifetime_s", "_servers")

    def __init__(self, lifetime_s: float) -> None:
        self._lifetime_s = lifetime_s
        self._servers: dict[str, LocalServer] = {}
        self._deadlines: dict[str, float] = {}

    def announce(self, local_server: LocalServer, now: float) -> bool:
        """Add or renew an announcement; return whether anything changed."""
        name = local_server.record.server
        known = self._servers.get(name)
        if known is not None and known.record.state is ServerState.LEAVING:
            return False  # a repetition that was sent before the server began to leave
        self._deadlines[name] = now + self._lifetime_s
        self._servers[name] = local_server
        return known != local_server

    def mark_leaving(self, server: str, now: float) -> bool:
        """Mark a server as leaving; return whether anything changed."""
        known = self._servers.get(server)
        if known is None or known.record.state is ServerState.LEAVING:
            return False
        record = replace(known.record, state=ServerState.LEAVING)
        self._servers[server] = LocalServer(record, known.address)
        self._deadlines[server] = now + LEAVING_RETENTION_S
        return True

    def expire(self, now: float) -> list[LocalServer]:
        """Remove and return the servers whose announcements have expired."""
        due = [name for name, deadline in self._deadlines.items() if deadline <= now]
        for name in due:
            del self._deadlines[name]
        return [self._servers.pop(name) for name in due]

    def find_next_deadline(self) -> float | None:
        """Return when ``expire`` is due."""
        return min(self._deadlines.values(), default=None)

    def get_servers(self) -> tuple[LocalServer, ...]:
        """Return all servers."""
        return tuple(self._servers.values())
