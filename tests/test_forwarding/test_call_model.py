"""Test calls by simulations of random events, with invariants checked at each step.

The caller, the guards and the servers are fakes. Whether one of them may have run the
request is derived from the bytes that it received, not from the state of the call.
"""

from __future__ import annotations

from collections import Counter
from random import Random
from types import SimpleNamespace

import pytest

from monsoontray.decisions.answers import AnswerSizes
from monsoontray.decisions.bounds import FleetBounds
from monsoontray.decisions.budget import RetryBudgets
from monsoontray.decisions.guard import GuardState
from monsoontray.decisions.outcomes import (
    Ran,
    Reason,
    Refusal,
    refuse_not_run,
    refuse_unknown,
)
from monsoontray.decisions.retries import AttemptHistory, Retry
from monsoontray.decisions.servers import (
    Endpoint,
    LoadView,
    Location,
    ServerRecord,
    ServerState,
)
from monsoontray.decisions.timeouts import ResponseTimes
from monsoontray.forwarding import call as call_module
from monsoontray.forwarding import receiving, refusals
from monsoontray.forwarding.attempts import send_to_local_server
from monsoontray.forwarding.call import Call
from monsoontray.forwarding.containment import RequestContainment
from monsoontray.forwarding.heads import Framing, RequestHead, ResponseHead
from monsoontray.forwarding.receiving import (
    handle_response_body,
    handle_response_end,
    handle_response_head,
)
from monsoontray.forwarding.refusals import (
    CALL_ID_HEADER,
    RAN_HEADER,
    REFUSAL_HEADER,
    decode_refusal,
)
from monsoontray.forwarding.replay import ReplayBuffer
from monsoontray.forwarding.responses import classify_response
from monsoontray.forwarding.routes import EntryRoute, GuardRoute
from monsoontray.forwarding.sending import RequestSender
from monsoontray.forwarding.sides import GuardSide, MeshEntrySide
from monsoontray.forwarding.usage import UsageRecorder
from monsoontray.kernel.timers import Timers
from monsoontray.platform.headers import PLATFORM_PROFILE

SIMULATIONS = 1_500
STEPS_PER_SIMULATION = 40
LOCATION = Location("node-0", "norte", "zone-a")
LOCAL = ServerRecord("i-0", "one", "v1", (), 1, 130, ServerState.SERVING)
ENDPOINTS = [
    Endpoint(f"i-{i}", "one", "v1", 2, f"node-{i}", "norte", "zone-a",
             f"10.0.0.{i}:1", frozenset())
    for i in range(4)
]  # fmt: skip
DEADLINE = 1.0
NOT_RUN_STATUSES = (408, 421, 429, 503)


class FakeUpstream:
    """Fake connection to a guard or a server, which records what it received."""

    def __init__(self, forwarder, address, connected):
        self.forwarder = forwarder
        self.address = address
        self.connected = connected
        self.call = None
        self.unsent_bytes = 0
        self.received = b""
        self.sent_continue = False  # asked for the body
        self.reported_not_run = False  # responded that the request did not run
        self.withdrawal = None
        self.reported_rejected = False  # the server rejected it: counts as an attempt
        self.responded = False

    def begin_call(self, call, method):
        self.call = call

    def write(self, data):
        assert self.forwarder.now < DEADLINE, "bytes were sent after the deadline"
        self.received += data

    @property
    def awaits_head(self):
        return self.connected and not self.responded

    def withdraw(self, withdrawal):
        self.call = None
        self.withdrawal = withdrawal

    def close(self):
        self.call = None
        self.withdrawal = None

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def split_request(self):
        head, separator, body = self.received.partition(b"\r\n\r\n")
        return (head, body) if separator else (b"", b"")

    def expects_continue(self):
        return b"expect: 100-continue" in self.split_request()[0]

    def may_run(self):
        """Return whether the request may run here, now or later."""
        head, body = self.split_request()
        if not head or self.reported_not_run:
            return False
        return self.sent_continue or bool(body) or not self.expects_continue()


