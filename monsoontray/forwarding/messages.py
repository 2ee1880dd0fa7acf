"""Messages to the forwarding task, and two that it sends to the membership task."""

from __future__ import annotations

from dataclasses import dataclass

from monsoontray.decisions.admission import Entitlements
from monsoontray.decisions.routing import RouteTable
from monsoontray.decisions.servers import ServerRecord, ServerTable
from monsoontray.kernel.mailbox import Reply
from monsoontray.settings.settings import Address


@dataclass(slots=True, frozen=True)
class UpdateEntitlements:
    """Put the entitlements of a configuration version into effect."""

    entitlements: Entitlements


@dataclass(slots=True, frozen=True)
class UpdateRoutes:
    """Put a configuration of routes into effect."""

    table: RouteTable


@dataclass(slots=True, frozen=True)
class UpdateEvacuatedZones:
    """Replace the set of evacuated zones, whose servers get no calls."""

    zones: frozenset[str]


@dataclass(slots=True, frozen=True)
class NodeLeaving:
    """Announce to the other nodes that this node and its servers are leaving."""


@dataclass(slots=True, frozen=True)
class ServerUnconfirmed:
    """Report that a local server may have stopped or restarted."""

    server: str
    reason: str


@dataclass(slots=True, frozen=True)
class UpdateServers:
    """Replace the table of the fleet's servers."""

    servers: ServerTable


@dataclass(slots=True, frozen=True)
class LocalServer:
    """Backend server on this VM and its address."""

    record: ServerRecord
    address: Address


@dataclass(slots=True, frozen=True)
class UpdateLocalServers:
    """Replace the set of backend servers on this VM."""

    servers: tuple[LocalServer, ...]


@dataclass(slots=True, frozen=True)
class DescribeForwarding:
    """Request the state of the forwarding task."""

    reply: Reply


@dataclass(slots=True, frozen=True)
class ForwardingState:
    """Connections and calls of the forwarding task at one moment."""

    callers: int
    calls: int
    version: int
    slots_in_use: int
    waiting: int
    stopping: bool = False
    servers: int = 0  # servers of all services that may be called
