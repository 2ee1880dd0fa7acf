"""Sides of a node on which calls arrive, and how each side routes its calls."""

from __future__ import annotations

import math
from functools import singledispatch
from typing import TYPE_CHECKING, Any, Protocol

from msgspec import Struct

from monsoontray.decisions.admission import admit_call
from monsoontray.decisions.keys import UNIDENTIFIED, Identified, identify_customer
from monsoontray.decisions.outcomes import Ran, Reason, Refusal, refuse_not_run
from monsoontray.decisions.paths import normalize_target
from monsoontray.decisions.retries import (
    compute_unready_retry,
    is_idempotent_method,
)
from monsoontray.decoding.documents import decode_digits
from monsoontray.decoding.values import MAX_INT64
from monsoontray.forwarding.framing import HeadLimits
from monsoontray.forwarding.heads import (
    AUTHORIZATION,
    NO_EXTRA_HEADERS,
    ExtraHeaders,
    RequestHead,
    encode_header,
    take_values,
)
from monsoontray.forwarding.http_profile import OWN_PROFILE, HttpProfile
from monsoontray.forwarding.routes import (
    CUSTOMER_HEADER,
    IDEMPOTENT_HEADER,
    LOWEST_PRIORITY,
    NO_WAIT_HEADER,
    OBJECTIVE_HEADER,
    PRIORITY_HEADER,
    ROUTE_HEADER,
    SERVER_HEADER,
    TIMEOUT_HEADER,
    EntryRoute,
    GuardRoute,
)

if TYPE_CHECKING:
    from collections.abc import Container
    from random import Random

    from monsoontray.decisions.admission import Entitlements
    from monsoontray.decisions.ages import CallerAges
    from monsoontray.decisions.freshness import Freshness
    from monsoontray.decisions.routing import RouteTable
    from monsoontray.forwarding.limits import Limits
    from monsoontray.kernel.clock import Clock
    from monsoontray.routing.model import HostRoute

MAX_TIMEOUT_MS = 3_600_000
MIN_LINE_BYTES = 4  # of a header line with a name of one byte
#: Headers that a node adds to a request that it sends to another one.
NODE_HEADER_COUNT, NODE_HEADER_BYTES = 32, 4_096
MAX_PRIORITY = 1_000_000
_BEARER = b"Bearer "


class RoutingContext(Protocol):
    """What decides the route of a call, as the forwarding task knows it."""

    now: float
    random: Random
    limits: Limits
    entitlements: Entitlements
    route_table: RouteTable | None
    freshness: Freshness
    clock: Clock
    ages: CallerAges

    @property
    def guards(self) -> Container[str]:
        """Return the names of the local servers."""


class PlanEntrySide(Struct, frozen=True):
    """Side for calls of partner routers, admitted by customers' plans."""

    extra_headers: ExtraHeaders = NO_EXTRA_HEADERS


class MeshEntrySide(Struct, frozen=True):
    """Side for calls from this VM, routed by host and path."""

    http_profile: HttpProfile
    service: str  # the service on this VM

    @property
    def extra_headers(self) -> ExtraHeaders:
        """Return the headers that this side acts on."""
        return self.http_profile.get_entry_headers()


class GuardSide(Struct, frozen=True):
    """Side for calls that other nodes send to local servers."""

    http_profile: HttpProfile = OWN_PROFILE

    @property
    def extra_headers(self) -> ExtraHeaders:
        """Return the headers that this side acts on."""
        return self.http_profile.get_guard_headers()


@singledispatch
def find_route(
    side: Any, head: RequestHead, context: RoutingContext
) -> EntryRoute | GuardRoute | Refusal:
    """Return the route of a call that arrived on a side, or a refusal."""
    raise TypeError(f"unsupported side: {side!r}")


@find_route.register(PlanEntrySide)
def _(
    side: PlanEntrySide, head: RequestHead, context: RoutingContext
) -> EntryRoute | GuardRoute | Refusal:
    path = normalize_target(head.target)
    if path is None:
        return refuse_not_run(Reason.BAD_REQUEST)
    token = _read_token(head)
    admitted = admit_call(context.entitlements, token, head.method, path)
    if isinstance(admitted, Refusal):
        return admitted
    timeout_s = _read_timeout(head, TIMEOUT_HEADER, context.limits.call_timeout_s)
    return EntryRoute(
        service=admitted.service,
        resource=admitted.resource,
        customer=admitted.customer,
        name=admitted.plan,
        priority=admitted.priority,
        idempotent=is_idempotent_method(head.method),
        max_attempts=context.limits.max_attempts,
        deadline=context.now + timeout_s,
    )