class Simulation:
    """One call, with fakes of the forwarding task and of the caller's transaction."""

    def __init__(self, seed, idempotent, at_guard=False):
        self.random = Random(seed)
        self.now = 0.0
        self.timers = Timers()
        self.location = LOCATION
        self.http_profile = PLATFORM_PROFILE
        self.limits = SimpleNamespace(
            replay_buffer_bytes=1 << 20, stream_buffer_bytes=1 << 20, full_memory_s=0.0
        )
        self.loads = LoadView()
        self.budgets = RetryBudgets(FleetBounds(0.2, 10.0, 1000.0))
        self.response_times = ResponseTimes()
        self.answer_sizes = AnswerSizes()
        self.reachability = SimpleNamespace(
            probe=lambda server, address: None,
            mark_unreachable=lambda server, address: self.loads.mark_unreachable(
                server
            ),
        )
        self.stopping = False
        self.upstreams = []
        self.end_count = 0
        self.caller_outcomes = []
        self.guard = GuardState(LOCAL, 4)
        self.guards = self
        self.pool = self
        self.side = (
            GuardSide(PLATFORM_PROFILE)
            if at_guard
            else MeshEntrySide(PLATFORM_PROFILE, "one")
        )
        self.containment = RequestContainment(self)
        self.usage = UsageRecorder(self, 0.0)
        self.report = SimpleNamespace(
            record_refused_call=lambda *a: None, record_retry=lambda *a: None,
            record_cut_response=lambda *a: None, record_cancelled_call=lambda *a: None,
            record_response=lambda *a: None, record_withdrawal=lambda *a: None,
        )  # fmt: skip
        self.usage = SimpleNamespace(
            count=lambda call: None, take_back=lambda call: None
        )
        self.sent_body = b""
        self.unsent_parts = [b"a" * 10, b"b" * 20, b"c" * 5]
        self.length = sum(map(len, self.unsent_parts))
        if idempotent:
            self.unsent_parts, self.length = [], 0
        #: The caller is another node, which sends only the head at first.
        self.at_guard = at_guard
        self.caller_may_send = not at_guard
        if at_guard:
            self.route = GuardRoute(LOCAL.server, "", 1, idempotent, DEADLINE, "route")
        else:
            self.route = EntryRoute("one", "", "", "route", 1, idempotent, 2, DEADLINE)
        framing = Framing.LENGTH if self.length else Framing.EMPTY
        head = RequestHead("POST", b"/x", [], {}, "h", b"", framing, self.length,
                           True, at_guard)  # fmt: skip
        self.call = Call(self, self, head, self.route, "id")
        self.call.start()
        if not self.length:
            self.call.request.send_end()

    # Methods of the forwarding task, its guards and its connection pool.
    def find_candidates(self, service, route, is_retry):
        return ENDPOINTS

    def remove_call(self, call):
        self.end_count += 1

    def acquire(self, address):
        if self.random.random() < 0.05:
            raise OSError("no route")
        upstream = FakeUpstream(self, address, self.random.random() < 0.5)
        self.upstreams.append(upstream)
        return upstream

    def find(self, server):
        return self.guard if server == LOCAL.server else None

    def find_address(self, server):
        return ("127.0.0.1", 9)

    def preconnect(self, address, on_connected):
        pass

    def handle_connection_failure(self, guard, reason):
        pass

    def record_call(self, guard, route, seconds, failed):
        pass

    record_unfinished = schedule_recheck = lambda self, *args: None

    def is_nested(self, guard, call):
        return False

    def record_sent(self, call):
        if call.guard is not None:
            call.guard.record_sent(call, self.now)

    def release_slot(self, guard, call):
        guard.record_unsent(call)
        waiting = guard.release_slot(self.now)
        if waiting is not None:
            send_to_local_server(waiting, guard)

    def remove_waiting(self, call):
        self.guard.remove_waiting(call)

    # Methods of the caller's transaction.
    def begin_response(self, head, lines):
        self.caller_outcomes.append(head.status)

    def write_response_body(self, part):
        pass

    def end_response(self):
        self.caller_outcomes.append("end")

    def refuse(self, refusal, call):
        side = MeshEntrySide(PLATFORM_PROFILE, "one")
        response = refusals.encode_refusal(side, refusal, "id", False)
        self.caller_outcomes.append(int(response[9:12]))
        self.caller_outcomes.append("refused")

    def cut(self):
        self.caller_outcomes.append("cut")

    def count_unsent_bytes(self):
        return 0

    def send_continue(self):
        self.caller_may_send = True

    pause_reading = resume_reading = lambda self: None

    # Random events.
    def step(self):
        self.now += self.random.choice((0.0, 0.001, 0.02, 0.15))
        # After a pause, the events that arrived meanwhile precede the timers.
        if self.random.random() < 0.02:
            self.now += 2 * DEADLINE
        else:
            self.timers.run_due(self.now)
        if self.end_count:
            return
        upstream = self.call.request.upstream
        may_send = self.unsent_parts and self.caller_may_send
        actions = [self.send_body] if may_send else []
        if upstream is None:
            actions.append(self.grant_slot)
        elif not upstream.connected:
            actions += [self.connect, self.fail_connection]
        else:
            actions += [
                self.fail_connection,
                self.refuse_at_guard,
                self.repeat_refusal,
            ]
            if upstream.may_run() or not upstream.expects_continue():
                actions += [
                    self.respond,
                    self.respond,
                    self.respond_with_error,
                    self.reject,
                ]
            elif not upstream.sent_continue:
                actions += [self.send_continue_response, self.send_continue_response]
        withdrawn = [each for each in self.upstreams if each.withdrawal is not None]
        if withdrawn and self.random.random() < 0.5:
            self.answer_withdrawal(self.random.choice(withdrawn))
            return
        if self.call.pending_refusal is not None:
            actions = [lambda upstream: None]
        if self.random.random() < 0.02:
            actions = [self.disconnect_caller]
        self.random.choice(actions)(upstream)

    def send_body(self, upstream):
        part = self.unsent_parts.pop(0)
        self.sent_body += part
        self.call.request.send_body(part)
        if not self.unsent_parts and not self.end_count:
            self.call.request.send_end()

    def grant_slot(self, upstream):
        waiting = self.guard.grant_waiting(self.now)
        if waiting is not None:
            send_to_local_server(waiting, self.guard)

    def connect(self, upstream):
        upstream.connected = True
        self.call.request.on_connected()

    def fail_connection(self, upstream):
        reason = Reason.CONNECTION_LOST if upstream.connected else Reason.UNREACHABLE
        upstream.call = None
        self.call.on_upstream_lost(reason)

    def send_continue_response(self, upstream):
        upstream.sent_continue = True
        self.call.request.handle_continue()

    def refuse_at_guard(self, upstream):
        if not self.call.request.hop.is_guard or not upstream.split_request()[0]:
            return
        ran = Ran.UNKNOWN if upstream.may_run() and self.random.random() < 0.5 else None
        ran = ran or self.random.choice((Ran.NOT_RUN, Ran.REJECTED))
        upstream.reported_not_run = ran is not Ran.UNKNOWN
        upstream.reported_rejected = ran is Ran.REJECTED
        node_headers = {
            REFUSAL_HEADER: Reason.NO_SLOT.value.encode(),
            RAN_HEADER: ran.value.encode(),
            CALL_ID_HEADER: b"id",
        }
        if handle_response_head(
            self.call, ResponseHead(503, [], node_headers, Framing.LENGTH, 0, True)
        ):
            handle_response_end(self.call)

    def answer_withdrawal(self, upstream):
        """Let a guard that has the call say whether a server got it."""
        ran = self.random.choice(tuple(Ran))
        node_headers = {
            REFUSAL_HEADER: Reason.WITHDRAWN.value.encode(),
            RAN_HEADER: ran.value.encode(),
            CALL_ID_HEADER: b"id",
        }
        if self.random.random() < 0.3:
            # The word of an earlier call proves nothing.
            node_headers[CALL_ID_HEADER] = b"earlier"
        else:
            upstream.reported_not_run = ran is not Ran.UNKNOWN
            upstream.reported_rejected = ran is Ran.REJECTED
        head = ResponseHead(503, [], node_headers, Framing.LENGTH, 0, False)
        upstream.withdrawal.receive([head])

    def reject(self, upstream):
        upstream.reported_not_run = upstream.reported_rejected = True
        node_headers = {
            PLATFORM_PROFILE.call_id: b"id",
            PLATFORM_PROFILE.not_executed: b"1",
        }
        handle_response_head(
            self.call, ResponseHead(503, [], node_headers, Framing.LENGTH, 0, True)
        )

    def repeat_refusal(self, upstream):
        """Write a refusal of an earlier call, which says nothing about this one."""
        if not upstream.split_request()[0]:
            return
        node_headers = {PLATFORM_PROFILE.not_executed: b"1"}
        id_headers = (PLATFORM_PROFILE.call_id,)
        if self.call.request.hop.is_guard and self.random.random() < 0.5:
            node_headers = {
                REFUSAL_HEADER: Reason.NO_SLOT.value.encode(),
                RAN_HEADER: Ran.NOT_RUN.value.encode(),
            }
            id_headers = (CALL_ID_HEADER, PLATFORM_PROFILE.call_id)
        if self.random.random() < 0.5:
            node_headers |= dict.fromkeys(id_headers, b"earlier")
        status = self.random.choice((421, 429, 503))
        is_own = handle_response_head(
            self.call, ResponseHead(status, [], node_headers, Framing.LENGTH, 0, True)
        )
        if is_own and self.call.guard_refusal is not None:
            handle_response_end(self.call)

    def respond(self, upstream, status=200):
        head, body = upstream.split_request()
        if not head or len(body) < self.length:
            return
        upstream.responded = True
        assert body == self.sent_body
        node_headers = {PLATFORM_PROFILE.call_id: b"id", PLATFORM_PROFILE.seal: b"s"}
        handle_response_head(
            self.call, ResponseHead(status, [], node_headers, Framing.LENGTH, 2, True)
        )
        if self.random.random() < 0.1:
            self.fail_connection(upstream)
            return
        handle_response_body(self.call, b"ok")
        handle_response_end(self.call)

    def respond_with_error(self, upstream):
        self.respond(upstream, 500)

    def disconnect_caller(self, upstream):
        self.caller_outcomes.append("disconnected")
        self.call.cancel()

    # Invariants.
    def check_invariants(self):
        possible_runs = [upstream for upstream in self.upstreams if upstream.may_run()]
        if not self.route.idempotent:
            assert len(possible_runs) <= 1, "a non-idempotent request may run twice"
        attempted = [
            upstream
            for upstream in self.upstreams
            if upstream.reported_rejected or upstream.may_run()
        ]
        assert len(attempted) <= self.route.max_attempts, "too many attempts"
        for upstream in self.upstreams:
            if self.at_guard and self.length and not self.sent_body:
                assert not upstream.received, "a server got a request without its body"
            body = upstream.split_request()[1]
            assert self.sent_body.startswith(body), "the body differs from the caller's"
            if upstream.expects_continue() and not upstream.sent_continue:
                assert not body, "the body was sent before 100 Continue"

    def check_final_state(self):
        self.check_invariants()
        assert self.end_count == 1, "the call did not end exactly once"
        endings = [item for item in self.caller_outcomes if not isinstance(item, int)]
        assert len(endings) == 1, f"the caller got {self.caller_outcomes}"
        statuses = [item for item in self.caller_outcomes if isinstance(item, int)]
        if statuses and statuses[0] in (502, 504) and endings == ["refused"]:
            assert any(each.may_run() for each in self.upstreams), "known as not run"
        assert len(statuses) <= 1, f"the caller got {self.caller_outcomes}"
        if statuses and statuses[0] in NOT_RUN_STATUSES and endings == ["refused"]:
            assert not any(each.may_run() for each in self.upstreams), (
                "reported as not run"
            )
        assert self.guard.in_use == 0, "a slot was not released"
        assert not self.guard.waiting, "an ended call is still queued"
        for endpoint in ENDPOINTS:
            load = self.loads._loads.get(endpoint.server)
            assert load is None or load.calls == 0, "a load count was not released"
        assert self.timers.find_next_deadline() is None, "a timer was not cancelled"


