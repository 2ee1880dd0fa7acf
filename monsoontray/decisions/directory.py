"""The nodes that the store lists, and their servers that may be called."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from monsoontray.decisions.servers import Endpoint, ServerState, ServerTable
from monsoontray.decoding.values import (
    Count,
    Label,
    Name,
    Rate,
    SocketAddress,
    Timestamp,
    Token,
)

#: Time for which a node is kept after it is no longer listed. The node may be alive:
#: its record is also removed when its lease lapses. Its server is called only while
#: it answers.
UNLISTED_RETENTION_S = 30.0


class ListedServer(msgspec.Struct, frozen=True, array_like=True):
    """Backend server in the record of its node; the field order is the format."""

    server: Token
    service: Name
    version: Label
    slots: Count
    leaving: bool
    born: Timestamp


class ListedNode(msgspec.Struct, frozen=True, array_like=True):
    """Record of a node in the store; the field order is the format."""

    node: Name
    region: Name
    zone: Name
    guard_address: SocketAddress
    peer_address: SocketAddress
    incarnation: Timestamp  # nanoseconds since the epoch at which the process started
    stopping: bool
    server: ListedServer | None
    link_mbps: Rate = 0.0  # bandwidth of the VM's link; 0 if unknown


class NodeDirectory:
    """Nodes that the store lists, and nodes that it listed until recently."""

    __slots__ = ("_nodes", "_retained_until")

    def __init__(self) -> None:
        self._nodes: dict[str, ListedNode] = {}
        self._retained_until: dict[str, float] = {}

    def sync(self, nodes: Iterable[ListedNode], now: float) -> None:
        """Add all nodes that are listed now; mark the others as no longer listed."""
        listed = {node.node: node for node in nodes}
        for name in self._nodes.keys() - listed.keys():
            self.unlist(name, now)
        for node in listed.values():
            self.add(node)

    def add(self, node: ListedNode) -> None:
        """Add or update a listed node, unless a later incarnation of it is known."""
        known = self._nodes.get(node.node)
        if known is not None and node.incarnation < known.incarnation:
            return
        self._nodes[node.node] = node
        self._retained_until.pop(node.node, None)

    def unlist(self, name: str, now: float) -> None:
        """Mark a node as no longer listed.

        A node that stops or whose server does not accept new calls is removed at once.
        """
        node = self._nodes.get(name)
        if node is None:
            return
        if node.stopping or node.server is None or node.server.leaving:
            self._remove(name)
        else:
            self._retained_until.setdefault(name, now + UNLISTED_RETENTION_S)

    def expire(self, now: float) -> bool:
        """Remove nodes whose retention time is over; return whether there were any."""
        due = [n for n, deadline in self._retained_until.items() if deadline <= now]
        for name in due:
            self._remove(name)
        return bool(due)

    def find_next_deadline(self) -> float | None:
        """Return when the next unlisted node is removed."""
        return min(self._retained_until.values(), default=None)

    def is_listed(self, name: str) -> bool:
        """Return whether the store lists a node."""
        return name in self._nodes and name not in self._retained_until

    def get_nodes(self) -> tuple[ListedNode, ...]:
        """Return all nodes, including those that are no longer listed."""
        return tuple(self._nodes.values())

    def get_listed(self) -> tuple[ListedNode, ...]:
        """Return the nodes that the store lists."""
        return tuple(n for name, n in self._nodes.items() if self.is_listed(name))

    def build_server_table(self) -> ServerTable:
        """Return the servers that accept new calls."""
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
        born=server.born,
    )
