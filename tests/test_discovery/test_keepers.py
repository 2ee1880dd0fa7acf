"""Nodes that keep departures for each other, in a network in memory."""

from __future__ import annotations

from functools import partial

import msgspec
import pytest
from msgspec.structs import replace

from monsoontray.decisions.announcements import (
    MAX_DEPARTURES,
    Announcement,
    AnnouncementEffect,
    Departure,
)
from monsoontray.decisions.departures import RETENTION_S, KeptDepartures
from monsoontray.decisions.directory import ListedNode
from monsoontray.decisions.offers import KEEPERS, PeerCount, choose_keepers
from monsoontray.decisions.servers import Location, ServerState
from monsoontray.discovery import keepers as keepers_module
from monsoontray.discovery.departures import MAX_RECOVERY_S
from monsoontray.discovery.encoding import (
    DepartureOffer,
    decode_departure_offer,
    encode_departure_offer,
)
from monsoontray.discovery.keepers import TIMEOUT_S, DepartureKeepers
from monsoontray.discovery.messages import (
    DeparturesOffered,
    ServerAnnounced,
    ServerLeft,
    StoreChanged,
    StoreListed,
)
from monsoontray.discovery.service import Discovery, handle_message
from monsoontray.forwarding.messages import UpdateLocalServers
from monsoontray.http.client import HttpResponse
from monsoontray.kernel.mailbox import Reply
from monsoontray.kernel.timers import Timers
from monsoontray.store.outcomes import Record
from tests.fakes import FakeKernel

HEARTBEAT = Announcement("i-1", "one", "v1", 9, ServerState.SERVING, 0.0, 1000, 1)
TRANSIT_S = 0.005
ZONES = 3


class NodeKernel(FakeKernel):
    """Kernel of one process of a node, with the two tasks that handle departures."""

    def __init__(self, network, index):
        super().__init__(node=f"node-{index}", zone=f"zone-{index % ZONES}")
        self.clock = network.clock
        self.index = index
        self.keepers = DepartureKeepers(self)
        self.discovery = Discovery(self)

    def post(self, name, message):
        super().post(name, message)
        if name == "departure-keepers":
            self.keepers.now = self.clock.now()
            keepers_module.handle_message(message, self.keepers)
        elif name == "membership":
            handle_message(message, self.discovery)

    def announce(self, **changes):
        reply = Reply(self.clock)
        announcement = replace(HEARTBEAT, **changes)
        self.post("membership", ServerAnnounced(announcement, reply))

    def deregister(self, born=0):
        self.post("membership", ServerLeft("i-1", born, Reply(self.clock)))

    @property
    def usable_servers(self):
        """Servers that the forwarding task was last told it may use."""
        updates = [m for m in self.posted["forwarding"] if _is_local_update(m)]
        servers = updates[-1].servers if updates else ()
        return [
            each.record.server
            for each in servers
            if each.record.state is ServerState.SERVING
        ]


def _is_local_update(message):
    return isinstance(message, UpdateLocalServers)


