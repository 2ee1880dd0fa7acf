"""Messages about versions of the operators' lists."""

from __future__ import annotations

from dataclasses import dataclass

from monsoontray.kernel.mailbox import Reply
from monsoontray.plans.model import Version, VersionName


@dataclass(slots=True, frozen=True)
class BaselineFound:
    """Tell the version below which this node must not serve."""

    name: VersionName


@dataclass(slots=True, frozen=True)
class PeersAnswered:
    """Tell how many of the known nodes have answered since the start."""

    answered: int
    known: int


@dataclass(slots=True, frozen=True)
class VersionReported:
    """Tell of a version that a peer has in force."""

    name: VersionName
    address: str


@dataclass(slots=True, frozen=True)
class ContentFetched:
    """Deliver the content of a version."""

    name: VersionName
    content: bytes


@dataclass(slots=True, frozen=True)
class ContentFetchFailed:
    """Tell that a version could not be fetched."""

    name: VersionName


@dataclass(slots=True, frozen=True)
class ReadContent:
    """Ask for a version's content; the answer is empty when it is not here."""

    name: VersionName
    reply: Reply


@dataclass(slots=True, frozen=True)
class DescribeConfiguration:
    """Ask for the version in force."""

    reply: Reply


@dataclass(slots=True, frozen=True)
class ConfigurationState:
    """Answer with the version in force and the routes that wait."""

    name: VersionName
    version: Version | None
    waiting_routes: tuple[str, ...]
    refused: str  # why the latest version heard of was refused, if it was


@dataclass(slots=True, frozen=True)
class ProposeLists:
    """Ask for lists to be accepted as the next version."""

    lists: bytes
    based_on: int
    author: str
    reply: Reply


@dataclass(slots=True, frozen=True)
class ReadHistory:
    """Ask for the latest versions, the newest first."""

    count: int
    reply: Reply


@dataclass(slots=True, frozen=True)
class History:
    """Answer with versions, the newest first."""

    versions: tuple[Version, ...]


@dataclass(slots=True, frozen=True)
class Accepted:
    """Say that a version was accepted."""

    name: VersionName


@dataclass(slots=True, frozen=True)
class Rejected:
    """Say that lists are invalid, with every fault."""

    faults: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Overtaken:
    """Say that the version a change is based on is no longer the latest."""

    based_on: int
    latest: int
    author: str


@dataclass(slots=True, frozen=True)
class StoreFailed:
    """Say that nothing was changed since the store did not serve."""

    cause: str


@dataclass(slots=True, frozen=True)
class OutcomeUnknown:
    """Say that a change may have been accepted or not."""

    name: VersionName
    cause: str


ProposalOutcome = Accepted | Rejected | Overtaken | StoreFailed | OutcomeUnknown
HistoryOutcome = History | StoreFailed
