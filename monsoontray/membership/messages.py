"""Messages to the membership and peer services."""

from __future__ import annotations

from msgspec import Struct

from monsoontray.decisions.fleet import NodeRecord
from monsoontray.decisions.servers import ServerRecord
from monsoontray.kernel.mailbox import Reply
from monsoontray.membership.encoding import Exchange
from monsoontray.plans.model import VersionName
from monsoontray.settings.settings import Address


class AnnounceServer(Struct, frozen=True):
    """Add or renew the announcement of a backend server."""

    record: ServerRecord
    address: Address


class ServerLeaving(Struct, frozen=True):
    """Report that a backend server is leaving and accepts no new calls."""

    server: str


class ExchangeReceived(Struct, frozen=True):
    """Report an exchange that a peer started, to be answered."""

    exchange: Exchange
    reply: Reply


class ExchangeAnswered(Struct, frozen=True):
    """Report a peer's answer to an exchange."""

    node: str
    address: str
    exchange: Exchange


class ExchangeFailed(Struct, frozen=True):
    """Report that a peer did not answer an exchange."""

    node: str


class SeedsFound(Struct, frozen=True):
    """Report the addresses of nodes to contact first."""

    addresses: tuple[str, ...]


class VersionInForce(Struct, frozen=True):
    """Report the version in force on this node and the routes that wait for servers."""

    name: VersionName
    waiting_routes: tuple[str, ...]


class WatchingChanged(Struct, frozen=True):
    """Report whether this node watches the store for its zone."""

    watching: bool


class DescribeFleet(Struct, frozen=True):
    """Ask for the records of all nodes."""

    reply: Reply


class FleetState(Struct, frozen=True):
    """Records of all nodes; answers DescribeFleet."""

    own: str
    records: tuple[NodeRecord, ...]
    versions: dict[str, int]  # number of the version in force, by node


class WaitForVersion(Struct, frozen=True):
    """Ask for an answer once all nodes have a version in force, or at the deadline."""

    number: int
    deadline: float
    reply: Reply


class NodesBehind(Struct, frozen=True):
    """Nodes that are not dead and have an older version than the requested one."""

    nodes: tuple[str, ...]


class SendExchange(Struct, frozen=True):
    """Send an exchange to a peer."""

    node: str
    address: str
    exchange: Exchange


class ChannelFailed(Struct, frozen=True):
    """Report that a call over the channel to an address failed."""

    address: str


class ChannelWorked(Struct, frozen=True):
    """Report a successful call over a channel on which one had failed."""

    address: str


class FetchFromPeer(Struct, frozen=True):
    """Fetch a version's content from a peer."""

    name: VersionName
    address: str
