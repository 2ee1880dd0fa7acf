"""Validate the lists of customers and plans."""

from __future__ import annotations

import re
from collections.abc import Iterable

from monsoontray.plans.model import Customer, Lists, Plan, Route

MAX_NAME_LENGTH = 128  # characters
MAX_PREFIX_LENGTH = 1024  # characters
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")
_DIGEST = re.compile(r"[0-9a-f]{64}")
_METHOD = re.compile(r"[A-Z]{1,20}")


def find_faults(lists: Lists) -> list[str]:
    """Return a one-line message for each fault in the lists."""
    faults: list[str] = []
    services = {entry.service: entry for entry in lists.services}
    plans = {plan.plan for plan in lists.plans}
    faults += _find_duplicates("service", (e.service for e in lists.services))
    faults += _find_duplicates("plan", (p.plan for p in lists.plans))
    faults += _find_duplicates("customer", (c.customer for c in lists.customers))
    faults += _find_duplicates(
        "token_sha256", (c.token_sha256 for c in lists.customers)
    )
    for entry in lists.services:
        faults += _check_name("service", entry.service)
        faults += _find_duplicates(f"resource of {entry.service}", entry.resources)
        for resource in entry.resources:
            faults += _check_name("resource", resource)
    resources = {name: frozenset(e.resources) for name, e in services.items()}
    for plan in lists.plans:
        faults += _check_plan(plan, resources)
    for customer in lists.customers:
        faults += _check_customer(customer, plans)
    return faults


def _check_name(kind: str, name: str) -> list[str]:
    if _NAME.fullmatch(name) and len(name) <= MAX_NAME_LENGTH:
        return []
    return [
        f"{kind} {name!r} must start with a letter or digit and have at most "
        f"{MAX_NAME_LENGTH} letters, digits, '.', '_' and '-'"
    ]


def _find_duplicates(kind: str, names: Iterable[str]) -> list[str]:
    seen: set[str] = set()
    faults = []
    for name in names:
        if name in seen:
            faults.append(f"{kind} {name!r} appears twice")
        seen.add(name)
    return faults


def _check_plan(plan: Plan, resources: dict[str, frozenset[str]]) -> list[str]:
    faults = _check_name("plan", plan.plan)
    if not 0 <= plan.priority <= 9:
        faults.append(
            f"plan {plan.plan!r}: priority {plan.priority} is not between 0 and 9"
        )
    pairs = [
        (route.prefix, method) for route in plan.routes for method in route.methods
    ]
    names = (f"{method} {prefix}" for prefix, method in pairs)
    faults += _find_duplicates(f"plan {plan.plan!r}: route", names)
    for route in plan.routes:
        faults += _check_route(plan.plan, route, resources)
    return faults


def _check_route(
    plan: str, route: Route, resources: dict[str, frozenset[str]]
) -> list[str]:
    location = f"plan {plan!r}, route {route.prefix!r}"
    faults = []
    if not route.prefix.startswith("/") or len(route.prefix) > MAX_PREFIX_LENGTH:
        faults.append(
            f"{location}: prefix must start with '/' and have at most "
            f"{MAX_PREFIX_LENGTH} characters"
        )
    if route.service not in resources:
        faults.append(f"{location}: service {route.service!r} is not declared")
    elif route.resource and route.resource not in resources[route.service]:
        faults.append(
            f"{location}: resource {route.resource!r} of service {route.service!r} "
            "is not declared"
        )
    if not route.methods:
        faults.append(f"{location}: methods must not be empty")
    for method in route.methods:
        if not _METHOD.fullmatch(method):
            faults.append(f"{location}: method {method!r} is not an HTTP method")
    return faults


def _check_customer(customer: Customer, plans: set[str]) -> list[str]:
    faults = _check_name("customer", customer.customer)
    if customer.plan not in plans:
        faults.append(
            f"customer {customer.customer!r}: plan {customer.plan!r} is not declared"
        )
    if not _DIGEST.fullmatch(customer.token_sha256):
        faults.append(
            f"customer {customer.customer!r}: token_sha256 is not 64 hexadecimal digits"
        )
    return faults
