"""Schemas of the request and response bodies of the operators' API."""

from __future__ import annotations

from msgspec import Raw, Struct


class Announcement(Struct, frozen=True, forbid_unknown_fields=True):
    """Request: a backend server announces itself, or repeats its announcement."""

    server: str
    service: str
    version: str
    address: str  # IP:PORT where the server accepts calls
    slots: int
    connections: int
    resources: tuple[str, ...] = ()


class AnnouncementResponse(Struct, frozen=True):
    """Response: how soon the server must repeat its announcement."""

    repeat_within_ms: int  # after this, the announcement expires


class LeaveRequest(Struct, frozen=True, forbid_unknown_fields=True):
    """Request: a backend server is leaving."""

    server: str


class Proposal(Struct, frozen=True, forbid_unknown_fields=True):
    """Request: an operator proposes lists as the next version."""

    based_on: int  # number of the latest version that the operator knows
    author: str
    lists: Raw


class ProposalResult(Struct, frozen=True):
    """Response: result of a proposal or of a validation."""

    outcome: str  # "accepted", "rejected", "overtaken", "not-done", "unknown", "valid"
    number: int = 0
    digest: str = ""
    faults: tuple[str, ...] = ()
    detail: str = ""


class VersionSummary(Struct, frozen=True):
    """Summary of a version in the history."""

    number: int
    digest_of_previous: str
    author: str
    accepted_at: float
    customers: int
    plans: int


class ServerStatus(Struct, frozen=True):
    """Status of a backend server."""

    server: str
    service: str
    version: str
    state: str
    slots: int


class NodeStatus(Struct, frozen=True):
    """Status of a node."""

    node: str
    region: str
    zone: str
    state: str
    version: int
    watching: bool
    waiting_routes: tuple[str, ...]
    servers: tuple[ServerStatus, ...]


class ZoneStatus(Struct, frozen=True):
    """Status of a zone: at how many nodes each version is in force."""

    zone: str
    nodes: int
    versions: dict[str, int]
    behind: tuple[str, ...]  # nodes whose version is not the fleet's highest


class Status(Struct, frozen=True):
    """Response: status of the fleet as one node sees it."""

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
    """Response: whether a version is in force at every node, else where it is not."""

    version: int
    reached: bool
    behind: tuple[str, ...]


class ErrorResponse(Struct, frozen=True):
    """Response: why a request failed."""

    error: str
