"""Nodes that tell each other of ended servers, in a network in memory."""

from __future__ import annotations

import math
from functools import partial

import pytest

from monsoontray.containment import peers as peers_module
from monsoontray.containment import service as service_module
from monsoontray.containment.encoding import build_end_key
from monsoontray.containment.messages import (
    RecordsOffered,
    ServerEnded,
    UpdateContainment,
)
from monsoontray.containment.peers import ACTIVE_S, ContainmentPeers
from monsoontray.containment.service import ContainmentService
from monsoontray.decisions.containment import ServerEnd
from monsoontray.decisions.directory import ListedNode
from monsoontray.decisions.offers import (
    MAX_OFFERED,
    MAX_OFFERED_BYTES,
    select_offered,
)
from monsoontray.http.client import HttpResponse
from monsoontray.kernel.timers import Timers
from tests.fakes import FakeKernel

FINGERPRINT = "0123456789abcdef" * 2
TRANSIT_S = 0.005


class NodeKernel(FakeKernel):
    """Kernel of one node of the network, with the two tasks that share records."""

    def __init__(self, network, name, zone):
        super().__init__(node=name, zone=zone)
        self.network = network
        self.clock = network.clock
        self.node = name
        self.zone = zone
        self.ends = {}
        self.peers = ContainmentPeers(self)
        self.service = ContainmentService(self)
        self.peers.open()

    def post(self, name, message):
        if name == "containment":
            service_module.handle_message(message, self.service)
        elif name == "containment-peers":
            self.peers.now = self.clock.now()
            peers_module.handle_message(message, self.peers)
        elif isinstance(message, UpdateContainment):
            self.ends = message.ends

    def ask(self, name, build, deadline):
        return self.network.listed


class Network:
    """Nodes in three zones; exchanges between zones that are cut off fail."""

    def __init__(self, clock, size):
        self.clock = clock
        self.timers = Timers()
        self.cut_zones = set()
        self.exchanges = 0
        names = [(f"node-{i}", f"zone-{i % 3}") for i in range(size)]
        self.listed = tuple(
            ListedNode(name, "norte", zone, "127.0.0.1:1", f"127.0.0.1:{i + 1}", 1,
                       False, None)
            for i, (name, zone) in enumerate(names)
        )  # fmt: skip
        self.nodes = [NodeKernel(self, name, zone) for name, zone in names]

    def send(self, task, request, on_end):
        self.exchanges += 1
        receiver = self.nodes[request.address.port - 1]
        sender = next(node for node in self.nodes if node.peers is task)
        now = self.clock.now()
        if sender.zone != receiver.zone and {sender.zone, receiver.zone} & (
            self.cut_zones
        ):
            self.timers.add(request.response_deadline, partial(on_end, None))
            return
        answer = partial(self.answer, sender, receiver, request.body, on_end)
        self.timers.add(now + TRANSIT_S, answer)

    def answer(self, sender, receiver, body, on_end):
        answers = []
        reply = type("Reply", (), {"put": lambda _, answer: answers.append(answer)})()
        receiver.post("containment-peers", RecordsOffered(body, reply))
        sender.peers.now = self.clock.now()
        on_end(HttpResponse(200, answers[0]))

    def run(self, seconds):
        end = self.clock.now() + seconds
        while (due := self.find_next_deadline()) <= end:
            now = self.clock.seconds = max(due, self.clock.now())
            for node in self.nodes:
                node.peers.now = now
                node.peers.timers.run_due(now)
            self.timers.run_due(now)
        self.clock.seconds = end

    def find_next_deadline(self):
        all_timers = [self.timers, *(node.peers.timers for node in self.nodes)]
        due = [timers.find_next_deadline() for timers in all_timers]
        return min((each for each in due if each is not None), default=math.inf)

    def end_server(self, node, server):
        end = ServerEnd(server, 7, (FINGERPRINT,))
        node.post("containment", ServerEnded(end))
        return build_end_key(end)

    def count_knowing(self, key, zones=("zone-0", "zone-1", "zone-2")):
        return sum(key in node.ends for node in self.nodes if node.zone in zones)


