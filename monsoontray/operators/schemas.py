"""Shapes of the bodies of the operators' API."""

from __future__ import annotations

from msgspec import Raw, Struct


class Announcement(Struct, frozen=True, forbid_unknown_fields=True):
    """Body by which a backend server announces itself or repeats that."""

    server: str
    service: str
    version: str
    address: str  # IP:PORT where the server takes calls
    slots: int
    connections: int
    resources: tuple[str, ...] = ()


class AnnouncementResponse(Struct, frozen=True):
    """Say until when an announcement holds."""

    repeat_within_ms: int


class LeaveRequest(Struct, frozen=True, forbid_unknown_fields=True):
    """Body by which a backend server says that it leaves."""

    server: str


class Proposal(Struct, frozen=True, forbid_unknown_fields=True):
    """Body by which an operator proposes lists."""

    based_on: int
    author: str
    lists: Raw


class ProposalResult(Struct, frozen=True):
    """Say what became of a proposal; ``outcome`` is its tag."""

    outcome: str
    number: int = 0
    digest: str = ""
    faults: tuple[str, ...] = ()
    detail: str = ""


class VersionSummary(Struct, frozen=True):
    """Describe a version in the history."""

    number: int
    digest_of_previous: str
    author: str
    accepted_at: float
    customers: int
    plans: int


class ServerStatus(Struct, frozen=True):
    """Describe a backend server in the status."""

    server: str
    service: str
    version: str
    state: str
    slots: int


class NodeStatus(Struct, frozen=True):
    """Describe a node in the status."""

    node: str
    region: str
    zone: str
    state: str
    version: int
    watching: bool
    waiting_routes: tuple[str, ...]
    servers: tuple[ServerStatus, ...]


class ZoneStatus(Struct, frozen=True):
    """Summarize a zone: at how many nodes each version is in force."""

    zone: str
    nodes: int
    versions: dict[str, int]
    behind: tuple[str, ...]  # nodes below the highest version


class Status(Struct, frozen=True):
    """Describe the fleet as one node sees it."""

    node: str
    software: str
    version: int
    digest: str
    refused: str
    callers: int
    calls: int
    slots_in_use: int
    waiting: int
    zones: tuple[ZoneStatus, ...]
    nodes: tuple[NodeStatus, ...]


class WaitResponse(Struct, frozen=True):
    """Say whether a version is everywhere, and at which nodes it is not."""

    version: int
    reached: bool
    behind: tuple[str, ...]


class ErrorResponse(Struct, frozen=True):
    """Body of a response to a request that can't be served."""

    error: str
