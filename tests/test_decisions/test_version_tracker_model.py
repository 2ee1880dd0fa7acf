"""Simulations of version adoption with restarts, store outages and message faults.

Seeded simulations drive the decision code of several nodes with lost, repeated, delayed
and reordered messages, and check the rules of ``decisions/version_tracker.py``. The
same number of simulations must detect each of the mutations below.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import pytest

from monsoontray.decisions import version_tracker
from monsoontray.decisions.admission import Entitlements
from monsoontray.decisions.adoption import Adoption, AdoptionState
from monsoontray.decisions.enforcement import PendingVersion, Readiness
from monsoontray.decisions.servers import ServerTable
from monsoontray.decisions.version_tracker import VersionTracker
from monsoontray.plans.model import NO_VERSION, VersionName

NODES = 4
SIMULATIONS = 20_000
STEPS = 60
MAX_VERSION = 5
SERVERS = ServerTable()


class InvariantError(Exception):
    """A simulation violated a rule of version adoption."""


@dataclass(slots=True, frozen=True)
class Message:
    """Name of the version in force on a peer, or the content of a version."""

    to: int
    sender: int  # -1 is the store
    is_content: bool
    name: VersionName


class Node:
    """One process of a node: its decisions, and the state that the checks need."""

    def __init__(self, served_before: int, head: int | None) -> None:
        self.tracker = VersionTracker()
        self.answered: set[int] = set()
        #: Lowest number that may come into force. A node that reads the head of the
        #: store at its start must not serve less than its previous process did.
        self.min_number = served_before if head is not None else 0
        self.reported_numbers: list[int] = []
        self.highest_served = 0
        if head is not None:
            self.tracker.raise_baseline(make_name(head))


class Simulation:
    """The store, the nodes and the messages in flight between them."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.head = 0
        self.is_store_down = False
        self.nodes = [Node(0, 0) for _ in range(NODES)]
        self.in_flight: list[Message] = []

    def run(self) -> None:
        actions = (
            [self.accept_version] * 2
            + [self.read_store] * 4
            + [self.exchange] * 8
            + [self.deliver_message] * 4
            + [
                self.drop_message,
                self.restart,
                self.restart,
                self.toggle_store,
                self.send_fork,
            ]
        )
        for _ in range(STEPS):
            self.random.choice(actions)()

    def accept_version(self) -> None:
        if not self.is_store_down and self.head < MAX_VERSION:
            self.head += 1

    def toggle_store(self) -> None:
        self.is_store_down = not self.is_store_down

    def read_store(self) -> None:
        if not self.is_store_down and self.head:
            node_index = self.random.randrange(NODES)
            self.send(Message(node_index, -1, True, make_name(self.head)))

    def exchange(self) -> None:
        receiver, peer = self.random.sample(range(NODES), 2)
        name = self.nodes[peer].tracker.get_in_force()
        self.send(Message(receiver, peer, False, name))

    def send_fork(self) -> None:
        node_index = self.random.randrange(NODES)
        tracker = self.nodes[node_index].tracker
        in_force = tracker.get_in_force().number
        if in_force:
            fork = VersionName(in_force, "another digest")
            if tracker.evaluate_version(fork) is Adoption.FETCH:
                raise InvariantError("a second digest of a number is fetched")
            self.send(Message(node_index, -1, True, fork))

    def deliver_message(self) -> None:
        if self.in_flight:
            message = self.random.choice(self.in_flight)
            if self.random.random() < 0.5:
                self.in_flight.remove(message)
            self.receive(message)

    def drop_message(self) -> None:
        if self.in_flight:
            self.in_flight.remove(self.random.choice(self.in_flight))

    def restart(self) -> None:
        node_index = self.random.randrange(NODES)
        head = None if self.is_store_down else self.head
        self.nodes[node_index] = Node(self.nodes[node_index].highest_served, head)
        self.in_flight = [
            message for message in self.in_flight if message.to != node_index
        ]

    def send(self, message: Message) -> None:
        if self.random.random() < 0.6:
            self.receive(message)
        else:
            self.in_flight.append(message)

    def receive(self, message: Message) -> None:
        node = self.nodes[message.to]
        if message.is_content:
            node.tracker.offer(PendingVersion(Entitlements(message.name, None), 0.0))
        else:
            self.receive_answer(node, message)
        self.enforce_if_ready(node)

    def receive_answer(self, node: Node, message: Message) -> None:
        fetch = node.tracker.evaluate_version(message.name) is Adoption.FETCH
        if node.tracker.baseline is None:
            node.reported_numbers.append(message.name.number)
        node.answered.add(message.sender)
        node.tracker.set_baseline_from_peers(len(node.answered), NODES - 1)
        if fetch:
            self.send(Message(message.to, message.sender, True, message.name))

    def enforce_if_ready(self, node: Node) -> None:
        before = node.tracker.get_in_force()
        if node.tracker.check_readiness(SERVERS, 1.0) is Readiness.READY:
            node.tracker.enforce_pending()
        after = node.tracker.get_in_force()
        if after == before:
            return
        if after.number <= before.number:
            raise InvariantError("the version in force decreases")
        if after != make_name(after.number):
            raise InvariantError("a second digest of a number comes into force")
        if after.number < node.min_number:
            raise InvariantError("the version is below that of the previous process")
        if after.number < max(node.reported_numbers, default=0):
            raise InvariantError("the version is below one that a peer reported")
        node.highest_served = after.number


