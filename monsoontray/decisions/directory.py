"""Which nodes the store lists, and which of their servers may be called."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from monsoontray.decisions.servers import Endpoint, ServerState, ServerTable

#: Time that a node which is no longer listed is remembered. Its record may have
#: lapsed with its lease while it lives; callers use it only while it answers.
UNLISTED_RETENTION_S = 30.0


class ListedServer(msgspec.Struct, frozen=True, array_like=True):
    """Hold what nodes tell each other of a backend server."""

    server: str
    service: str
    version: str
    slots: int
    leaving: bool
    born: int


class ListedNode(msgspec.Struct, frozen=True, array_like=True):
    """Hold what a node tells others of itself."""

    node: str
    region: str
    zone: str
    guard_address: str
    peer_address: str
    incarnation: int  # nanoseconds since the epoch at which the process started
    stopping: bool
    server: ListedServer | None
    link_mbps: float = 0.0  # what the VM's own link carries; 0 where it is not known


class NodeDirectory:
    """Hold the nodes that are or were listed."""

    __slots__ = ("_nodes", "_retained_until")

    def __init__(self) -> None:
        self._nodes: dict[str, ListedNode] = {}
        self._retained_until: dict[str, float] = {}

    def sync(self, nodes: Iterable[ListedNode], now: float) -> None:
        """Take every node that is listed now."""
        listed = {node.node: node for node in nodes}
        for name in self._nodes.keys() - listed.keys():
            self.unlist(name, now)
        for node in listed.values():
            self.add(node)

    def add(self, node: ListedNode) -> None:
        """Take a node's record."""
        known = self._nodes.get(node.node)
        if known is not None and node.incarnation < known.incarnation:
            return
        self._nodes[node.node] = node
        self._retained_until.pop(node.node, None)

    def unlist(self, name: str, now: float) -> None:
        """Take that a node's record is gone."""
        node = self._nodes.get(name)
        if node is None:
            return
        if node.stopping or node.server is None or node.server.leaving:
            self._remove(name)
        else:
            self._retained_until.setdefault(name, now + UNLISTED_RETENTION_S)

    def expire(self, now: float) -> bool:
        """Forget nodes that were not listed for long; say whether there were any."""
        due = [n for n, deadline in self._retained_until.items() if deadline <= now]
        for name in due:
            self._remove(name)
        return bool(due)

    def find_next_deadline(self) -> float | None:
        """Return when the next node is forgotten."""
        return min(self._retained_until.values(), default=None)

    def is_listed(self, name: str) -> bool:
        """Say whether the store lists a node."""
        return name in self._nodes and name not in self._retained_until

    def get_nodes(self) -> tuple[ListedNode, ...]:
        """Return every node that is or was listed."""
        return tuple(self._nodes.values())

    def get_listed(self) -> tuple[ListedNode, ...]:
        """Return the nodes that the store lists."""
        return tuple(n for name, n in self._nodes.items() if self.is_listed(name))

    def build_server_table(self) -> ServerTable:
        """Return the servers that may be called."""
        return ServerTable(
            _build_endpoint(node, node.server, name in self._retained_until)
            for name, node in self._nodes.items()
            if node.server is not None and not node.server.leaving and not node.stopping
        )

    def _remove(self, name: str) -> None:
        self._nodes.pop(name, None)
        self._retained_until.pop(name, None)


def get_server_state(server: ListedServer) -> ServerState:
    """Return a listed server's state."""
    return ServerState.LEAVING if server.leaving else ServerState.SERVING


def _build_endpoint(node: ListedNode, server: ListedServer, unlisted: bool) -> Endpoint:
    return Endpoint(
        server=server.server,
        service=server.service,
        version=server.version,
        slots=max(1, server.slots),
        node=node.node,
        region=node.region,
        zone=node.zone,
        guard_address=node.guard_address,
        resources=frozenset(),
        unlisted=unlisted,
    )
