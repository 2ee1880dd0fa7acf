"""Admission of calls according to the customer's plan."""

from __future__ import annotations

import hashlib

from msgspec import Struct

from monsoontray.decisions.outcomes import Reason, Refusal, refuse_not_run
from monsoontray.plans.model import (
    NO_VERSION,
    Customer,
    Plan,
    Route,
    Version,
    VersionName,
)


class Admitted(Struct, frozen=True):
    """Customer, plan and destination of an admitted call."""

    customer: str
    plan: str
    priority: int
    service: str
    resource: str


class PlanRoutes(Struct, frozen=True):
    """Plan and its routes, the longest prefix first."""

    plan: Plan
    routes: tuple[Route, ...]


class Entitlements:
    """Index of the customers and plans of one version; immutable."""

    __slots__ = ("_by_token", "_customers", "_plans", "name", "references")

    def __init__(self, name: VersionName, version: Version | None) -> None:
        self.name = name
        self._customers: dict[str, Customer] = {}
        self._plans: dict[str, PlanRoutes] = {}
        self._by_token: dict[bytes, Customer] = {}  # cache of valid tokens
        #: Pairs of service and resource that the routes refer to.
        self.references: frozenset[tuple[str, str]] = frozenset()
        if version is not None:
            self._index(version)

    def _index(self, version: Version) -> None:
        lists = version.lists
        self._customers = {entry.token_sha256: entry for entry in lists.customers}
        references = set()
        for plan in lists.plans:
            by_length = sorted(plan.routes, key=lambda r: len(r.prefix), reverse=True)
            self._plans[plan.plan] = PlanRoutes(plan, tuple(by_length))
            references |= {(route.service, route.resource) for route in plan.routes}
        self.references = frozenset(references)

    def find_customer(self, token: bytes) -> Customer | None:
        """Return the customer with a token."""
        customer = self._by_token.get(token)
        if customer is None:
            customer = self._customers.get(hashlib.sha256(token).hexdigest())
            if customer is not None:
                self._by_token[token] = customer
        return customer

    def find_plan(self, plan: str) -> PlanRoutes:
        """Return a plan and its routes."""
        return self._plans[plan]


#: Used by a node that has no version yet.
NO_ENTITLEMENTS = Entitlements(NO_VERSION, None)


def admit_call(
    entitlements: Entitlements, token: bytes, method: str, path: str
) -> Admitted | Refusal:
    """Decide whether the customer with a token may call a path."""
    if entitlements.name == NO_VERSION:
        return refuse_not_run(Reason.NO_VERSION)
    if not token:
        return refuse_not_run(Reason.NO_CREDENTIALS)
    customer = entitlements.find_customer(token)
    if customer is None:
        return refuse_not_run(Reason.UNKNOWN_CUSTOMER)
    plan_routes = entitlements.find_plan(customer.plan)
    for route in plan_routes.routes:
        if method in route.methods and _matches_prefix(route.prefix, path):
            return Admitted(
                customer.customer,
                customer.plan,
                plan_routes.plan.priority,
                route.service,
                route.resource,
            )
    return refuse_not_run(Reason.NOT_IN_PLAN)


def _matches_prefix(prefix: str, path: str) -> bool:
    if not path.startswith(prefix):
        return False
    if prefix.endswith("/") or len(path) == len(prefix):
        return True
    return path[len(prefix)] == "/"