def make_name(number: int) -> VersionName:
    return VersionName(number, f"digest-{number}") if number else NO_VERSION


def simulate_all() -> int:
    """Run every seed; return the sum of the highest versions served at the end."""
    total = 0
    for seed in range(SIMULATIONS):
        simulation = Simulation(seed)
        simulation.run()
        total += sum(node.highest_served for node in simulation.nodes)
    return total


def test_simulations_violate_no_rule():
    assert simulate_all() > SIMULATIONS


def mutate_enforce_any_version(monkeypatch):
    monkeypatch.setattr(version_tracker, "may_enforce", lambda state, name: True)


def mutate_replace_pending_version(monkeypatch):
    def offer(self, pending):
        self.pending = pending

    monkeypatch.setattr(VersionTracker, "offer", offer)


def mutate_ignore_store_head(monkeypatch):
    def raise_baseline(self, head):
        self.baseline = self.baseline or NO_VERSION

    monkeypatch.setattr(VersionTracker, "raise_baseline", raise_baseline)


def mutate_ignore_peer_versions(monkeypatch):
    def set_baseline_from_peers(self, answered, known):
        if self.baseline is None and answered >= min(3, known):
            self.baseline = self.get_in_force()

    monkeypatch.setattr(
        VersionTracker, "set_baseline_from_peers", set_baseline_from_peers
    )


def mutate_fetch_forks(monkeypatch):
    def evaluate_version(state, name):
        if name.number < state.in_force.number:
            return state, Adoption.IGNORE
        if name.number > state.highest.number:
            state = AdoptionState(state.in_force, name)
        return state, Adoption.FETCH

    monkeypatch.setattr(version_tracker, "evaluate_version", evaluate_version)


def mutate_skip_baseline_check(monkeypatch):
    def check_readiness(self, servers, now):
        return None if self.pending is None else Readiness.READY

    monkeypatch.setattr(VersionTracker, "check_readiness", check_readiness)


def mutate_forget_highest_version(monkeypatch):
    original = version_tracker.evaluate_version

    def evaluate_version(state, name):
        return state, original(state, name)[1]

    monkeypatch.setattr(version_tracker, "evaluate_version", evaluate_version)


@pytest.mark.parametrize(
    "mutate",
    [
        mutate_enforce_any_version,
        mutate_replace_pending_version,
        mutate_ignore_store_head,
        mutate_ignore_peer_versions,
        mutate_fetch_forks,
        mutate_skip_baseline_check,
        mutate_forget_highest_version,
    ],
)
def test_mutations_are_detected(mutate, monkeypatch):
    mutate(monkeypatch)
    with pytest.raises(InvariantError):
        simulate_all()
