"""Rollouts by one or two nodes, with a store in memory."""

from __future__ import annotations

import msgspec
import pytest

from monsoontray.decisions.rollouts import Phase, ServerEvidence
from monsoontray.discovery.messages import StoreChanged, StoreListed
from monsoontray.rollouts.messages import RolloutOrdered, UpdateRolloutPlans
from monsoontray.rollouts.service import PLAN_PREFIX, Rollouts, handle_message
from tests.fakes import FakeKernel

ORDER = RolloutOrdered(7, "one", "v2", 10.0)
GOOD = [ServerEvidence("v2", 60, False, {}), ServerEvidence("v1", 60, False, {})]
BAD = [ServerEvidence("v2", 60, True, {}), ServerEvidence("v1", 60, False, {})]


class FakeEvidenceReader:
    def __init__(self):
        self.found = GOOD

    def read(self, service):
        return self.found


class Node:
    """Rollout service of one node, run step by step."""

    def __init__(self, kernel):
        self.kernel = kernel
        self.rollouts = Rollouts(kernel)
        self.rollouts._evidence = FakeEvidenceReader()
        self.seen = 0

    def deliver_events(self):
        """Deliver the events that the store's watch would report."""
        store = self.kernel.store
        new = [e for e in store.events if e[0].revision > self.seen]
        self.seen = store.revision
        kept = tuple(r for r, is_kept in new if is_kept and "rollouts/" in r.key)
        removed = tuple(r for r, is_kept in new if not is_kept)
        handle_message(StoreChanged(kept, removed, store.revision), self.rollouts)

    def step(self):
        due = self.rollouts.find_next_deadline()
        if due is not None and due <= self.kernel.clock.now():
            self.rollouts.on_deadline()

    def get_phase(self):
        messages = self.kernel.posted["forwarding"]
        assert all(isinstance(message, UpdateRolloutPlans) for message in messages)
        return self.rollouts._rollouts["one"].plan.phase


def run(kernel, nodes, seconds):
    for _ in range(int(seconds * 10)):
        kernel.clock.advance(0.1)
        for lease, deadline in list(kernel.store.leases.items()):
            if deadline <= kernel.clock.now():
                kernel.store.expire_lease(lease)
        for node in nodes:
            node.deliver_events()
            node.step()


def read_states(kernel):
    key = "status/rollout/one"
    states = []
    for record, is_kept in kernel.store.events:
        if record.key == key and is_kept:
            states.append(msgspec.json.decode(record.value)["state"])
    return states


@pytest.fixture
def kernel():
    return FakeKernel()


def start(kernel, count=1):
    nodes = [Node(kernel) for _ in range(count)]
    for node in nodes:
        handle_message(ORDER, node.rollouts)
    return nodes


def test_rollout_of_good_version_is_done_within_its_period(kernel):
    nodes = start(kernel)
    run(kernel, nodes, 10.0)
    assert nodes[0].get_phase() is Phase.DONE
    states = read_states(kernel)
    assert states[0] == "running"
    assert states[-1] == "done"
    assert set(states[:-1]) == {"running"}


def test_bad_version_is_rolled_back_quickly(kernel):
    nodes = start(kernel)
    run(kernel, nodes, 5.0)
    nodes[0].rollouts._evidence.found = BAD
    run(kernel, nodes, 1.0)
    assert nodes[0].get_phase() is Phase.ROLLED_BACK
    assert read_states(kernel)[-1] == "rolled_back"
    nodes[0].rollouts._evidence.found = GOOD
    run(kernel, nodes, 10.0)
    assert read_states(kernel)[-1] == "rolled_back"


def test_another_node_continues_after_the_decider_stops(kernel):
    first, second = start(kernel, 2)
    run(kernel, [first], 3.0)
    assert first.get_phase() is Phase.CANARY
    run(kernel, [second], 9.0)
    assert second.get_phase() is Phase.DONE
    assert read_states(kernel)[-1] == "done"


def test_two_nodes_write_each_phase_once(kernel):
    nodes = start(kernel, 2)
    run(kernel, nodes, 10.0)
    writes = [r for r, kept in kernel.store.events if r.key.startswith(PLAN_PREFIX)]
    phases = [msgspec.json.decode(r.value)["phase"] for r in writes]
    assert phases[-1] == "done"
    assert len(phases) == len(set(phases)) <= 6


def test_rollout_continues_after_lost_responses_and_an_outage(kernel):
    nodes = start(kernel)
    kernel.store.loses_write_responses = True
    run(kernel, nodes, 4.0)
    kernel.store.loses_write_responses = False
    kernel.store.unreachable = True
    run(kernel, nodes, 2.0)
    kernel.store.unreachable = False
    run(kernel, nodes, 8.0)
    assert nodes[0].get_phase() is Phase.DONE


def test_restarted_node_continues_from_the_stored_plan(kernel):
    nodes = start(kernel)
    run(kernel, nodes, 5.0)
    phase = nodes[0].get_phase()
    assert phase is not Phase.WAITING
    fresh = Node(kernel)
    fresh.seen = kernel.store.revision
    listed = kernel.store.list_prefix("rollouts/")
    handle_message(StoreListed(listed.records, listed.revision), fresh.rollouts)
    handle_message(ORDER, fresh.rollouts)
    assert fresh.get_phase() is phase


def test_new_order_starts_a_new_rollout(kernel):
    nodes = start(kernel)
    run(kernel, nodes, 10.0)
    again = RolloutOrdered(900, "one", "v3", 10.0)
    handle_message(again, nodes[0].rollouts)
    assert nodes[0].get_phase() is Phase.WAITING
    new = [ServerEvidence("v3", 60, False, {})]
    nodes[0].rollouts._evidence.found = new
    run(kernel, nodes, 10.0)
    assert nodes[0].get_phase() is Phase.DONE


def test_lower_revision_than_remembered_does_not_block(kernel):
    (node,) = start(kernel)
    run(kernel, [node], 2.0)
    node.rollouts._rollouts["one"].revision += 1000
    run(kernel, [node], 10.0)
    assert node.get_phase() is Phase.DONE