class Network:
    """Nodes in three zones that list each other; the store takes no departures."""

    def __init__(self, clock, size):
        self.clock = clock
        self.timers = Timers()
        self.unreachable = set()  # indexes of nodes
        self.exchanges = 0
        self.nodes = [NodeKernel(self, i) for i in range(size)]
        for node in self.nodes:
            self.list_nodes(node)
        self.run(MAX_RECOVERY_S)

    def describe(self, node):
        """Return the record of a node in the store."""
        name, address = f"node-{node.index}", f"127.0.0.1:{node.index + 1}"
        described = ListedNode(
            name,
            "norte",
            f"zone-{node.index % ZONES}",
            address,
            address,
            1,
            False,
            None,
        )
        return Record(f"nodes/{name}", 5, msgspec.json.encode(described))

    def list_nodes(self, node, listed=None):
        listed = self.nodes if listed is None else listed
        records = tuple(self.describe(each) for each in listed)
        node.post("membership", StoreListed(records, 5))

    def restart(self, index, listed=None):
        """Replace the process of a node by one that knows nothing."""
        self.nodes[index] = NodeKernel(self, index)
        self.list_nodes(self.nodes[index], listed)
        return self.nodes[index]

    def send(self, task, request, on_end):
        self.exchanges += 1
        receiver = self.nodes[request.address.port - 1]
        now = self.clock.now()
        if receiver.index in self.unreachable:
            self.timers.add(request.response_deadline, partial(on_end, None))
            return
        self.timers.add(
            now + TRANSIT_S, partial(self.answer, receiver, request, on_end)
        )

    def answer(self, receiver, request, on_end):
        answers = []
        reply = type("Reply", (), {"put": lambda _, answer: answers.append(answer)})()
        receiver.post("departure-keepers", DeparturesOffered(request.body, reply))
        on_end(HttpResponse(200, answers[0]))

    def run(self, seconds):
        end = self.clock.now() + seconds
        while True:
            due = [self.timers.find_next_deadline()]
            due += [node.discovery.find_next_deadline() for node in self.nodes]
            due = [each for each in due if each is not None and each <= end]
            if not due:
                break
            self.clock.seconds = max(min(due), self.clock.now())
            self.timers.run_due(self.clock.now())
            for node in self.nodes:
                deadline = node.discovery.find_next_deadline()
                if deadline is not None and deadline <= self.clock.now():
                    node.discovery.on_deadline()
        self.clock.seconds = end


@pytest.fixture
def start(clock, monkeypatch):
    def start_network(size):
        network = Network(clock, size)
        monkeypatch.setattr(keepers_module, "HttpExchange", network.send)
        return network

    monkeypatch.setattr(keepers_module, "HttpExchange", lambda *args: None)
    return start_network


# A late heartbeat brought a server back that had left, where the store took no write
# before the process ended that had acknowledged the leaving.
@pytest.mark.parametrize("size", [2, 6, 24, 195])
@pytest.mark.parametrize("leaves", [True, False])
@pytest.mark.parametrize("is_early", [True, False])
def test_leaving_that_the_store_never_took_binds_the_next_process(
    start, size, leaves, is_early
):
    network = start(size)
    node = network.nodes[1]
    node.announce()
    assert node.usable_servers == ["i-1"]
    if leaves:
        node.announce(sequence=2, state=ServerState.LEAVING)
    else:
        node.deregister()
    network.run(0.5)
    later = network.restart(1)
    if is_early:
        later.announce(sequence=3)
        assert later.usable_servers == []
        network.run(0.1)
    else:
        network.run(0.1)
        later.announce(sequence=3)
    assert later.usable_servers == []
    later.announce(born=HEARTBEAT.born + 200_000)
    assert later.usable_servers == ["i-1"]


def test_third_process_knows_of_the_leaving_as_well(start):
    network = start(6)
    network.nodes[1].announce()
    network.nodes[1].deregister(HEARTBEAT.born)
    network.run(0.5)
    network.restart(1)
    network.run(0.5)
    for index in (0, 2, 3, 4, 5):
        network.restart(index)
    network.run(1.5)
    later = network.restart(1)
    network.run(0.5)
    later.announce(sequence=3)
    assert later.usable_servers == []


@pytest.mark.parametrize("lost", range(6))
def test_leaving_is_known_although_a_node_is_lost(start, lost):
    network = start(6)
    network.nodes[1].announce()
    network.nodes[1].deregister(HEARTBEAT.born)
    network.run(0.5)
    network.unreachable = {lost} - {1}
    later = network.restart(1)
    later.announce(sequence=3)
    network.run(TIMEOUT_S + 0.1)
    assert later.usable_servers == []


def test_server_is_used_at_once_if_keepers_answer_or_fail(start):
    network = start(6)
    network.unreachable = {0, 2, 3}
    later = network.restart(1)
    later.announce()
    network.run(TIMEOUT_S + 0.01)
    assert later.usable_servers == ["i-1"]


