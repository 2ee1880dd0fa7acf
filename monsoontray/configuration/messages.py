"""Messages about versions of the operators' lists."""

from __future__ import annotations

from dataclasses import dataclass

from monsoontray.kernel.mailbox import Reply
from monsoontray.plans.model import Version, VersionName


@dataclass(slots=True, frozen=True)
class BaselineFound:
    """Report the oldest version that this node may enforce."""

    name: VersionName


@dataclass(slots=True, frozen=True)
class PeersAnswered:
    """Report how many of the known nodes have answered since the start."""

    answered: int
    known: int


@dataclass(slots=True, frozen=True)
class VersionReported:
    """Report a version that a peer has in force."""

    name: VersionName
    address: str


@dataclass(slots=True, frozen=True)
class ContentFetched:
    """Deliver the content of a version."""

    name: VersionName
    content: bytes


@dataclass(slots=True, frozen=True)
class ContentFetchFailed:
    """Report that the content of a version could not be fetched."""

    name: VersionName


@dataclass(slots=True, frozen=True)
class ReadContent:
    """Request a version's content; the reply is empty if it is not in force."""

    name: VersionName
    reply: Reply


@dataclass(slots=True, frozen=True)
class DescribeConfiguration:
    """Request the state of the configuration task."""

    reply: Reply


@dataclass(slots=True, frozen=True)
class ConfigurationState:
    """Version in force at this node, with missing references and the last refusal."""

    name: VersionName
    version: Version | None
    # Services and resources that the version's routes name but no server offers.
    waiting_routes: tuple[str, ...]
    refused: str  # why a newer version was refused; empty if none was


@dataclass(slots=True, frozen=True)
class ProposeLists:
    """Propose lists as the next version."""

    lists: bytes
    based_on: int
    author: str
    reply: Reply


@dataclass(slots=True, frozen=True)
class ReadHistory:
    """Request the latest versions, newest first."""

    count: int
    reply: Reply


@dataclass(slots=True, frozen=True)
class History:
    """Latest versions, newest first."""

    versions: tuple[Version, ...]


@dataclass(slots=True, frozen=True)
class Accepted:
    """The proposal was accepted as a version."""

    name: VersionName


@dataclass(slots=True, frozen=True)
class Rejected:
    """The proposed lists are invalid; ``faults`` has a message for each fault."""

    faults: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Overtaken:
    """The version that the change is based on is no longer the latest."""

    based_on: int
    latest: int
    author: str


@dataclass(slots=True, frozen=True)
class StoreFailed:
    """Nothing was changed because the store failed or its data is corrupt."""

    cause: str


@dataclass(slots=True, frozen=True)
class OutcomeUnknown:
    """The change may or may not have been accepted."""

    name: VersionName
    cause: str


ProposalOutcome = Accepted | Rejected | Overtaken | StoreFailed | OutcomeUnknown
HistoryOutcome = History | StoreFailed
