"""Messages about versions of the operators' lists."""

from __future__ import annotations

from msgspec import Struct

from monsoontray.kernel.mailbox import Reply
from monsoontray.plans.model import Version, VersionName


class BaselineFound(Struct, frozen=True):
    """Report the oldest version that this node may enforce."""

    name: VersionName


class PeersAnswered(Struct, frozen=True):
    """Report how many of the known nodes have answered since the start."""

    answered: int
    known: int


class VersionReported(Struct, frozen=True):
    """Report a version that a peer has in force."""

    name: VersionName
    address: str


class ContentFetched(Struct, frozen=True):
    """Deliver the content of a version."""

    name: VersionName
    content: bytes


class ContentFetchFailed(Struct, frozen=True):
    """Report that the content of a version could not be fetched."""

    name: VersionName


class ReadContent(Struct, frozen=True):
    """Request a version's content; the reply is empty if it is not in force."""

    name: VersionName
    reply: Reply


class DescribeConfiguration(Struct, frozen=True):
    """Request the state of the configuration task."""

    reply: Reply


class ConfigurationState(Struct, frozen=True):
    """Version in force at this node, with missing references and the last refusal."""

    name: VersionName
    version: Version | None
    # Services and resources that the version's routes name but no server offers.
    waiting_routes: tuple[str, ...]
    refused: str  # why a newer version was refused; empty if none was


class ProposeLists(Struct, frozen=True):
    """Propose lists as the next version."""

    lists: bytes
    based_on: int
    author: str
    reply: Reply


class ReadHistory(Struct, frozen=True):
    """Request the latest versions, newest first."""

    count: int
    reply: Reply


class History(Struct, frozen=True):
    """Latest versions, newest first."""

    versions: tuple[Version, ...]


class Accepted(Struct, frozen=True):
    """The proposal was accepted as a version."""

    name: VersionName


class Rejected(Struct, frozen=True):
    """The proposed lists are invalid; ``faults`` has a message for each fault."""

    faults: tuple[str, ...]


class Overtaken(Struct, frozen=True):
    """The version that the change is based on is no longer the latest."""

    based_on: int
    latest: int
    author: str


class StoreFailed(Struct, frozen=True):
    """Nothing was changed because the store failed or its data is corrupt."""

    cause: str


class OutcomeUnknown(Struct, frozen=True):
    """The change may or may not have been accepted."""

    name: VersionName
    cause: str


ProposalOutcome = Accepted | Rejected | Overtaken | StoreFailed | OutcomeUnknown
HistoryOutcome = History | StoreFailed