# While the store had been out, the leases of all nodes had lapsed: the next process
# found no node to ask, and used the server.
@pytest.mark.parametrize("returns_after_s", [0.2, 3.0])
def test_nodes_that_are_listed_late_are_asked(start, returns_after_s):
    network = start(6)
    network.nodes[1].announce()
    network.nodes[1].deregister(HEARTBEAT.born)
    network.run(0.5)
    later = network.restart(1, listed=())
    later.announce(sequence=3)
    network.run(returns_after_s)
    assert later.usable_servers == ([] if returns_after_s < MAX_RECOVERY_S else ["i-1"])
    records = tuple(network.describe(each) for each in network.nodes)
    later.post("membership", StoreChanged(records, (), 6))
    network.run(0.1)
    assert later.usable_servers == []
    network.run(MAX_RECOVERY_S)
    assert later.usable_servers == []


def test_single_node_uses_its_server_after_a_short_time(start):
    network = start(1)
    later = network.restart(0)
    later.announce()
    assert later.usable_servers == []
    network.run(MAX_RECOVERY_S)
    assert later.usable_servers == ["i-1"]


def test_record_of_a_node_is_written_once_at_its_start(start):
    network = start(6)
    later = network.restart(1)
    later.announce()
    assert later.posted["publisher"] == []
    network.run(1.0)
    assert len(later.posted["publisher"]) == 1


@pytest.mark.parametrize("size", [6, 24, 195])
def test_departure_takes_few_exchanges_whatever_the_fleet(start, size):
    network = start(size)
    network.exchanges = 0
    network.nodes[1].announce()
    network.nodes[1].deregister(HEARTBEAT.born)
    network.run(0.5)
    assert network.exchanges == KEEPERS.local + KEEPERS.remote
    network.restart(1)
    network.run(0.5)
    assert network.exchanges <= 12


def test_keepers_are_the_same_for_each_process_and_differ_between_nodes(start):
    listed = start(24).nodes[0].discovery._directory.get_nodes()
    count = PeerCount(2, 1)
    chosen = set()
    for node in listed:
        location = Location(node.node, node.region, node.zone)
        keepers = choose_keepers(location, listed, count)
        assert keepers == choose_keepers(location, reversed(listed), count)
        assert node not in keepers
        assert [each.zone == node.zone for each in keepers] == [True, True, False]
        chosen.update(each.node for each in keepers)
    assert len(chosen) > 12


def test_kept_departures_are_bounded_and_forgotten():
    kept = KeptDepartures()
    kept.add("node-1", [Departure("i-1", 7, 100), Departure("i-1", 7, 90)], 0.0)
    assert kept.find("node-1", 1.0) == (Departure("i-1", 7, 100),)
    assert kept.find("node-2", 1.0) == ()
    kept.add("node-1", [Departure(f"i-{i}", 7, i) for i in range(40)], 1.0)
    assert len(kept.find("node-1", 1.0)) == MAX_DEPARTURES
    assert kept.find("node-1", 1.0 + RETENTION_S) == ()
    for i in range(3_000):
        kept.add(f"node-{i}", [Departure("i-1", 7, 100)], 2.0)
    assert kept.find("node-2999", 3.0)
    assert not kept.find("node-0", 3.0)


def test_odd_offer_is_refused(start):
    node = start(2).nodes[0]
    many = tuple(Departure("i-1", i, 1) for i in range(MAX_DEPARTURES + 1))
    odd = [
        b"",
        b"\xc1",
        b"[" * 10_000,
        encode_departure_offer(DepartureOffer("n", many)),
    ]
    for body in odd:
        reply = Reply(node.clock)
        node.post("departure-keepers", DeparturesOffered(body, reply))
        assert reply.wait(node.clock.now()) == b""
    assert node.posted["metrics"].count("departures") == len(odd)
    offer = DepartureOffer("n", (Departure("i-1", 7, 100),))
    assert decode_departure_offer(encode_departure_offer(offer)) == offer


def test_heartbeat_before_the_recovery_is_acknowledged(start):
    network = start(6)
    later = network.restart(1)
    reply = Reply(later.clock)
    later.post("membership", ServerAnnounced(HEARTBEAT, reply))
    assert reply.wait(later.clock.now()) is AnnouncementEffect.CHANGED
