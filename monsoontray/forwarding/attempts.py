"""Start an attempt of a call: choose a server, or request a slot of a local one."""

from __future__ import annotations

import math
from functools import singledispatch
from typing import TYPE_CHECKING, Any

from msgspec import Struct

from monsoontray.decisions.guard import Granted, Queued
from monsoontray.decisions.offering import find_wasted_offers
from monsoontray.decisions.outcomes import Ran, Reason, Refusal, refuse_not_run
from monsoontray.decisions.retries import compute_unready_retry
from monsoontray.decisions.servers import (
    UNKNOWN_BODY_BYTES,
    Endpoint,
    choose_server,
)
from monsoontray.decisions.waiting import SlotRequest
from monsoontray.forwarding.heads import Framing, RequestHead, encode_header
from monsoontray.forwarding.routes import (
    CUSTOMER_HEADER,
    IDEMPOTENT_HEADER,
    NO_WAIT_HEADER,
    OBJECTIVE_HEADER,
    PRIORITY_HEADER,
    ROUTE_HEADER,
    SERVER_HEADER,
    EntryRoute,
    GuardRoute,
    Hop,
)
from monsoontray.settings.settings import parse_address

if TYPE_CHECKING:
    from collections.abc import Collection

    from monsoontray.decisions.guard import GuardState
    from monsoontray.forwarding.call import Call


@singledispatch
def start_attempt(route: Any, call: Call) -> None:
    """Start an attempt of a call along its route."""
    raise TypeError(f"unsupported route: {route!r}")


@start_attempt.register(EntryRoute)
def _(route: EntryRoute, call: Call) -> None:
    target = choose_target(route, call)
    if target is None:
        retry_s = compute_unready_retry(call.forwarder.random)
        no_server = Refusal(Reason.NO_SERVER, Ran.NOT_RUN, retry_s)
        call.refuse(call.attempts.last_refusal or no_server)
    else:
        start_attempt_at(target, route, call)


@start_attempt.register(GuardRoute)
def _(route: GuardRoute, call: Call) -> None:
    request_local_slot(call, route.server, route.may_wait)


class Target(Struct, frozen=True):
    """Server chosen for an attempt, and whether the call may wait there."""

    endpoint: Endpoint
    may_wait: bool  # if no slot is free, the guard may queue the call


def choose_target(route: EntryRoute, call: Call) -> Target | None:
    """Return the server for the next attempt of a call, if one is left.

    Loads change faster than nodes learn of them. The first attempts therefore only
    request a free slot. After these, the call may wait at the server that is expected
    to respond first.
    """
    attempts = call.attempts
    tried = [*attempts.tried, call.server] if call.server else attempts.tried
    candidates = call.forwarder.find_candidates(route.service, route.name, bool(tried))
    forwarder = call.forwarder
    wasted = find_wasted_offers(
        candidates,
        forwarder.location,
        forwarder.loads,
        forwarder.now,
        forwarder.limits.full_memory_s,
    )
    if attempts.is_no_wait():
        excluded = {*tried, *attempts.busy}
        endpoint = _choose(candidates, excluded | wasted, route, call)
        if endpoint is not None and not _should_wait_instead(endpoint, call):
            untried_servers = {each.server for each in candidates} - excluded
            # If no other server can be asked, the call may wait at this one.
            return Target(
                endpoint, may_wait=len(untried_servers) + len(attempts.busy) == 1
            )
    endpoint = _choose(candidates, wasted.union(tried), route, call)
    if endpoint is None and wasted:
        endpoint = _choose(candidates, tried, route, call)
    return None if endpoint is None else Target(endpoint, may_wait=True)


def _should_wait_instead(endpoint: Endpoint, call: Call) -> bool:
    """Return whether the call should wait at a busy server rather than try this one.

    If all other servers are unreachable or full, as in a zone that is cut off, the
    call would otherwise use up its offers there and be refused.
    """
    forwarder = call.forwarder
    is_avoided = forwarder.loads.is_avoided(endpoint.server, forwarder.now)
    return is_avoided and bool(call.attempts.busy)


