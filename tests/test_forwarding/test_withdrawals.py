"""Calls that are taken back from guards, which say whether a server got them."""

from __future__ import annotations

import socket

import pytest

from monsoontray.decisions.outcomes import Ran, Reason, refuse_not_run
from monsoontray.forwarding.call import Call
from monsoontray.forwarding.caller import CallerConnection
from monsoontray.forwarding.heads import Framing, RequestHead, ResponseHead
from monsoontray.forwarding.refusals import (
    CALL_ID_HEADER,
    RAN_HEADER,
    REFUSAL_HEADER,
)
from monsoontray.forwarding.routes import GuardRoute
from monsoontray.forwarding.sides import GuardSide, MeshEntrySide
from monsoontray.forwarding.withdrawals import WITHDRAWAL_LIMIT_S
from monsoontray.kernel.sockets import READABLE
from monsoontray.platform.headers import PLATFORM_PROFILE
from tests.test_forwarding.test_call_model import DEADLINE, Simulation
from tests.test_forwarding.test_caller import FakeForwarder


class Passed(Simulation):
    """An idempotent call that was passed on to the guard of another node."""

    def __init__(self):
        super().__init__(3, idempotent=True)
        while self.call.request.upstream is None:
            self.call.fail_attempt(self.call.build_refusal(Reason.UNREACHABLE))
        self.first = self.call.request.upstream
        if not self.first.connected:
            self.connect(self.first)

    def pass_time(self, until):
        self.now = until
        self.timers.run_due(until)


def say(upstream, ran, call_id=b"id"):
    node_headers = {
        REFUSAL_HEADER: Reason.WITHDRAWN.value.encode(),
        RAN_HEADER: ran.value.encode(),
        CALL_ID_HEADER: call_id,
    }
    head = ResponseHead(503, [], node_headers, Framing.LENGTH, 0, False)
    upstream.withdrawal.receive([head])


@pytest.fixture
def passed():
    simulation = Passed()
    simulation.call.stop_attempt_timer()  # no other server takes the call over
    return simulation


def test_deadline_waits_for_the_word_of_the_guard(passed):
    passed.pass_time(DEADLINE)
    assert passed.caller_outcomes == []
    say(passed.first, Ran.NOT_RUN)
    assert passed.caller_outcomes == [503, "refused"]
    assert passed.timers.find_next_deadline() is None


def test_call_that_a_server_got_is_not_said_to_be_unrun(passed):
    passed.pass_time(DEADLINE)
    say(passed.first, Ran.UNKNOWN)
    assert passed.caller_outcomes == [504, "refused"]


def test_silent_guard_is_waited_for_a_moment_only(passed):
    passed.pass_time(DEADLINE)
    passed.pass_time(DEADLINE + WITHDRAWAL_LIMIT_S)
    assert passed.caller_outcomes == [504, "refused"]


def test_word_about_another_call_proves_nothing(passed):
    passed.pass_time(DEADLINE)
    say(passed.first, Ran.NOT_RUN, b"earlier")
    assert passed.caller_outcomes == []
    passed.pass_time(DEADLINE + WITHDRAWAL_LIMIT_S)
    assert passed.caller_outcomes == [504, "refused"]


def test_caller_that_leaves_meanwhile_ends_the_wait(passed):
    passed.pass_time(DEADLINE)
    passed.call.cancel()
    assert passed.first.withdrawal is None
    assert passed.timers.find_next_deadline() is None
    assert passed.end_count == 1


def test_replaced_attempt_is_settled_while_the_next_one_runs(passed):
    passed.call.start_attempt_timer(0.01)
    passed.call.request.upstream.connected = True
    passed.pass_time(0.2)
    assert len(passed.upstreams) == 2
    say(passed.first, Ran.NOT_RUN)
    assert passed.call.attempts.ran is Ran.NOT_RUN
    assert passed.caller_outcomes == []


def test_attempt_that_was_refused_does_not_count_at_the_deadline(passed):
    passed.call.end_attempt(refuse_not_run(Reason.NO_SLOT))
    passed.call.request.upstream = None
    passed.pass_time(DEADLINE)
    assert passed.caller_outcomes == [503, "refused"]


class Listening(FakeForwarder):
    """Forwarder whose calls wait for a slot of the local server."""

    def __init__(self):
        simulation = Simulation(1, idempotent=True, at_guard=True)
        self.__dict__.update(simulation.__dict__)
        super().__init__()
        self.simulation = simulation

    def start_call(self, caller, transaction, head):
        self.simulation.guard.in_use = self.simulation.guard.get_capacity()
        route = GuardRoute("i-0", "", 1, True, DEADLINE, "route")
        head = RequestHead(
            "GET", b"/1", [], {}, "h", b"", Framing.EMPTY, 0, True, False
        )
        transaction.call = Call(self.simulation, transaction, head, route, "id")
        transaction.call.start()
        self.transactions.append(transaction)


def end_half(side, may_run):
    """Return what a node sends to a caller that ends its half of the connection."""
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    forwarder = Listening()
    caller = CallerConnection(ours, forwarder, side)
    theirs.sendall(b"GET /1 HTTP/1.1\r\nHost: shop\r\n\r\n")
    caller.handle_events(READABLE)
    forwarder.transactions[0].call.request.may_run = may_run
    theirs.shutdown(socket.SHUT_WR)
    caller.handle_events(READABLE)
    for connection in forwarder.dirty_connections:
        connection.flush()
    caller.handle_events(READABLE)
    assert caller.closed
    assert not forwarder.simulation.guard.waiting
    with theirs:
        return theirs.recv(4_096)


@pytest.mark.parametrize(("may_run", "ran"), [(False, b"not-run"), (True, b"unknown")])
def test_guard_says_whether_the_call_that_is_taken_back_has_run(may_run, ran):
    answer = end_half(GuardSide(PLATFORM_PROFILE), may_run)
    assert b"monsoontray-ran: %b\r\n" % ran in answer
    assert b"monsoontray-call-id: id\r\n" in answer


def test_client_that_ends_its_half_gets_nothing():
    assert end_half(MeshEntrySide(PLATFORM_PROFILE, "one"), False) == b""
