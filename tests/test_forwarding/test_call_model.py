"""Walk calls through random events; check what callers and servers were told.

The peers are played here: what one of them may have run is told from the bytes that it
was sent, not from what the call believes.
"""

from __future__ import annotations

from collections import Counter
from random import Random
from types import SimpleNamespace

import pytest

from monsoontray.decisions.bounds import Bounds
from monsoontray.decisions.budget import RetryBudgets
from monsoontray.decisions.guard import GuardState
from monsoontray.decisions.outcomes import Ran, Reason, refuse_unknown, refuse_unrun
from monsoontray.decisions.retries import AttemptRecord, Retry
from monsoontray.decisions.servers import (
    Endpoint,
    LoadView,
    Place,
    ServerRecord,
    ServerState,
)
from monsoontray.decisions.timeouts import ResponseTimes
from monsoontray.forwarding import call as call_module
from monsoontray.forwarding import refusals
from monsoontray.forwarding.attempts import send_to_local_server
from monsoontray.forwarding.call import Call
from monsoontray.forwarding.heads import Framing, RequestHead, ResponseHead
from monsoontray.forwarding.receiving import (
    handle_response_body,
    handle_response_end,
    handle_response_head,
)
from monsoontray.forwarding.refusals import RAN_HEADER, REFUSAL_HEADER
from monsoontray.forwarding.replay import ReplayBuffer
from monsoontray.forwarding.routes import EntryRoute, GuardRoute
from monsoontray.forwarding.sending import RequestSender
from monsoontray.forwarding.sides import MeshEntrySide
from monsoontray.kernel.timers import Timers
from monsoontray.platform.headers import VOCABULARY

WALKS = 1_500
STEPS = 40
PLACE = Place("node-0", "norte", "zone-a")
LOCAL = ServerRecord("i-0", "one", "v1", (), 1, 130, ServerState.SERVING)
ENDPOINTS = [
    Endpoint(f"i-{i}", "one", "v1", 2, f"node-{i}", "norte", "zone-a",
             f"10.0.0.{i}:1", frozenset())
    for i in range(4)
]  # fmt: skip
PROMISES = (408, 421, 429, 503)


class Peer:
    """Play a guard or a server at the other end of a connection."""

    def __init__(self, forwarder, address, connected):
        self.forwarder = forwarder
        self.address = address
        self.connected = connected
        self.call = None
        self.unsent_bytes = 0
        self.received = b""
        self.asked = False  # for the body
        self.denied = False  # the peer said that the request has not run
        self.rejected = False  # a server said so, which counts as an attempt
        self.answered = False

    def begin_call(self, call, method):
        self.call = call

    def write(self, data):
        self.received += data

    def close(self):
        self.call = None

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def split(self):
        head, separator, body = self.received.partition(b"\r\n\r\n")
        return (head, body) if separator else (b"", b"")

    def offers(self):
        return b"expect: 100-continue" in self.split()[0]

    def may_run(self):
        """Say whether the request may run here, now or later."""
        head, body = self.split()
        if not head or self.denied:
            return False
        return self.asked or bool(body) or not self.offers()