def run_simulations(count=SIMULATIONS, counts=None):
    for seed in range(count):
        simulation = Simulation(seed, idempotent=seed % 2 == 0, at_guard=seed % 5 == 1)
        simulation.stopping = seed % 7 == 0
        for _ in range(STEPS_PER_SIMULATION):
            if simulation.end_count:
                break
            simulation.step()
            simulation.check_invariants()
        while not simulation.end_count:
            simulation.now += 0.5
            simulation.timers.run_due(simulation.now)
        simulation.check_final_state()
        if counts is not None:
            counts[str(simulation.caller_outcomes[-1])] += 1
            counts["attempts"] += len(simulation.upstreams)


def test_calls_end_once_with_correct_outcome():
    counts = Counter()
    run_simulations(counts=counts)
    # The simulations reach every ending, and often need more than one attempt.
    assert all(counts[end] > 20 for end in ("end", "refused", "disconnected"))
    assert counts["attempts"] > 1.3 * SIMULATIONS


def leak_slot_on_release(self):
    if self.server:
        self.forwarder.loads.end_call(self.server)
        self.server = ""
    self.guard = None


def leak_load_on_release(self):
    guard, self.guard, self.server = self.guard, None, ""
    if guard is not None:
        self.forwarder.guards.release_slot(guard, self)


