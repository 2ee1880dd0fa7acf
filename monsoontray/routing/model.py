"""Routes of a mesh, their services and the limits on callers."""

from __future__ import annotations

from msgspec import Struct


class Share(Struct, frozen=True):
    """Share of a route's requests that a service gets."""

    service: str
    weight: int


class HostRoute(Struct, frozen=True):
    """Route of the requests for a host and path prefix."""

    name: str
    host: str
    prefix: str
    shares: tuple[Share, ...]
    idempotent: bool
    timeout_s: float  # longest time until the response
    objective_s: float  # time within which a response counts as on time
    max_attempts: int  # largest number of backend servers that get a request
    priority: int  # 0 is served first
    public: bool = False  # whether requests need no key


class KeyHolder(Struct, frozen=True):
    """Customer of a mesh, with the digests of the keys that identify its requests."""

    name: str
    key_digests: tuple[bytes, ...]
    priority: int | None = None  # replaces that of the route, if given


class ServicePolicy(Struct, frozen=True):
    """Limits and health check of the backend servers of a service."""

    name: str
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_per_s: float  # requests a second that a cold server accepts


class CallerLimits(Struct, frozen=True):
    """Limits on the size and the time of what a caller sends."""

    head_bytes: int
    body_bytes: int
    head_timeout_s: float
    idle_timeout_s: float


class RouteSet(Struct, frozen=True):
    """Complete, numbered configuration of routes."""

    number: int
    routes: tuple[HostRoute, ...]
    services: tuple[ServicePolicy, ...]
    limits: CallerLimits
    customers: tuple[KeyHolder, ...] | None = None  # None: requests need no keys
