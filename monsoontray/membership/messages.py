"""Messages that the membership and peer services take."""

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
    """Take or repeat a backend server's announcement."""

    record: ServerRecord
    address: Address


@dataclass(slots=True, frozen=True)
class ServerLeaving:
    """Give a backend server no new work."""

    server: str


@dataclass(slots=True, frozen=True)
class ExchangeReceived:
    """Answer an exchange that a peer began."""

    exchange: Exchange
    reply: Reply


@dataclass(slots=True, frozen=True)
class ExchangeAnswered:
    """Take a peer's answer to an exchange."""

    node: str
    address: str
    exchange: Exchange


@dataclass(slots=True, frozen=True)
class ExchangeFailed:
    """Note that a peer did not answer."""

    node: str


@dataclass(slots=True, frozen=True)
class SeedsFound:
    """Take the addresses of nodes to begin with."""

    addresses: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class VersionInForce:
    """Tell others which version this node serves and which routes wait."""

    name: VersionName
    waiting_routes: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class WatchingChanged:
    """Tell others whether this node watches the store for its zone."""

    watching: bool


@dataclass(slots=True, frozen=True)
class DescribeFleet:
    """Ask for the records of all nodes."""

    reply: Reply


@dataclass(slots=True, frozen=True)
class FleetState:
    """Hold the records of all nodes."""

    own: str
    records: tuple[NodeRecord, ...]
    versions: dict[str, int]  # node to the number of its version in force


@dataclass(slots=True, frozen=True)
class WaitForVersion:
    """Ask to be told when every node has a version in force, or at the deadline."""

    number: int
    deadline: float
    reply: Reply


@dataclass(slots=True, frozen=True)
class NodesBehind:
    """Name the living nodes below a version; none means that it is everywhere."""

    nodes: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class SendExchange:
    """Send an exchange to a peer."""

    node: str
    address: str
    exchange: Exchange


@dataclass(slots=True, frozen=True)
class ChannelFailed:
    """Note that a call over the channel to an address failed."""

    address: str


@dataclass(slots=True, frozen=True)
class ChannelWorked:
    """Note that a call worked over a channel on which one had failed."""

    address: str


@dataclass(slots=True, frozen=True)
class FetchFromPeer:
    """Fetch a version's content from a peer."""

    name: VersionName
    address: str
