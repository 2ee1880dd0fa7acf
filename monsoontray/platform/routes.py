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

IDEMPOTENT = "idempotent"
_HEXADECIMAL = 16


class ShareShape(msgspec.Struct, frozen=True):
    """Shape of one part of a split."""

    service: str
    weight: int


class RouteShape(msgspec.Struct, frozen=True):
    """Shape of a route."""

    name: str
    host: str
    prefix: str
    kind: str
    timeout_s: float
    target_latency_s: float
    priority: int
    max_attempts: int
    service: str = ""  # empty when the route is split
    split: tuple[ShareShape, ...] = ()


class ServiceShape(msgspec.Struct, frozen=True):
    """Shape of a service."""

    name: str
    health_path: str
    max_conns: int
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class LimitsShape(msgspec.Struct, frozen=True):
    """Shape of the bounds on callers."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class ConfigurationShape(msgspec.Struct, frozen=True):
    """Shape of a whole configuration."""

    version: str  # hexadecimal
    routes: tuple[RouteShape, ...]
    services: tuple[ServiceShape, ...]
    limits: LimitsShape


def decode_routes(value: bytes) -> RouteSet:
    """Return the configuration; raise msgspec.DecodeError or ValueError."""
    shape = msgspec.json.decode(value, type=ConfigurationShape)
    known = {service.name for service in shape.services}
    routes = tuple(_read_route(route) for route in shape.routes)
    for route in routes:
        for share in route.shares:
            if share.service not in known:
                raise ValueError(
                    f"route {route.name!r} names the unknown service {share.service!r}"
                )
    limits = shape.limits
    return RouteSet(
        number=int(shape.version, _HEXADECIMAL),
        routes=routes,
        services=tuple(
            ServicePolicy(
                each.name,
                each.health_path,
                each.max_conns,
                each.cold_start_s,
                each.cold_per_s,
            )
            for each in shape.services
        ),
        limits=CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
        ),
    )


def _read_route(shape: RouteShape) -> HostRoute:
    shares = tuple(Share(part.service, part.weight) for part in shape.split)
    if not shares:
        shares = (Share(shape.service, 1),)
    if not any(share.weight > 0 for share in shares):
        raise ValueError(f"route {shape.name!r} has no part with a weight")
    return HostRoute(
        name=shape.name,
        host=shape.host,
        prefix=shape.prefix,
        shares=shares,
        idempotent=shape.kind == IDEMPOTENT,
        timeout_s=shape.timeout_s,
        objective_s=shape.target_latency_s,
        max_attempts=max(1, shape.max_attempts),
        priority=shape.priority,
    )
