"""The two lists that operators edit, and numbered versions of them."""

from __future__ import annotations

from msgspec import Struct


class Customer(Struct, frozen=True, forbid_unknown_fields=True):
    """State which plan a customer has."""

    customer: str
    plan: str
    token_sha256: str  # hexadecimal digest of the token that callers present


class Route(Struct, frozen=True, forbid_unknown_fields=True):
    """Allow calls below a path and name the service that takes them."""

    prefix: str
    service: str
    resource: str = ""  # empty means the service as a whole
    methods: tuple[str, ...] = ("GET", "HEAD", "POST", "PUT", "DELETE", "PATCH")


class Plan(Struct, frozen=True, forbid_unknown_fields=True):
    """State what the customers of a plan may use."""

    plan: str
    routes: tuple[Route, ...]
    priority: int = 0  # 0 is served first


class ServiceEntry(Struct, frozen=True, forbid_unknown_fields=True):
    """Declare a service and the resources that routes may name."""

    service: str
    resources: tuple[str, ...] = ()


class Lists(Struct, frozen=True, forbid_unknown_fields=True):
    """Hold the two lists: customers' plans and what each plan may use."""

    customers: tuple[Customer, ...]
    plans: tuple[Plan, ...]
    services: tuple[ServiceEntry, ...]


class VersionName(Struct, frozen=True, forbid_unknown_fields=True):
    """Name a version by its number and the digest of its content."""

    number: int
    digest: str


class Version(Struct, frozen=True, forbid_unknown_fields=True):
    """Hold an accepted, immutable version of the lists."""

    number: int
    previous: VersionName | None
    author: str
    accepted_at: float  # seconds since the epoch
    lists: Lists


#: What a fleet that accepted nothing yet is at.
NO_VERSION = VersionName(0, "")
