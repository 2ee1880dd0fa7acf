"""Lists of customers and plans that operators edit, and versions of the lists."""

from __future__ import annotations

from msgspec import Struct

from monsoontray.decoding.values import SequenceNumber


class Customer(Struct, frozen=True, forbid_unknown_fields=True):
    """Customer with a plan and the digest of an access token."""

    customer: str
    plan: str
    token_sha256: str  # hexadecimal digest of the token that the customer's calls carry


class Route(Struct, frozen=True, forbid_unknown_fields=True):
    """Path prefix that a plan may call, and the service that handles it."""

    prefix: str
    service: str
    resource: str = ""  # empty for the whole service
    methods: tuple[str, ...] = ("GET", "HEAD", "POST", "PUT", "DELETE", "PATCH")


class Plan(Struct, frozen=True, forbid_unknown_fields=True):
    """Routes that the customers of a plan may call, and the plan's priority."""

    plan: str
    routes: tuple[Route, ...]
    priority: int = 0  # 0 (served first) to 9


class ServiceEntry(Struct, frozen=True, forbid_unknown_fields=True):
    """Service, and the resources of it that routes may name."""

    service: str
    resources: tuple[str, ...] = ()


class Lists(Struct, frozen=True, forbid_unknown_fields=True):
    """List of customers and list of plans, with the services that the routes name."""

    customers: tuple[Customer, ...]
    plans: tuple[Plan, ...]
    services: tuple[ServiceEntry, ...]


class VersionName(Struct, frozen=True, forbid_unknown_fields=True):
    """Identity of a version: its number and the digest of its content."""

    number: SequenceNumber
    digest: str


class Version(Struct, frozen=True, forbid_unknown_fields=True):
    """Accepted, immutable version of the lists."""

    number: SequenceNumber
    previous: VersionName | None
    author: str
    accepted_at: float  # seconds since the epoch
    lists: Lists


#: The version in force before any version has been accepted.
NO_VERSION = VersionName(0, "")