@pytest.fixture
def start(clock, monkeypatch):
    def start_network(size):
        network = Network(clock, size)
        monkeypatch.setattr(peers_module, "HttpExchange", network.send)
        return network

    return start_network


# An end at a node that could not reach the store was known to no other node.
@pytest.mark.parametrize(("size", "within_s"), [(6, 0.1), (24, 0.3), (195, 2.5)])
def test_all_nodes_learn_of_an_end_without_the_store(start, size, within_s):
    network = start(size)
    key = network.end_server(network.nodes[1], "i-1")
    network.run(within_s)
    assert network.count_knowing(key) == size


# After a quiet time records were compared up to 15 s after a new one.
@pytest.mark.parametrize("size", [24, 195])
def test_all_nodes_learn_of_an_end_after_a_quiet_time(start, size):
    network = start(size)
    network.end_server(network.nodes[0], "i-0")
    network.run(3 * ACTIVE_S)
    network.cut_zones = {"zone-1"}
    key = network.end_server(network.nodes[1], "i-1")
    network.run(2.5)
    assert network.count_knowing(key, ("zone-1",)) == size // 3


def test_zone_that_is_cut_off_learns_of_its_ends_and_after_the_cut_of_the_others(start):
    network = start(24)
    network.cut_zones = {"zone-1"}
    inside = network.end_server(network.nodes[1], "i-1")
    outside = network.end_server(network.nodes[0], "i-0")
    network.run(1.5)
    assert network.count_knowing(inside, ("zone-1",)) == 8
    assert network.count_knowing(inside) == 8
    assert network.count_knowing(outside) == 16
    network.cut_zones = set()
    network.run(4.0)
    assert network.count_knowing(inside) == network.count_knowing(outside) == 24


def test_started_node_learns_of_ends_without_the_store(start):
    network = start(6)
    key = network.end_server(network.nodes[1], "i-1")
    network.run(1.0)
    old = network.nodes[5]
    network.nodes[5] = NodeKernel(network, old.node, old.zone)
    network.run(1.5)
    assert key in network.nodes[5].ends


def test_exchanges_become_rare_when_nothing_changes(start):
    network = start(24)
    network.run(ACTIVE_S + 1.0)
    network.exchanges = 0
    network.run(60.0)
    assert network.exchanges == 0
    network.end_server(network.nodes[1], "i-1")
    network.run(ACTIVE_S + 10.0)
    network.exchanges = 0
    network.run(60.0)
    assert network.exchanges <= 24 * 60 / 5


def test_many_ends_at_once_are_passed_on_in_few_exchanges(start):
    network = start(24)
    keys = [network.end_server(n, f"i-{i}") for i, n in enumerate(network.nodes)]
    network.run(1.0)
    assert all(network.count_knowing(key) == 24 for key in keys)
    # At most ten times a second, to five nodes, with an answer that may bring more.
    assert network.exchanges <= 24 * 10 * 5 * 2


def test_odd_offer_is_refused_and_answered(start):
    network = start(6)
    node = network.nodes[0]
    answers = []
    reply = type("Reply", (), {"put": lambda _, answer: answers.append(answer)})()
    for body in (b"", b"\xff" * 50, b"\x91" * 100_000):
        node.post("containment-peers", RecordsOffered(body, reply))
    assert len(answers) == 3
    assert node.ends == {}


def test_offer_is_bounded_and_differs_where_it_does_not_hold_all(start):
    random = start(6).nodes[0].peers._random
    values = {f"{i}": bytes(100) for i in range(1_000)}
    first, second = (set(select_offered(values, {}, random)) for _ in range(2))
    assert len(first) == len(second) == MAX_OFFERED
    assert first != second
    large = {f"{i}": bytes(3_000) for i in range(100)}
    assert len(select_offered(large, {}, random)) <= MAX_OFFERED_BYTES / 3_000
    assert select_offered(values, values, random) == []
