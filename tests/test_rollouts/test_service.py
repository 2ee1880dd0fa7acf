"""Rollouts by one or two nodes, with a store in memory."""

from __future__ import annotations

import msgspec
import pytest

from monsoontray.decisions.rollouts import Phase, ServerEvidence
from monsoontray.discovery.messages import StoreChanged, StoreListed
from monsoontray.rollouts.decider import DECIDER_KEY, MAX_INITIAL_DELAY_S
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
        written = tuple(r for r, is_write in new if is_write and "rollouts/" in r.key)
        removed = tuple(r for r, is_write in new if not is_write)
        handle_message(StoreChanged(written, removed, store.revision), self.rollouts)

    def step(self):
        due = self.rollouts.find_next_deadline()
        if due is not None and due <= self.kernel.clock.now():
            self.rollouts.on_deadline()

    def get_phase(self):
        messages = self.kernel.posted["forwarding"]
        assert all(isinstance(message, UpdateRolloutPlans) for message in messages)
        return self.rollouts._rollouts["one"].plan.phase


def run_nodes(kernel, nodes, seconds):
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
    for record, is_write in kernel.store.events:
        if record.key == key and is_write:
            states.append(msgspec.json.decode(record.value)["state"])
    return states


@pytest.fixture
def kernel():
    return FakeKernel()


def start_nodes(kernel, count=1):
    nodes = [Node(kernel) for _ in range(count)]
    for node in nodes:
        handle_message(ORDER, node.rollouts)
    return nodes


def test_rollout_of_good_version_is_done_within_its_period(kernel):
    nodes = start_nodes(kernel)
    run_nodes(kernel, nodes, 10.0)
    assert nodes[0].get_phase() is Phase.DONE
    states = read_states(kernel)
    assert states[0] == "running"
    assert states[-1] == "done"
    assert set(states[:-1]) == {"running"}


def test_bad_version_is_rolled_back_quickly(kernel):
    nodes = start_nodes(kernel)
    run_nodes(kernel, nodes, 5.0)
    nodes[0].rollouts._evidence.found = BAD
    run_nodes(kernel, nodes, 1.0)
    assert nodes[0].get_phase() is Phase.ROLLED_BACK
    assert read_states(kernel)[-1] == "rolled_back"
    nodes[0].rollouts._evidence.found = GOOD
    run_nodes(kernel, nodes, 10.0)
    assert read_states(kernel)[-1] == "rolled_back"


def test_another_node_continues_after_the_decider_stops(kernel):
    first, second = start_nodes(kernel, 2)
    run_nodes(kernel, [first], 3.0)
    assert first.get_phase() is Phase.CANARY
    run_nodes(kernel, [second], 9.0)
    assert second.get_phase() is Phase.DONE
    assert read_states(kernel)[-1] == "done"


# A lease that was acquired late kept all nodes from deciding until it expired.
def test_decider_key_that_is_written_late_is_not_taken(kernel):
    nodes = start_nodes(kernel, 2)
    kernel.store.delays_writes = True
    run_nodes(kernel, nodes, MAX_INITIAL_DELAY_S + 0.5)
    assert DECIDER_KEY in {put.key for _, puts in kernel.store.delayed for put in puts}
    kernel.store.delays_writes = False
    kernel.store.do_delayed_writes()
    assert DECIDER_KEY not in kernel.store.records


def test_two_nodes_write_each_phase_once(kernel):
    nodes = start_nodes(kernel, 2)
    run_nodes(kernel, nodes, 10.0)
    writes = [r for r, _ in kernel.store.events if r.key.startswith(PLAN_PREFIX)]
    phases = [msgspec.json.decode(r.value)["phase"] for r in writes]
    assert phases[-1] == "done"
    assert len(phases) == len(set(phases)) <= 6


def test_rollout_continues_after_lost_responses_and_an_outage(kernel):
    nodes = start_nodes(kernel)
    kernel.store.loses_write_responses = True
    run_nodes(kernel, nodes, 4.0)
    kernel.store.loses_write_responses = False
    kernel.store.unreachable = True
    run_nodes(kernel, nodes, 2.0)
    kernel.store.unreachable = False
    run_nodes(kernel, nodes, 8.0)
    assert nodes[0].get_phase() is Phase.DONE


def test_restarted_node_continues_from_the_stored_plan(kernel):
    nodes = start_nodes(kernel)
    run_nodes(kernel, nodes, 5.0)
    phase = nodes[0].get_phase()
    assert phase is not Phase.WAITING
    restarted = Node(kernel)
    restarted.seen = kernel.store.revision
    listed = kernel.store.list_prefix("rollouts/")
    handle_message(StoreListed(listed.records, listed.revision), restarted.rollouts)
    handle_message(ORDER, restarted.rollouts)
    assert restarted.get_phase() is phase


def test_new_order_starts_a_new_rollout(kernel):
    nodes = start_nodes(kernel)
    run_nodes(kernel, nodes, 10.0)
    again = RolloutOrdered(900, "one", "v3", 10.0)
    handle_message(again, nodes[0].rollouts)
    assert nodes[0].get_phase() is Phase.WAITING
    new = [ServerEvidence("v3", 60, False, {})]
    nodes[0].rollouts._evidence.found = new
    run_nodes(kernel, nodes, 10.0)
    assert nodes[0].get_phase() is Phase.DONE


def test_rollout_continues_when_the_stored_revision_is_lower(kernel):
    (node,) = start_nodes(kernel)
    run_nodes(kernel, [node], 2.0)
    node.rollouts._rollouts["one"].revision += 1000
    run_nodes(kernel, [node], 10.0)
    assert node.get_phase() is Phase.DONE