class World:
    """Stand for the forwarding task and the caller's side of the exchange."""

    def __init__(self, seed, idempotent, at_guard=False):
        self.random = Random(seed)
        self.now = 0.0
        self.timers = Timers()
        self.place = PLACE
        self.http_profile = VOCABULARY
        self.limits = SimpleNamespace(
            replay_buffer_bytes=1 << 20, stream_buffer_bytes=1 << 20
        )
        self.loads = LoadView()
        self.budgets = RetryBudgets(Bounds(0.2, 10.0, 1000.0))
        self.response_times = ResponseTimes()
        self.reachability = SimpleNamespace(
            probe=lambda server, address: None,
            mark_unreachable=lambda server, address: self.loads.mark_unreachable(
                server
            ),
        )
        self.stopping = False
        self.peers = []
        self.ended = 0
        self.finals = []
        self.guard = GuardState(LOCAL, 4)
        self.guards = self
        self.pool = self
        self.report = SimpleNamespace(
            record_refused_call=lambda *a: None, record_retry=lambda *a: None,
            record_cut_response=lambda *a: None, record_cancelled_call=lambda *a: None,
            record_response=lambda *a: None,
        )  # fmt: skip
        self.sent_body = b""
        self.body_left = [b"a" * 10, b"b" * 20, b"c" * 5]
        self.length = sum(map(len, self.body_left))
        if idempotent:
            self.body_left, self.length = [], 0
        self.at_guard = at_guard  # the caller is another node, which offers a head
        self.caller_asked = not at_guard
        if at_guard:
            self.route = GuardRoute(LOCAL.server, "", 1, idempotent, 1.0, "route")
        else:
            self.route = EntryRoute("one", "", "", "route", 1, idempotent, 2, 1.0)
        framing = Framing.LENGTH if self.length else Framing.EMPTY
        head = RequestHead("POST", b"/x", [], {}, "h", b"", framing, self.length,
                           True, at_guard)  # fmt: skip
        self.call = Call(self, self, head, self.route, "id")
        self.call.start()
        if not self.length:
            self.call.request.send_end()

    # What a call asks of the forwarding task.
    def find_candidates(self, service, is_retry):
        return ENDPOINTS

    def remove_call(self, call):
        self.ended += 1

    def acquire(self, address):
        if self.random.random() < 0.05:
            raise OSError("no route")
        peer = Peer(self, address, self.random.random() < 0.5)
        self.peers.append(peer)
        return peer

    def find(self, server):
        return self.guard if server == LOCAL.server else None

    def find_address(self, server):
        return ("127.0.0.1", 9)

    def handle_connection_failure(self, guard, reason):
        pass

    def record_call(self, guard, route, seconds, failed):
        pass

    record_unfinished = schedule_recheck = lambda self, *args: None

    def release_slot(self, guard):
        waiting = guard.release_slot(self.now)
        if waiting is not None:
            send_to_local_server(waiting, guard)

    def forget_waiting(self, call):
        self.guard.forget_waiting(call)

    # What a call tells its caller.
    def begin_response(self, head, lines):
        self.finals.append(head.status)

    def write_response_body(self, part):
        pass

    def end_response(self):
        self.finals.append("end")

    def refuse(self, refusal, call):
        side = MeshEntrySide(VOCABULARY, "one")
        answer = refusals.encode_refusal(side, refusal, "id", False)
        self.finals.append(int(answer[9:12]))
        self.finals.append("refused")

    def cut(self):
        self.finals.append("cut")

    def count_unsent_bytes(self):
        return 0

    def send_continue(self):
        self.caller_asked = True

    pause_reading = resume_reading = lambda self: None

    # What happens to it.
    def step(self):
        self.now += self.random.choice((0.0, 0.001, 0.02, 0.15))
        self.timers.run_due(self.now)
        if self.ended:
            return
        peer = self.call.request.upstream
        may_send = self.body_left and self.caller_asked
        actions = [self.send_body] if may_send else []
        if peer is None:
            actions.append(self.free_slot)
        elif not peer.connected:
            actions += [self.connect, self.lose]
        else:
            actions += [self.lose, self.refuse_there]
            if peer.may_run() or not peer.offers():
                actions += [self.answer, self.answer, self.fail, self.reject]
            elif not peer.asked:
                actions += [self.ask, self.ask]
        if self.random.random() < 0.02:
            actions = [self.leave]
        self.random.choice(actions)(peer)

    def send_body(self, peer):
        part = self.body_left.pop(0)
        self.sent_body += part
        self.call.request.send_body(part)
        if not self.body_left and not self.ended:
            self.call.request.send_end()

    def free_slot(self, peer):
        waiting = self.guard.grant_waiting(self.now)
        if waiting is not None:
            send_to_local_server(waiting, self.guard)

    def connect(self, peer):
        peer.connected = True
        self.call.request.on_connected()

    def lose(self, peer):
        reason = Reason.CONNECTION_LOST if peer.connected else Reason.UNREACHABLE
        peer.call = None
        self.call.on_upstream_lost(reason)

    def ask(self, peer):
        peer.asked = True
        self.call.request.handle_continue()

    def refuse_there(self, peer):
        if not self.call.request.hop.is_guard or not peer.split()[0]:
            return
        ran = Ran.UNKNOWN if peer.may_run() and self.random.random() < 0.5 else None
        ran = ran or self.random.choice((Ran.NOT_RUN, Ran.REJECTED))
        peer.denied = ran is not Ran.UNKNOWN
        peer.rejected = ran is Ran.REJECTED
        own = {
            REFUSAL_HEADER: Reason.NO_SLOT.value.encode(),
            RAN_HEADER: ran.value.encode(),
        }
        if handle_response_head(
            self.call, ResponseHead(503, [], own, Framing.LENGTH, 0, True)
        ):
            handle_response_end(self.call)

    def reject(self, peer):
        peer.denied = peer.rejected = True
        own = {VOCABULARY.not_executed: b"1"}
        handle_response_head(
            self.call, ResponseHead(503, [], own, Framing.LENGTH, 0, True)
        )

    def answer(self, peer, status=200):
        head, body = peer.split()
        if not head or len(body) < self.length:
            return
        peer.answered = True
        assert body == self.sent_body
        own = {VOCABULARY.call_id: b"id", VOCABULARY.seal: b"s"}
        handle_response_head(
            self.call, ResponseHead(status, [], own, Framing.LENGTH, 2, True)
        )
        if self.random.random() < 0.1:
            self.lose(peer)
            return
        handle_response_body(self.call, b"ok")
        handle_response_end(self.call)

    def fail(self, peer):
        self.answer(peer, 500)

    def leave(self, peer):
        self.finals.append("gone")
        self.call.cancel()

    # What must hold.
    def check(self):
        able = [peer for peer in self.peers if peer.may_run()]
        if not self.route.idempotent:
            assert len(able) <= 1, "a request that may run once may run twice"
        reached = [peer for peer in self.peers if peer.rejected or peer.may_run()]
        assert len(reached) <= self.route.max_attempts, "too many servers"
        for peer in self.peers:
            if self.at_guard and self.length and not self.sent_body:
                assert not peer.received, "a server got a request that was offered"
            body = peer.split()[1]
            assert self.sent_body.startswith(body), "other bytes than the caller's"
            if peer.offers() and not peer.asked:
                assert not body, "the body went before it was asked for"

    def check_end(self):
        self.check()
        assert self.ended == 1, "the call did not end once"
        ends = [each for each in self.finals if not isinstance(each, int)]
        assert len(ends) == 1, f"the caller was told {self.finals}"
        statuses = [each for each in self.finals if isinstance(each, int)]
        assert len(statuses) <= 1, f"the caller was told {self.finals}"
        if statuses and statuses[0] in PROMISES and ends == ["refused"]:
            assert not any(p.may_run() for p in self.peers), "said not to have run"
        assert self.guard.in_use == 0, "a slot was not given back"
        assert not self.guard.waiting, "a call that ended waits for a slot"
        for endpoint in ENDPOINTS:
            load = self.loads._loads.get(endpoint.server)
            assert load is None or load.calls == 0, "a load was not given back"
        assert self.timers.find_next_deadline() is None, "a timer was left"


