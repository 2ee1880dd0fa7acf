"""The choice of the next server of a call, without connections."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace

from monsoontray.decisions.answers import AnswerSizes
from monsoontray.decisions.outcomes import Ran, Reason, Refusal
from monsoontray.decisions.retries import AttemptHistory
from monsoontray.decisions.servers import Endpoint, LoadReport, LoadView, Location
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


def build_call(full_memory_s=0.0):
    forwarder = SimpleNamespace(
        now=0.0,
        loads=LoadView(),
        answer_sizes=AnswerSizes(),
        location=Location("node-0", "norte", "zone-a"),
        random=Random(1),
        limits=SimpleNamespace(full_memory_s=full_memory_s),
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


def test_call_of_an_overloaded_service_waits_instead_of_asking_far_servers_in_vain():
    """On corrib-loans a server refused three offers for each call that it ran."""
    call = build_call(full_memory_s=1.0)
    loads = call.forwarder.loads
    for server in FAR:
        loads.record_response(server, LoadReport(30, 9, 0.1), 0.0)
    for server in NEAR:
        loads.record_response(server, LoadReport(12, 9, 0.1), 0.0)
        call.attempts.record_failure(server, SLOTS_BUSY)
    target = choose_target(ROUTE, call)
    assert target.endpoint.server in NEAR
    assert target.may_wait
    loads.record_response("i-4", LoadReport(2, 9, 0.1), 0.5)
    call.forwarder.now = 0.5
    assert choose_target(ROUTE, call).endpoint.server == "i-4"


def test_far_server_that_was_full_is_asked_again_after_a_time():
    call = build_call(full_memory_s=1.0)
    for server in FAR:
        call.forwarder.loads.record_response(server, LoadReport(9, 9, 0.1), 0.0)
    for server in NEAR:
        call.attempts.record_failure(server, SLOTS_BUSY)
    assert choose_target(ROUTE, call).may_wait
    call.forwarder.now = 1.0
    target = choose_target(ROUTE, call)
    assert target.endpoint.server in FAR
    assert not target.may_wait
