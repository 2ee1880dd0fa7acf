"""Messages that the forwarder takes."""

from __future__ import annotations

from dataclasses import dataclass

from monsoontray.decisions.admission import Entitlements
from monsoontray.decisions.routing import RouteTable
from monsoontray.decisions.servers import ServerRecord, ServerTable
from monsoontray.kernel.mailbox import Reply
from monsoontray.settings.settings import Address


@dataclass(slots=True, frozen=True)
class UpdateEntitlements:
    """Put a version in force."""

    entitlements: Entitlements


@dataclass(slots=True, frozen=True)
class UpdateRoutes:
    """Put a configuration of routes in force."""

    table: RouteTable


@dataclass(slots=True, frozen=True)
class UpdateEvacuatedZones:
    """Take the changed set of zones whose servers get nothing."""

    zones: frozenset[str]


@dataclass(slots=True, frozen=True)
class NodeLeaving:
    """Tell others that this node and its servers leave."""


@dataclass(slots=True, frozen=True)
class ServerUnconfirmed:
    """Tell that a local server may have ended or started anew."""

    server: str
    reason: str


@dataclass(slots=True, frozen=True)
class UpdateServers:
    """Take a changed table of the fleet's servers."""

    servers: ServerTable


@dataclass(slots=True, frozen=True)
class LocalServer:
    """Describe a backend server on this VM."""

    record: ServerRecord
    address: Address


@dataclass(slots=True, frozen=True)
class UpdateLocalServers:
    """Take the changed set of backend servers on this VM."""

    servers: tuple[LocalServer, ...]


@dataclass(slots=True, frozen=True)
class DescribeForwarding:
    """Ask for the forwarder's state."""

    reply: Reply


@dataclass(slots=True, frozen=True)
class ForwardingState:
    """Describe the forwarder: connections and calls now."""

    callers: int
    calls: int
    version: int
    slots_in_use: int
    waiting: int
    stopping: bool = False
    servers: int = 0  # servers of other services and this one that may be called