def walk(count=WALKS, counts=None):
    for seed in range(count):
        world = World(seed, idempotent=seed % 2 == 0, at_guard=seed % 5 == 1)
        world.stopping = seed % 7 == 0
        for _ in range(STEPS):
            if world.ended:
                break
            world.step()
            world.check()
        while not world.ended:
            world.now += 0.5
            world.timers.run_due(world.now)
        world.check_end()
        if counts is not None:
            counts[str(world.finals[-1])] += 1
            counts["attempts"] += len(world.peers)


def test_calls_end_once_and_truly_whatever_happens():
    counts = Counter()
    walk(counts=counts)
    # The walks reach every end, and more than one attempt for many calls.
    assert all(counts[end] > 20 for end in ("end", "refused", "gone"))
    assert counts["attempts"] > 1.3 * WALKS


def leak_slot(self):
    if self.server:
        self.forwarder.loads.end(self.server)
        self.server = ""
    self.guard = None


def leak_load(self):
    guard, self.guard, self.server = self.guard, None, ""
    if guard is not None:
        self.forwarder.guards.release_slot(guard)


def forget_ended(self):
    self.stop_attempt_timer()
    self.release()
    self.forwarder.remove_call(self)


def write_all_quietly(self):
    may_have_run = self.may_run
    for part in self._body.parts:
        self._write_body(part)
    self.may_run = may_have_run


def hold_nothing(self):
    self._awaits_continue = self.hop.is_guard and not self._route.idempotent
    self._transaction.send_continue()
    self._write_head(self.hop)
    if not self._awaits_continue:
        self._write_all()


def find_any_open(self):
    upstream = self.upstream
    return upstream if upstream is not None and upstream.connected else None


def lose_parts(self, part, is_sent, limit):
    if is_sent:
        self.parts.append(part)
        self.size += len(part)


def end_twice(self, failed):
    self.transaction.end_response()
    self._clean_up()
    self.transaction.end_response()


MISTAKES = {
    "unknown ends pass for not run": (
        Call, "build_refusal", lambda self, reason: refuse_unrun(reason)),
    "an earlier attempt is forgotten": (
        AttemptRecord, "qualify", lambda self, refusal: refusal),
    "attempts are not limited": (
        AttemptRecord, "find_limit", lambda self, refusal, limit, may_offer: 99),
    "all refusals promise": (refusals, "_find_status", lambda refusal: 503),
    "everything is repeated": (
        call_module, "decide_after_failure", lambda a, reason, *rest: Retry(reason)),
    "a slot is kept": (Call, "release", leak_slot),
    "a load is kept": (Call, "release", leak_load),
    "timers stay": (Call, "_clean_up", forget_ended),
    "a body that was asked for is not noted": (
        RequestSender, "_write_all", write_all_quietly),
    "a server gets what was only offered": (
        RequestSender, "on_connected", hold_nothing),
    "the body goes before it is asked for": (
        RequestSender, "_find_ready_upstream", find_any_open),
    "parts are lost while no server is there": (ReplayBuffer, "add", lose_parts),
    "a response ends twice": (Call, "finish", end_twice),
}  # fmt: skip


@pytest.mark.parametrize("mistake", MISTAKES)
def test_planted_mistakes_are_found(mistake, monkeypatch):
    owner, name, planted = MISTAKES[mistake]
    monkeypatch.setattr(owner, name, planted)
    with pytest.raises((AssertionError, RecursionError)):
        walk()


def test_the_walk_itself_is_sound():
    world = World(1, idempotent=False)
    assert refuse_unknown(Reason.NO_SLOT).ran is Ran.UNKNOWN
    peer = Peer(world, None, True)
    assert not peer.may_run()
    peer.write(b"POST / HTTP/1.1\r\nexpect: 100-continue\r\n\r\n")
    assert not peer.may_run()
    peer.write(b"body")
    assert peer.may_run()
