"""A model of nodes that restart, a store that goes out and messages that stray.

Seeded walks drive the real decision code of several nodes with lost, repeated,
delayed and reordered messages, and check the rule of ``decisions/keeper.py``. The
planted mistakes below must each be found within the same bound.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import pytest

from monsoontray.decisions import keeper as keeper_module
from monsoontray.decisions.admission import Entitlements
from monsoontray.decisions.adoption import Adoption, AdoptionState
from monsoontray.decisions.enforcement import Pending, Readiness
from monsoontray.decisions.keeper import VersionKeeper
from monsoontray.decisions.servers import ServerTable
from monsoontray.plans.model import NO_VERSION, VersionName

NODES = 4
WALKS = 20_000
STEPS = 60
HIGHEST = 5
SERVERS = ServerTable()


class BrokenRuleError(Exception):
    """Report a walk that broke the rule."""


@dataclass(slots=True, frozen=True)
class Message:
    """Carry what a peer has in force, or a version's content."""

    to: int
    sender: int  # -1 is the store
    is_content: bool
    name: VersionName


class Node:
    """One process of a node: the real decisions, and what an observer knows."""

    def __init__(self, predecessor: int, head: int | None) -> None:
        self.keeper = VersionKeeper()
        self.answered: set[int] = set()
        #: Lowest number that may come into force first: with the store at hand a
        #: node knows what its predecessor may have served.
        self.floor = predecessor if head is not None else 0
        self.told: list[int] = []
        self.served = 0
        if head is not None:
            self.keeper.learn_head(make_name(head))


class Walk:
    """The store, the nodes and the messages that stray between them."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.head = 0
        self.store_out = False
        self.nodes = [Node(0, 0) for _ in range(NODES)]
        self.strays: list[Message] = []

    def run(self) -> None:
        actions = (
            [self.accept] * 2
            + [self.read_store] * 4
            + [self.exchange] * 8
            + [self.deliver] * 4
            + [self.lose, self.restart, self.restart, self.turn_store, self.fork]
        )
        for _ in range(STEPS):
            self.random.choice(actions)()

    def accept(self) -> None:
        if not self.store_out and self.head < HIGHEST:
            self.head += 1

    def turn_store(self) -> None:
        self.store_out = not self.store_out

    def read_store(self) -> None:
        if not self.store_out and self.head:
            number = self.random.randrange(NODES)
            self.send(Message(number, -1, True, make_name(self.head)))

    def exchange(self) -> None:
        asker, peer = self.random.sample(range(NODES), 2)
        name = self.nodes[peer].keeper.get_in_force()
        self.send(Message(asker, peer, False, name))

    def fork(self) -> None:
        number = self.random.randrange(NODES)
        keeper = self.nodes[number].keeper
        taken = keeper.get_in_force().number
        if taken:
            fork = VersionName(taken, "another digest")
            if keeper.hear_of(fork) is Adoption.FETCH:
                raise BrokenRuleError("fetches a second digest")
            self.send(Message(number, -1, True, fork))

    def deliver(self) -> None:
        if self.strays:
            message = self.random.choice(self.strays)
            if self.random.random() < 0.5:
                self.strays.remove(message)
            self.take(message)

    def lose(self) -> None:
        if self.strays:
            self.strays.remove(self.random.choice(self.strays))

    def restart(self) -> None:
        number = self.random.randrange(NODES)
        head = None if self.store_out else self.head
        self.nodes[number] = Node(self.nodes[number].served, head)
        self.strays = [message for message in self.strays if message.to != number]

    def send(self, message: Message) -> None:
        if self.random.random() < 0.6:
            self.take(message)
        else:
            self.strays.append(message)

    def take(self, message: Message) -> None:
        node = self.nodes[message.to]
        if message.is_content:
            node.keeper.offer(Pending(Entitlements(message.name, None), 0.0))
        else:
            self.take_answer(node, message)
        self.settle(node)

    def take_answer(self, node: Node, message: Message) -> None:
        fetch = node.keeper.hear_of(message.name) is Adoption.FETCH
        if node.keeper.baseline is None:
            node.told.append(message.name.number)
        node.answered.add(message.sender)
        node.keeper.count_answers(len(node.answered), NODES - 1)
        if fetch:
            self.send(Message(message.to, message.sender, True, message.name))

    def settle(self, node: Node) -> None:
        before = node.keeper.get_in_force()
        if node.keeper.decide(SERVERS, 1.0) is Readiness.READY:
            node.keeper.enforce_pending()
        after = node.keeper.get_in_force()
        if after == before:
            return
        if after.number <= before.number:
            raise BrokenRuleError("goes back")
        if after != make_name(after.number):
            raise BrokenRuleError("takes a second digest")
        if after.number < node.floor:
            raise BrokenRuleError("serves less than its predecessor")
        if after.number < max(node.told, default=0):
            raise BrokenRuleError("serves less than its peers told")
        node.served = after.number


def make_name(number: int) -> VersionName:
    return VersionName(number, f"digest-{number}") if number else NO_VERSION


def walk_all() -> int:
    """Walk with every seed; return how often a version came into force."""
    changes = 0
    for seed in range(WALKS):
        walk = Walk(seed)
        walk.run()
        changes += sum(node.served for node in walk.nodes)
    return changes


def test_no_node_ever_goes_back():
    assert walk_all() > WALKS


def plant_enforce_anything(monkeypatch):
    monkeypatch.setattr(keeper_module, "may_enforce", lambda state, name: True)


def plant_replace_pending(monkeypatch):
    def offer(self, pending):
        self.pending = pending

    monkeypatch.setattr(VersionKeeper, "offer", offer)


def plant_ignore_head(monkeypatch):
    def learn_head(self, head):
        self.baseline = self.baseline or NO_VERSION

    monkeypatch.setattr(VersionKeeper, "learn_head", learn_head)


def plant_ignore_what_peers_told(monkeypatch):
    def count_answers(self, answered, known):
        if self.baseline is None and answered >= min(3, known):
            self.baseline = self.get_in_force()

    monkeypatch.setattr(VersionKeeper, "count_answers", count_answers)


def plant_fetch_forks(monkeypatch):
    def hear_of(state, name):
        if name.number < state.in_force.number:
            return state, Adoption.IGNORE
        if name.number > state.highest.number:
            state = AdoptionState(state.in_force, name)
        return state, Adoption.FETCH

    monkeypatch.setattr(keeper_module, "hear_of", hear_of)


def plant_skip_baseline(monkeypatch):
    def decide(self, servers, now):
        return None if self.pending is None else Readiness.READY

    monkeypatch.setattr(VersionKeeper, "decide", decide)


def plant_forget_highest(monkeypatch):
    original = keeper_module.hear_of

    def hear_of(state, name):
        return state, original(state, name)[1]

    monkeypatch.setattr(keeper_module, "hear_of", hear_of)


@pytest.mark.parametrize(
    "plant",
    [
        plant_enforce_anything,
        plant_replace_pending,
        plant_ignore_head,
        plant_ignore_what_peers_told,
        plant_fetch_forks,
        plant_skip_baseline,
        plant_forget_highest,
    ],
)
def test_planted_mistakes_are_found(plant, monkeypatch):
    plant(monkeypatch)
    with pytest.raises(BrokenRuleError):
        walk_all()