def _choose(
    candidates: list[Endpoint], excluded: Collection[str], route: EntryRoute, call: Call
) -> Endpoint | None:
    forwarder = call.forwarder
    attempts = call.attempts
    return choose_server(
        candidates,
        route.resource,
        forwarder.location,
        excluded,
        forwarder.loads,
        forwarder.now,
        forwarder.random,
        forwarder.answer_sizes.add_to(_estimate_body_bytes(call.head), route.name),
        may_explore=route.idempotent and not attempts.tried and not attempts.busy,
        route=route.name,
    )


def start_attempt_at(target: Target, route: EntryRoute, call: Call) -> None:
    """Start an attempt of a call at a server."""
    forwarder = call.forwarder
    endpoint = target.endpoint
    typical = forwarder.loads.compute_typical_times((endpoint,), route.name)
    call.start_attempt_timer(
        forwarder.loads.estimate_time(endpoint, forwarder.now, route.name, typical)
    )
    call.server = endpoint.server
    forwarder.loads.begin_call(endpoint.server)
    if endpoint.node == forwarder.location.node:
        request_local_slot(call, endpoint.server, target.may_wait)
    else:
        call.send_to(_build_guard_hop(target, route, call.now))


def request_local_slot(call: Call, server: str, may_wait: bool) -> None:
    """Request a slot of a local backend server."""
    guard = call.forwarder.guards.find(server)
    if guard is None:
        call.fail_attempt(refuse_not_run(Reason.NO_SERVER))
        return
    if not call.forwarder.containment.may_request_slot(call, server, may_wait):
        return
    route = call.route
    request = SlotRequest(
        route.deadline,
        route.priority,
        route.objective,
        route.name,
        may_wait,
        route.idempotent,
        call.forwarder.guards.is_nested(guard, call),
        route.customer,
    )
    outcome = guard.request_slot(call, request, call.now)
    handle_slot_outcome(outcome, call, guard)


@singledispatch
def handle_slot_outcome(outcome: Any, call: Call, guard: GuardState) -> None:
    """Handle the outcome of a slot request."""
    raise TypeError(f"unsupported outcome: {outcome!r}")


@handle_slot_outcome.register(Granted)
def _(outcome: Granted, call: Call, guard: GuardState) -> None:
    send_to_local_server(call, guard)


@handle_slot_outcome.register(Queued)
def _(outcome: Queued, call: Call, guard: GuardState) -> None:
    call.forwarder.guards.schedule_recheck(guard)


@handle_slot_outcome.register(Refusal)
def _(outcome: Refusal, call: Call, guard: GuardState) -> None:
    call.fail_attempt(outcome)


def send_to_local_server(call: Call, guard: GuardState) -> None:
    """Send a call that was granted a slot to the local backend server."""
    call.hold_slot(guard)
    forwarder = call.forwarder
    server = guard.record.server
    address = forwarder.guards.find_address(server)
    if address is None:
        call.fail_attempt(refuse_not_run(Reason.SERVER_LEAVING))
        return
    expected = forwarder.http_profile.expected_server
    if expected:
        line = encode_header(expected, server.encode("latin-1"))
    else:
        line = encode_header(CUSTOMER_HEADER, call.route.customer.encode("latin-1"))
    call.send_to(Hop(address, False, (line,)))


def _estimate_body_bytes(head: RequestHead) -> int:
    return UNKNOWN_BODY_BYTES if head.framing is Framing.CHUNKED else head.length


def _build_guard_hop(target: Target, route: EntryRoute, now: float) -> Hop:
    endpoint = target.endpoint
    lines = [
        encode_header(SERVER_HEADER, endpoint.server.encode("latin-1")),
        encode_header(CUSTOMER_HEADER, route.customer.encode("latin-1")),
        encode_header(PRIORITY_HEADER, b"%d" % route.priority),
    ]
    if route.name:
        lines.append(encode_header(ROUTE_HEADER, route.name.encode()))
    if route.objective < math.inf:
        remaining_ms = max(0, int((route.objective - now) * 1000))
        lines.append(encode_header(OBJECTIVE_HEADER, b"%d" % remaining_ms))
    if route.idempotent:
        lines.append(encode_header(IDEMPOTENT_HEADER, b"1"))
    if not target.may_wait:
        lines.append(encode_header(NO_WAIT_HEADER, b"1"))
    return Hop(parse_address(endpoint.guard_address), True, tuple(lines))