def leave_timers_running(self):
    self.stop_attempt_timer()
    self.release()
    self.forwarder.remove_call(self)


def write_all_without_may_run(self):
    may_have_run = self.may_run
    for part in self._body.parts:
        self._write_body(part)
    self.may_run = may_have_run


def send_without_waiting(self):
    self._awaits_continue = self.hop.is_guard and not self._route.idempotent
    self._transaction.send_continue()
    self._write_head(self.hop)
    if not self._awaits_continue:
        self._write_all()


def find_connected_upstream(self):
    upstream = self.upstream
    return upstream if upstream is not None and upstream.connected else None


def drop_unsent_parts(self, part, is_sent, limit):
    if is_sent:
        self.parts.append(part)
        self.size += len(part)


def end_response_twice(self, failed):
    self.transaction.end_response()
    self._clean_up()
    self.transaction.end_response()


def believe_any_refusal(head, call_id, http_profile):
    if head.node_headers.get(http_profile.not_executed):
        return Refusal(Reason.SERVER_SHED, Ran.REJECTED)
    return classify_response(head, call_id, http_profile)


FAULTS = {
    "a server's refusal of another call is believed": (
        receiving, "classify_response", believe_any_refusal),
    "a guard's refusal of another call is believed": (
        receiving, "classify_refusal", lambda head, call_id: decode_refusal(head)),
    "an unknown outcome is reported as not run": (
        Call, "build_refusal", lambda self, reason: refuse_not_run(reason)),
    "earlier attempts are ignored": (
        AttemptHistory, "apply_worst_outcome", lambda self, refusal: refusal),
    "attempts are not limited": (
        AttemptHistory, "get_limit", lambda self, refusal, limit, may_offer: 99),
    "every refusal is reported as not run": (
        refusals, "_find_status", lambda refusal: 503),
    "every failed attempt is retried": (
        call_module, "decide_after_failure", lambda a, reason, *rest: Retry(reason)),
    "a slot is not released": (Call, "release", leak_slot_on_release),
    "a load count is not released": (Call, "release", leak_load_on_release),
    "timers are not cancelled": (Call, "_clean_up", leave_timers_running),
    "a body is sent without setting may_run": (
        RequestSender, "_write_all", write_all_without_may_run),
    "a server gets the head before the body arrives": (
        RequestSender, "on_connected", send_without_waiting),
    "the body is sent before 100 Continue": (
        RequestSender, "_find_ready_upstream", find_connected_upstream),
    "unsent parts of the body are lost": (ReplayBuffer, "add", drop_unsent_parts),
    "a response ends twice": (Call, "finish", end_response_twice),
}  # fmt: skip


@pytest.mark.parametrize("fault", FAULTS)
def test_injected_fault_is_detected(fault, monkeypatch):
    owner, name, replacement = FAULTS[fault]
    monkeypatch.setattr(owner, name, replacement)
    with pytest.raises((AssertionError, RecursionError)):
        run_simulations()


def test_fake_upstream_recognizes_possible_runs():
    simulation = Simulation(1, idempotent=False)
    assert refuse_unknown(Reason.NO_SLOT).ran is Ran.UNKNOWN
    upstream = FakeUpstream(simulation, None, True)
    assert not upstream.may_run()
    upstream.write(b"POST / HTTP/1.1\r\nexpect: 100-continue\r\n\r\n")
    assert not upstream.may_run()
    upstream.write(b"body")
    assert upstream.may_run()
