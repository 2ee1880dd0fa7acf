"""Routes of a mesh, the services behind them and what callers may send."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Share:
    """Give a service its part of a route's requests."""

    service: str
    weight: int


@dataclass(slots=True, frozen=True)
class HostRoute:
    """Take the requests for a host and path prefix to services."""

    name: str
    host: str
    prefix: str
    shares: tuple[Share, ...]
    idempotent: bool
    timeout_s: float  # longest time that a request is kept waiting
    objective_s: float  # time within which a response earns its full credit
    max_attempts: int  # backend servers that one request may be sent to
    priority: int  # 0 is served first


@dataclass(slots=True, frozen=True)
class ServicePolicy:
    """State what the backend servers of a service bear."""

    name: str
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_per_s: float  # requests a second that a cold server bears


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Bound what a caller may send and how long it may take."""

    head_bytes: int
    body_bytes: int
    head_timeout_s: float
    idle_timeout_s: float


@dataclass(slots=True, frozen=True)
class RouteSet:
    """Hold one whole, numbered configuration of routes."""

    number: int
    routes: tuple[HostRoute, ...]
    services: tuple[ServicePolicy, ...]
    limits: CallerLimits