@find_route.register(MeshEntrySide)
def _(
    side: MeshEntrySide, head: RequestHead, context: RoutingContext
) -> EntryRoute | GuardRoute | Refusal:
    table = context.route_table
    if table is None:
        retry_s = compute_unready_retry(context.random)
        return Refusal(Reason.NO_VERSION, Ran.NOT_RUN, retry_s)
    if head.length > table.routes.limits.body_bytes:
        return refuse_not_run(Reason.BODY_TOO_LARGE)
    route = table.find_route(head.host, head.target.decode("latin-1"))
    if route is None:
        return refuse_not_run(Reason.NO_ROUTE)
    identified = _identify(side, head, route, table, context)
    if isinstance(identified, Refusal):
        return identified
    customer = identified.customer
    http_profile = side.http_profile
    timeout_s = _read_timeout(head, http_profile.timeout_ms, route.timeout_s)
    given_s = _read_timeout(head, http_profile.timeout_ms, math.inf)
    age_s = context.ages.estimate_age(route.name, given_s) if given_s < math.inf else 0
    # The parser removed this header from the request, because a caller could set a
    # wrong service. The node adds the service that it knows.
    caller = encode_header(http_profile.caller_service, side.service.encode("latin-1"))
    head.lines.append(caller)
    return EntryRoute(
        service=table.choose_service(route),
        resource="",
        customer=customer.name,
        name=route.name,
        priority=route.priority if customer.priority is None else customer.priority,
        idempotent=route.idempotent,
        max_attempts=route.max_attempts,
        deadline=context.now + min(timeout_s, route.timeout_s),
        objective=context.now + route.objective_s - age_s,
        max_body_bytes=table.routes.limits.body_bytes,
        key_digest=identified.key_digest,
    )


def _identify(
    side: MeshEntrySide,
    head: RequestHead,
    route: HostRoute,
    table: RouteTable,
    context: RoutingContext,
) -> Identified | Refusal:
    """Return the customer of a request, and let the request name it.

    What the caller sent for the key and the customer is removed.
    """
    if table.keys is None:
        return UNIDENTIFIED
    customer_header = side.http_profile.customer
    credentials = take_values(head, AUTHORIZATION)
    take_values(head, customer_header)
    # The process may have been frozen since the event began. Only what was received
    # before the clock is read was certainly sent before that moment.
    is_fresh = context.freshness.is_fresh(context.clock.now())
    identified = identify_customer(table.keys, credentials, is_fresh, context.random)
    if isinstance(identified, Refusal):
        return UNIDENTIFIED if route.public else identified
    name = identified.customer.name.encode("latin-1")
    head.lines.append(encode_header(customer_header, name))
    return identified


@find_route.register(GuardSide)
def _(
    side: GuardSide, head: RequestHead, context: RoutingContext
) -> EntryRoute | GuardRoute | Refusal:
    server = head.node_headers.get(SERVER_HEADER, b"").decode("latin-1")
    if server not in context.guards:
        return refuse_not_run(Reason.NO_SERVER)
    customer = head.node_headers.get(CUSTOMER_HEADER, b"").decode("latin-1")
    given = head.node_headers.get(PRIORITY_HEADER, b"")
    priority = decode_digits(given, MAX_PRIORITY)
    if priority is None:
        priority = LOWEST_PRIORITY
    timeout_s = _read_timeout(head, TIMEOUT_HEADER, context.limits.call_timeout_s)
    idempotent = head.node_headers.get(IDEMPOTENT_HEADER) == b"1"
    name = head.node_headers.get(ROUTE_HEADER, b"").decode(errors="replace")
    return GuardRoute(
        server,
        customer,
        priority,
        idempotent,
        context.now + timeout_s,
        name,
        context.now + _read_timeout(head, OBJECTIVE_HEADER, math.inf),
        may_wait=head.node_headers.get(NO_WAIT_HEADER) != b"1",
    )


@singledispatch
def find_head_limits(side: Any, limits: HeadLimits) -> HeadLimits:
    """Return the limits of the heads that arrive on a side."""
    return limits


@find_head_limits.register(GuardSide)
def _(side: GuardSide, limits: HeadLimits) -> HeadLimits:
    # Another node writes a space behind each colon and adds headers of its own.
    return HeadLimits(
        limits.header_count + NODE_HEADER_COUNT,
        limits.head_bytes + limits.head_bytes // MIN_LINE_BYTES + NODE_HEADER_BYTES,
    )


@singledispatch
def find_caller(side: Any, head: RequestHead, route: EntryRoute | GuardRoute) -> bytes:
    """Return who made a call: the customer or the service that it came from."""
    return route.customer.encode()


@find_caller.register(MeshEntrySide)
def _(side: MeshEntrySide, head: RequestHead, route: EntryRoute | GuardRoute) -> bytes:
    return side.service.encode()


@find_caller.register(GuardSide)
def _(side: GuardSide, head: RequestHead, route: EntryRoute | GuardRoute) -> bytes:
    service = head.node_headers.get(side.http_profile.caller_service)
    return route.customer.encode() if service is None else service


@singledispatch
def answers_withdrawals(side: Any) -> bool:
    """Return whether a caller that ends its half of the connection reads on."""
    return False


@answers_withdrawals.register(GuardSide)
def _(side: GuardSide) -> bool:
    return True


def _read_token(head: RequestHead) -> bytes:
    credentials = head.authorization
    if not credentials.startswith(_BEARER):
        return b""
    return credentials[len(_BEARER) :]


def _read_timeout(head: RequestHead, name: bytes, default_s: float) -> float:
    """Return the value in seconds of a header in milliseconds, or the default."""
    given = decode_digits(head.node_headers.get(name, b""), MAX_INT64)
    return default_s if given is None else min(given, MAX_TIMEOUT_MS) / 1000
