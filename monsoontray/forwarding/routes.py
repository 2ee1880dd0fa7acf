"""Where a call goes next: through the fleet or to the local backend server."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch
from typing import TYPE_CHECKING, Any

from monsoontray.decisions.admission import Admitted
from monsoontray.decisions.guard import Granted, Queued
from monsoontray.decisions.outcomes import Reason, Refusal, refuse_unrun
from monsoontray.decisions.servers import Endpoint, choose_server
from monsoontray.forwarding.heads import encode_line
from monsoontray.settings.settings import Address, parse_address

if TYPE_CHECKING:
    from monsoontray.decisions.guard import GuardState
    from monsoontray.forwarding.call import Call

SERVER_HEADER = b"monsoontray-server"
CUSTOMER_HEADER = b"monsoontray-customer"
PRIORITY_HEADER = b"monsoontray-priority"


@dataclass(slots=True, frozen=True)
class EntryRoute:
    """Take an admitted call to any server of its service."""

    admitted: Admitted


@dataclass(slots=True, frozen=True)
class GuardRoute:
    """Take another node's call to the local backend server."""

    server: str
    customer: str
    priority: int


@dataclass(slots=True, frozen=True)
class Hop:
    """Describe the next stop of a call."""

    address: Address
    is_guard: bool
    lines: tuple[bytes, ...]


@singledispatch
def start_attempt(route: Any, call: Call) -> None:
    """Begin an attempt along a route."""
    raise TypeError(f"no such route: {route!r}")


@start_attempt.register(EntryRoute)
def _(route: EntryRoute, call: Call) -> None:
    forwarder = call.forwarder
    admitted = route.admitted
    endpoint = choose_server(
        forwarder.servers.find(admitted.service),
        admitted.resource,
        forwarder.place,
        call.tried,
        forwarder.loads,
        forwarder.now,
        forwarder.random,
    )
    if endpoint is None:
        call.refuse(refuse_unrun(call.last_reason))
        return
    call.server = endpoint.server
    forwarder.loads.begin(endpoint.server)
    if endpoint.node == forwarder.place.node:
        start_local(call, endpoint.server, admitted.customer, admitted.priority)
    else:
        call.send_to(_build_guard_hop(endpoint, admitted))


@start_attempt.register(GuardRoute)
def _(route: GuardRoute, call: Call) -> None:
    start_local(call, route.server, route.customer, route.priority)


def start_local(call: Call, server: str, customer: str, priority: int) -> None:
    """Ask for a slot of the local backend server."""
    guard = call.forwarder.guards.get(server)
    if guard is None:
        call.fail_attempt(Reason.NO_SERVER)
        return
    outcome = guard.request_slot(call, call.deadline, priority)
    follow_slot(outcome, call, guard)


@singledispatch
def follow_slot(outcome: Any, call: Call, guard: GuardState) -> None:
    """Act on the response to a request for a slot."""
    raise TypeError(f"no such outcome: {outcome!r}")


@follow_slot.register(Granted)
def _(outcome: Granted, call: Call, guard: GuardState) -> None:
    use_slot(call, guard)


@follow_slot.register(Queued)
def _(outcome: Queued, call: Call, guard: GuardState) -> None:
    """Wait; the guard grants the slot when one is released."""


@follow_slot.register(Refusal)
def _(outcome: Refusal, call: Call, guard: GuardState) -> None:
    call.fail_attempt(outcome.reason)


def use_slot(call: Call, guard: GuardState) -> None:
    """Send a call that holds a slot to the local backend server."""
    call.guard = guard
    address = call.forwarder.server_addresses.get(guard.record.server)
    if address is None:
        call.fail_attempt(Reason.SERVER_LEAVING)
        return
    customer = find_customer(call.route).encode("latin-1")
    lines = (encode_line(CUSTOMER_HEADER, customer),)
    call.send_to(Hop(address, False, lines))


@singledispatch
def find_max_attempts(route: Any, limit: int) -> int:
    """Return how many servers a call may be offered to along a route."""
    raise TypeError(f"no such route: {route!r}")


@find_max_attempts.register(EntryRoute)
def _(route: EntryRoute, limit: int) -> int:
    return limit


@find_max_attempts.register(GuardRoute)
def _(route: GuardRoute, limit: int) -> int:
    return 1


@singledispatch
def find_customer(route: Any) -> str:
    """Return the customer on whose behalf a call is made."""
    raise TypeError(f"no such route: {route!r}")


@find_customer.register(EntryRoute)
def _(route: EntryRoute) -> str:
    return route.admitted.customer


@find_customer.register(GuardRoute)
def _(route: GuardRoute) -> str:
    return route.customer


def _build_guard_hop(endpoint: Endpoint, admitted: Admitted) -> Hop:
    lines = (
        encode_line(SERVER_HEADER, endpoint.server.encode("latin-1")),
        encode_line(CUSTOMER_HEADER, admitted.customer.encode("latin-1")),
        encode_line(PRIORITY_HEADER, b"%d" % admitted.priority),
    )
    return Hop(parse_address(endpoint.guard_address), True, lines)
