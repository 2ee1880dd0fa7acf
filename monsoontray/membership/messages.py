"""Messages to the membership and peer services."""

from __future__ import annotations

from dataclasses import dataclass

from monsoontray.decisions.fleet import NodeRecord
from monsoontray.decisions.servers import ServerRecord
from monsoontray.kernel.mailbox import Reply
from monsoontray.membership.encoding import Exchange
from monsoontray.plans.model import VersionName
from monsoontray.settings.settings import Address


@dataclass(slots=True, frozen=True)
class AnnounceServer:
    """Add or renew the announcement of a backend server."""

    record: ServerRecord
    address: Address


@dataclass(slots=True, frozen=True)
class ServerLeaving:
    """Report that a backend server is leaving and accepts no new calls."""

    server: str


@dataclass(slots=True, frozen=True)
class ExchangeReceived:
    """Report an exchange that a peer started, to be answered."""

    exchange: Exchange
    reply: Reply


@dataclass(slots=True, frozen=True)
class ExchangeAnswered:
    """Report a peer's answer to an exchange."""

    node: str
    address: str
    exchange: Exchange


@dataclass(slots=True, frozen=True)
class ExchangeFailed:
    """Report that a peer did not answer an exchange."""

    node: str


@dataclass(slots=True, frozen=True)
class SeedsFound:
    """Report the addresses of nodes to contact first."""

    addresses: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class VersionInForce:
    """Report the version in force on this node and the routes that wait for servers."""

    name: VersionName
    waiting_routes: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class WatchingChanged:
    """Report whether this node watches the store for its zone."""

    watching: bool


@dataclass(slots=True, frozen=True)
class DescribeFleet:
    """Ask for the records of all nodes."""

    reply: Reply


@dataclass(slots=True, frozen=True)
class FleetState:
    """Records of all nodes; answers DescribeFleet."""

    own: str
    records: tuple[NodeRecord, ...]
    versions: dict[str, int]  # number of the version in force, by node


@dataclass(slots=True, frozen=True)
class WaitForVersion:
    """Ask for an answer once all nodes have a version in force, or at the deadline."""

    number: int
    deadline: float
    reply: Reply


@dataclass(slots=True, frozen=True)
class NodesBehind:
    """Nodes that are not dead and have an older version than the requested one."""

    nodes: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class SendExchange:
    """Send an exchange to a peer."""

    node: str
    address: str
    exchange: Exchange


@dataclass(slots=True, frozen=True)
class ChannelFailed:
    """Report that a call over the channel to an address failed."""

    address: str


@dataclass(slots=True, frozen=True)
class ChannelWorked:
    """Report a successful call over a channel on which one had failed."""

    address: str


@dataclass(slots=True, frozen=True)
class FetchFromPeer:
    """Fetch a version's content from a peer."""

    name: VersionName
    address: str
