"""Build the lists (customers and plans) that experiments propose."""

from __future__ import annotations

import hashlib
from typing import Any


def build_customer(customer: str, plan: str, token: str) -> dict[str, str]:
    """Return a customer that authenticates with a token."""
    digest = hashlib.sha256(token.encode()).hexdigest()
    return {"customer": customer, "plan": plan, "token_sha256": digest}


def build_route(prefix: str, service: str, resource: str = "") -> dict[str, str]:
    """Return a route from a path prefix to a resource of a service."""
    return {"prefix": prefix, "service": service, "resource": resource}


def build_plan(
    plan: str, routes: list[dict[str, str]], priority: int = 0
) -> dict[str, Any]:
    """Return a plan with its routes."""
    return {"plan": plan, "routes": routes, "priority": priority}


def build_lists(
    customers: list[dict[str, str]], plans: list[dict[str, Any]], services: list[str]
) -> dict[str, Any]:
    """Return the lists with the services they declare."""
    return {
        "customers": customers,
        "plans": plans,
        "services": [{"service": service} for service in services],
    }
