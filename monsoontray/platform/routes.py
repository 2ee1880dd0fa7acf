"""Decode the platform's configuration of routes and services."""

from __future__ import annotations

import msgspec

from monsoontray.routing.model import (
    CallerLimits,
    HostRoute,
    RouteSet,
    ServicePolicy,
    Share,
)

IDEMPOTENT_KIND = "idempotent"
_HEXADECIMAL_BASE = 16


class ShareSchema(msgspec.Struct, frozen=True):
    """JSON schema of a service's share of a split route."""

    service: str
    weight: int


class RouteSchema(msgspec.Struct, frozen=True):
    """JSON schema of a route."""

    name: str
    host: str
    prefix: str
    kind: str
    timeout_s: float
    target_latency_s: float
    priority: int
    max_attempts: int
    service: str = ""  # empty if the route is split
    split: tuple[ShareSchema, ...] = ()


class ServiceSchema(msgspec.Struct, frozen=True):
    """JSON schema of a service."""

    name: str
    health_path: str
    max_conns: int
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class LimitsSchema(msgspec.Struct, frozen=True):
    """JSON schema of the limits for callers."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class ConfigurationSchema(msgspec.Struct, frozen=True):
    """JSON schema of a configuration."""

    version: str  # hexadecimal
    routes: tuple[RouteSchema, ...]
    services: tuple[ServiceSchema, ...]
    limits: LimitsSchema


def decode_routes(value: bytes) -> RouteSet:
    """Return the configuration; if invalid, raise msgspec.DecodeError or ValueError."""
    document = msgspec.json.decode(value, type=ConfigurationSchema)
    service_names = {service.name for service in document.services}
    routes = tuple(_build_route(route) for route in document.routes)
    for route in routes:
        for share in route.shares:
            if share.service not in service_names:
                raise ValueError(
                    f"route {route.name!r} refers to unknown service {share.service!r}"
                )
    limits = document.limits
    return RouteSet(
        number=int(document.version, _HEXADECIMAL_BASE),
        routes=routes,
        services=tuple(
            ServicePolicy(
                service.name,
                service.health_path,
                service.max_conns,
                service.cold_start_s,
                service.cold_per_s,
            )
            for service in document.services
        ),
        limits=CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
        ),
    )


def _build_route(route: RouteSchema) -> HostRoute:
    shares = tuple(Share(share.service, share.weight) for share in route.split)
    if not shares:
        shares = (Share(route.service, 1),)
    if not any(share.weight > 0 for share in shares):
        raise ValueError(f"route {route.name!r} has no service with a positive weight")
    return HostRoute(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        shares=shares,
        idempotent=route.kind == IDEMPOTENT_KIND,
        timeout_s=route.timeout_s,
        objective_s=route.target_latency_s,
        max_attempts=max(1, route.max_attempts),
        priority=route.priority,
    )
