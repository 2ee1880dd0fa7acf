"""Findings about a configuration of routes before it is sent."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Iterator
from typing import Any

from msgspec import Struct
from msgspec.structs import asdict

from monsoontray.routing.model import HostRoute, RouteSet


class Severity(enum.Enum):
    """Whether a finding speaks against sending a configuration."""

    ERROR = "error"
    WARNING = "warning"


class Finding(Struct, frozen=True):
    """One finding about an entry of a configuration."""

    severity: Severity
    entry: str
    detail: str


class Change(Struct, frozen=True):
    """Difference of an entry between two configurations; empty where it is absent."""

    entry: str
    field: str
    before: str
    after: str


def examine_routes(routes: RouteSet) -> list[Finding]:
    """Return the findings about a complete configuration."""
    return [
        *_find_repeated_names(routes),
        *_find_unreachable_routes(routes.routes),
        *_find_contradictory_times(routes.routes),
        *_examine_services(routes),
        *_examine_limits(routes),
        *_examine_customers(routes),
    ]


def compare_routes(before: RouteSet, after: RouteSet) -> list[Change]:
    """Return what differs, entry by entry and field by field."""
    changes = list(_compare_entries("limits", [before.limits], [after.limits]))
    changes.extend(_compare_entries("route", before.routes, after.routes))
    changes.extend(_compare_entries("service", before.services, after.services))
    changes.extend(_compare_customers(before, after))
    return changes


def check_number(before: RouteSet, after: RouteSet) -> Finding | None:
    """Return a finding if nodes would ignore a configuration as not newer."""
    if after.number > before.number:
        return None
    detail = f"{after.number:08x} is not above {before.number:08x}, which is in force"
    return Finding(Severity.ERROR, "version", detail)


def _find_repeated_names(routes: RouteSet) -> Iterator[Finding]:
    for kind, entries in (("route", routes.routes), ("service", routes.services)):
        seen = set()
        for entry in entries:
            if entry.name in seen:
                yield Finding(
                    Severity.ERROR, f"{kind} {entry.name}", "the name is listed twice"
                )
            seen.add(entry.name)


def _find_unreachable_routes(routes: Iterable[HostRoute]) -> Iterator[Finding]:
    first: dict[tuple[str, str], str] = {}
    for route in routes:
        entry = f"route {route.name}"
        other = first.setdefault((route.host.lower(), route.prefix), route.name)
        if other != route.name:
            detail = f"never matches: route {other} has the same host and prefix"
            yield Finding(Severity.ERROR, entry, detail)
        if ":" in route.host:
            detail = "never matches: ports are removed from a request's host"
            yield Finding(Severity.ERROR, entry, detail)
        if not _is_possible_path(route.prefix):
            detail = f"never matches: no request's path begins with {route.prefix!r}"
            yield Finding(Severity.ERROR, entry, detail)
        for share in route.shares:
            if not share.weight:
                detail = f"service {share.service} has weight 0 and gets no requests"
                yield Finding(Severity.WARNING, entry, detail)


def _is_possible_path(prefix: str) -> bool:
    return all("!" <= character <= "~" for character in prefix) and not (
        {"?", "#"} & set(prefix)
    )


def _find_contradictory_times(routes: Iterable[HostRoute]) -> Iterator[Finding]:
    for route in routes:
        entry = f"route {route.name}"
        if not route.timeout_s:
            detail = "the timeout is 0, so every request is refused"
            yield Finding(Severity.ERROR, entry, detail)
        elif route.objective_s > route.timeout_s:
            detail = (
                f"the objective of {route.objective_s:g} s is beyond the timeout of "
                f"{route.timeout_s:g} s"
            )
            yield Finding(Severity.WARNING, entry, detail)


def _examine_services(routes: RouteSet) -> Iterator[Finding]:
    used = {share.service for route in routes.routes for share in route.shares}
    for service in routes.services:
        entry = f"service {service.name}"
        if service.name not in used:
            yield Finding(Severity.WARNING, entry, "no route leads to it")
        if not service.max_connections:
            detail = "it takes no connections, so it gets no requests"
            yield Finding(Severity.ERROR, entry, detail)
        if service.cold_per_s and not service.cold_start_s:
            detail = "it has a rate for cold servers, but no time in which one is cold"
            yield Finding(Severity.WARNING, entry, detail)


def _examine_limits(routes: RouteSet) -> Iterator[Finding]:
    limits = routes.limits
    for name, value in asdict(limits).items():
        if not value:
            detail = f"{name} is 0, so no request can be sent"
            severity = Severity.ERROR
            if name == "body_bytes":
                severity, detail = Severity.WARNING, "no request may have a body"
            yield Finding(severity, "limits", detail)
    if limits.head_timeout_s > limits.idle_timeout_s > 0:
        detail = (
            f"a head may take {limits.head_timeout_s:g} s, but a connection is closed "
            f"after {limits.idle_timeout_s:g} s without a request"
        )
        yield Finding(Severity.WARNING, "limits", detail)


def _examine_customers(routes: RouteSet) -> Iterator[Finding]:
    if routes.customers is None:
        return
    for customer in routes.customers:
        if not customer.key_digests:
            detail = "it has no key, so its requests are refused"
            yield Finding(Severity.WARNING, f"customer {customer.name}", detail)
    if routes.routes and not any(each.key_digests for each in routes.customers):
        closed = sum(not route.public for route in routes.routes)
        if closed:
            detail = f"there are no keys, but {closed} routes need one"
            yield Finding(Severity.ERROR, "customers", detail)


def _compare_entries(
    kind: str, before: Iterable[Any], after: Iterable[Any]
) -> Iterator[Change]:
    old = {getattr(each, "name", ""): each for each in before}
    new = {getattr(each, "name", ""): each for each in after}
    for name in sorted(old.keys() | new.keys()):
        entry = f"{kind} {name}".strip()
        if name not in new:
            yield Change(entry, "", "present", "")
        elif name not in old:
            yield Change(entry, "", "", "present")
        else:
            yield from _compare_fields(entry, asdict(old[name]), asdict(new[name]))


def _compare_fields(
    entry: str, before: dict[str, Any], after: dict[str, Any]
) -> Iterator[Change]:
    for field, value in before.items():
        if value != after[field]:
            yield Change(entry, field, _describe(value), _describe(after[field]))


def _compare_customers(before: RouteSet, after: RouteSet) -> Iterator[Change]:
    if (before.customers is None) != (after.customers is None):
        states = ("not needed", "needed")
        was, will_be = before.customers is not None, after.customers is not None
        yield Change("customers", "keys", states[was], states[will_be])
    old = {each.name: each for each in before.customers or ()}
    new = {each.name: each for each in after.customers or ()}
    for name in sorted(old.keys() | new.keys()):
        entry = f"customer {name}"
        if name not in new:
            yield Change(entry, "", "present", "")
        elif name not in old:
            yield Change(entry, "", "", "present")
        else:
            old_keys, new_keys = set(old[name].key_digests), set(new[name].key_digests)
            if old_keys != new_keys:
                removed, added = len(old_keys - new_keys), len(new_keys - old_keys)
                yield Change(entry, "keys", f"{removed} removed", f"{added} added")
            if old[name].priority != new[name].priority:
                yield Change(
                    entry,
                    "priority",
                    _describe(old[name].priority),
                    _describe(new[name].priority),
                )


def _describe(value: Any) -> str:
    if isinstance(value, tuple):
        return " ".join(f"{share.service}={share.weight}" for share in value)
    return str(value)
