"""Messages to the forwarding task, and two that it sends to the membership task."""

from __future__ import annotations

from msgspec import Struct

from monsoontray.decisions.admission import Entitlements
from monsoontray.decisions.freshness import Proof
from monsoontray.decisions.routing import RouteTable
from monsoontray.decisions.servers import ServerRecord, ServerTable
from monsoontray.kernel.mailbox import Reply
from monsoontray.settings.settings import Address


class UpdateEntitlements(Struct, frozen=True):
    """Put the entitlements of a configuration version into effect."""

    entitlements: Entitlements


class UpdateRoutes(Struct, frozen=True):
    """Put a configuration of routes into effect."""

    table: RouteTable


class RoutesProven(Struct, frozen=True):
    """Report that the configuration in force was the newest at a moment."""

    proof: Proof


class UpdateEvacuatedZones(Struct, frozen=True):
    """Replace the set of evacuated zones, whose servers get no calls."""

    zones: frozenset[str]


class NodeLeaving(Struct, frozen=True):
    """Announce to the other nodes that this node and its servers are leaving."""


class ServerUnconfirmed(Struct, frozen=True):
    """Report that a local server may have stopped or restarted."""

    server: str
    reason: str


class ServerLeaving(Struct, frozen=True):
    """Report that a local server has said in a response that it leaves."""

    server: str
    born: int  # start of its incarnation


class UpdateServers(Struct, frozen=True):
    """Replace the table of the fleet's servers."""

    servers: ServerTable


class LocalServer(Struct, frozen=True):
    """Backend server on this VM and its address."""

    record: ServerRecord
    address: Address


class UpdateLocalServers(Struct, frozen=True):
    """Replace the set of backend servers on this VM."""

    servers: tuple[LocalServer, ...]


class DescribeForwarding(Struct, frozen=True):
    """Request the state of the forwarding task."""

    reply: Reply


class ForwardingState(Struct, frozen=True):
    """Connections and calls of the forwarding task at one moment."""

    callers: int
    calls: int
    version: int
    slots_in_use: int
    waiting: int
    stopping: bool = False
    servers: int = 0  # servers of all services that may be called
    contained: int = 0  # requests that are refused because servers ended with them
    fresh: bool = True  # whether the configuration may be relied on for keys
