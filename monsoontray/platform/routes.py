"""Decode the platform's configuration of routes and services."""

from __future__ import annotations

from typing import Annotated

import msgspec

from monsoontray.decoding.customers import build_customers
from monsoontray.decoding.documents import decode_json
from monsoontray.decoding.errors import DecodingError
from monsoontray.decoding.values import (
    Bytes,
    Count,
    Label,
    Name,
    Rate,
    Seconds,
    Token,
)
from monsoontray.routing.model import (
    CallerLimits,
    HostRoute,
    RouteSet,
    ServicePolicy,
    Share,
)

IDEMPOTENT_KIND = "idempotent"
_HEXADECIMAL_BASE = 16
HexadecimalVersion = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F]{1,15}\Z")]


class ShareSchema(msgspec.Struct, frozen=True):
    """JSON schema of a service's share of a split route."""

    service: Name
    weight: Count


class RouteSchema(msgspec.Struct, frozen=True):
    """JSON schema of a route."""

    name: Name
    host: Name
    prefix: Annotated[str, msgspec.Meta(pattern=r"^/(.*/)?\Z")]
    kind: str
    timeout_s: Seconds
    target_latency_s: Seconds
    priority: Count
    max_attempts: Count
    service: Label = ""  # empty if the route is split
    split: tuple[ShareSchema, ...] = ()
    public: bool = False


class ServiceSchema(msgspec.Struct, frozen=True):
    """JSON schema of a service."""

    name: Name
    health_path: str
    max_conns: Count
    cold_start_s: Seconds = 0.0
    cold_per_s: Rate = 0.0


class LimitsSchema(msgspec.Struct, frozen=True):
    """JSON schema of the limits for callers."""

    max_header_bytes: Bytes
    max_body_bytes: Bytes
    header_timeout_s: Seconds
    idle_timeout_s: Seconds


class TenantSchema(msgspec.Struct, frozen=True):
    """JSON schema of a tenant, which is a customer with keys."""

    name: Token
    api_keys: tuple[Token, ...]
    priority: Count | None = None


class ConfigurationSchema(msgspec.Struct, frozen=True):
    """JSON schema of a configuration."""

    version: HexadecimalVersion
    routes: tuple[RouteSchema, ...]
    services: tuple[ServiceSchema, ...]
    limits: LimitsSchema
    tenants: tuple[TenantSchema, ...] | None = None


def decode_routes(value: bytes) -> RouteSet:
    """Return the configuration; raise DecodingError."""
    document: ConfigurationSchema = decode_json(value, ConfigurationSchema)
    service_names = {service.name for service in document.services}
    routes = tuple(_build_route(route) for route in document.routes)
    for route in routes:
        for share in route.shares:
            if share.service not in service_names:
                raise DecodingError(
                    f"route {route.name!r} refers to unknown service {share.service!r}"
                )
    limits, customers = document.limits, None
    if document.tenants is not None:
        customers = build_customers(
            (each.name, each.api_keys, each.priority) for each in document.tenants
        )
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
        customers=customers,
    )


def _build_route(route: RouteSchema) -> HostRoute:
    shares = tuple(Share(share.service, share.weight) for share in route.split)
    if not shares:
        shares = (Share(route.service, 1),)
    if not any(share.weight > 0 for share in shares):
        raise DecodingError(f"route {route.name!r} has no positive weight")
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
        public=route.public,
    )
