"""The choice of the next server of a call, without connections."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace

from monsoontray.decisions.outcomes import Ran, Reason, Refusal
from monsoontray.decisions.retries import AttemptHistory
from monsoontray.decisions.servers import Endpoint, LoadView, Location
from monsoontray.forwarding.attempts import choose_target
from monsoontray.forwarding.heads import Framing
from monsoontray.forwarding.routes import EntryRoute

NEAR, FAR = ("i-0", "i-1"), ("i-2", "i-3", "i-4", "i-5")
ENDPOINTS = [
    Endpoint(server, "one", "v1", 9, f"n-{server}", "norte",
             "zone-a" if server in NEAR else "zone-b", "10.0.0.1:1", frozenset())
    for server in (*NEAR, *FAR)
]  # fmt: skip
ROUTE = EntryRoute("one", "", "", "read", 1, True, 2, 9.0)
SLOTS_BUSY = Refusal(Reason.SLOTS_BUSY, Ran.NOT_RUN)


def build_call():
    forwarder = SimpleNamespace(
        now=0.0,
        loads=LoadView(),
        location=Location("node-0", "norte", "zone-a"),
        random=Random(1),
        find_candidates=lambda service, route, is_retry: ENDPOINTS,
    )
    head = SimpleNamespace(framing=Framing.EMPTY, length=0)
    return SimpleNamespace(
        forwarder=forwarder, attempts=AttemptHistory(), server="", head=head
    )


def test_call_in_a_zone_that_is_cut_off_waits_at_a_busy_server():
    """Such calls were refused after offers to unreachable servers.

    On thespis-mesh trouble-1, during the cut of a zone, servers of the zone had
    empty queues meanwhile.
    """
    call = build_call()
    for server in FAR:
        call.forwarder.loads.mark_unreachable(server)
    for _ in NEAR:
        target = choose_target(ROUTE, call)
        assert target.endpoint.server in NEAR
        assert not target.may_wait
        call.attempts.record_failure(target.endpoint.server, SLOTS_BUSY)
    target = choose_target(ROUTE, call)
    assert target.endpoint.server in NEAR
    assert target.may_wait


def test_call_is_offered_to_far_servers_while_the_near_ones_are_busy():
    call = build_call()
    for server in NEAR:
        call.attempts.record_failure(server, SLOTS_BUSY)
    target = choose_target(ROUTE, call)
    assert target.endpoint.server in FAR
    assert not target.may_wait


def test_unreachable_servers_are_tried_if_there_are_no_others():
    call = build_call()
    for endpoint in ENDPOINTS:
        call.forwarder.loads.mark_unreachable(endpoint.server)
    assert choose_target(ROUTE, call) is not None
