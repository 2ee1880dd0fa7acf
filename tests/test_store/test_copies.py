"""What the services keep in the store, when it comes back from a copy."""

from __future__ import annotations

from random import Random

import msgspec
import pytest

from bench.mesh import build_configuration
from monsoontray.containment.messages import ServerEnded, WriteRecords
from monsoontray.containment.service import ContainmentService
from monsoontray.containment.service import handle_message as handle_containment
from monsoontray.decisions.evacuations import REWRITE_S
from monsoontray.decisions.freshness import Proof
from monsoontray.decisions.rollouts import FINAL_PHASES, Phase
from monsoontray.discovery.messages import (
    PublishDepartures,
    PublishNode,
    StoreChanged,
    StoreListed,
    StoreProven,
)
from monsoontray.discovery.publisher import Publisher
from monsoontray.discovery.publisher import handle_message as handle_publisher
from monsoontray.discovery.service import Discovery
from monsoontray.discovery.service import handle_message as handle_discovery
from monsoontray.forwarding.messages import UpdateEvacuatedZones, UpdateRoutes
from monsoontray.platform.operator import OperatorOrders
from monsoontray.platform.operator import handle_message as handle_operator
from monsoontray.rollouts.messages import RolloutOrdered
from monsoontray.rollouts.service import handle_message as handle_rollouts
from monsoontray.store.eras import build_position
from monsoontray.store.outcomes import Record
from tests.fakes import FakeKernel
from tests.meshes import READ_ROUTE
from tests.test_containment.test_service import END, KEY
from tests.test_rollouts.test_service import Node, run_nodes

ZONE = Record("op/evacuate/zone-b", 5, b"{}")
SEEDS = 200


@pytest.fixture
def kernel():
    return FakeKernel()


def list_again(store, prefix=""):
    found = tuple(r for key, r in store.records.items() if key.startswith(prefix))
    return StoreListed(found, store.revision)


def read_zones(kernel):
    updates = [
        message
        for message in kernel.posted["forwarding"]
        if isinstance(message, UpdateEvacuatedZones)
    ]
    return updates[-1].zones if updates else frozenset()


def test_evacuation_that_the_copy_lacks_holds_until_it_is_ordered_again(kernel):
    orders = OperatorOrders(kernel)
    handle_operator(StoreListed((ZONE,), 5), orders)
    handle_operator(StoreListed((), build_position(1, 4)), orders)
    assert read_zones(kernel) == {"zone-b"}
    again = Record(ZONE.key, build_position(1, 6), b"{}")
    handle_operator(StoreChanged((again,), (), again.revision), orders)
    assert orders.find_next_deadline() is None
    assert read_zones(kernel) == {"zone-b"}
    removed = Record(ZONE.key, build_position(1, 7), b"")
    handle_operator(StoreChanged((), (removed,), removed.revision), orders)
    assert read_zones(kernel) == frozenset()


def test_evacuation_that_nobody_orders_again_ends(kernel):
    orders = OperatorOrders(kernel)
    handle_operator(StoreListed((ZONE,), 5), orders)
    handle_operator(StoreListed((), build_position(1, 4)), orders)
    kernel.clock.advance(REWRITE_S)
    orders.on_deadline()
    assert read_zones(kernel) == frozenset()


def test_evacuation_that_was_taken_back_ends_at_once_in_the_same_era(kernel):
    orders = OperatorOrders(kernel)
    handle_operator(StoreListed((ZONE,), 5), orders)
    handle_operator(StoreListed((), 6), orders)
    assert read_zones(kernel) == frozenset()


def test_earlier_configuration_of_the_copy_does_not_replace_the_one_in_force(kernel):
    orders = OperatorOrders(kernel)
    for number, revision in ((4, 9), (3, build_position(1, 8))):
        value = msgspec.json.encode(build_configuration(number, READ_ROUTE))
        record = Record("op/config", revision, value)
        handle_operator(StoreListed((record,), revision), orders)
    updates = [m for m in kernel.posted["forwarding"] if isinstance(m, UpdateRoutes)]
    assert [update.table.number for update in updates] == [4]


def prove(kernel, orders, revision):
    """Return whether a proof reaches what takes keys."""
    kernel.posted.pop("forwarding", None)
    handle_operator(StoreProven(Proof(kernel.clock.now(), revision)), orders)
    return bool(kernel.posted.pop("forwarding", None))


@pytest.mark.parametrize("message_type", [StoreListed, StoreChanged])
def test_copy_proves_nothing_until_the_operator_may_have_written_again(
    kernel, message_type
):
    def read(message_type, number, revision):
        value = msgspec.json.encode(build_configuration(number, READ_ROUTE))
        records = (Record("op/config", revision, value),)
        parts = (records, ()) if message_type is StoreChanged else (records,)
        handle_operator(message_type(*parts, revision), orders)

    orders = OperatorOrders(kernel)
    read(StoreListed, 4, 9)
    assert prove(kernel, orders, 9)
    copied = build_position(1, 8)
    read(message_type, 4, copied)
    read(StoreListed, 4, copied)
    assert not prove(kernel, orders, copied)
    kernel.clock.advance(REWRITE_S + 0.1)
    assert prove(kernel, orders, copied)
    read(message_type, 4, build_position(2, 8))
    assert not prove(kernel, orders, build_position(2, 8))
    read(StoreChanged, 5, build_position(2, 9))
    assert prove(kernel, orders, build_position(2, 9))


def test_departures_and_the_node_are_written_again(kernel):
    publisher = Publisher(kernel)
    handle_publisher(PublishNode(b"me"), publisher)
    copy = kernel.store.take_copy()
    handle_publisher(PublishDepartures(b"left"), publisher)
    run_publisher(publisher, kernel, 0.1)
    kernel.store.come_back(copy)
    run_publisher(publisher, kernel, 3.0)
    values = {key: record.value for key, record in kernel.store.records.items()}
    assert values == {"nodes/node-0": b"me", "departures/node-0": b"left"}


def run_publisher(publisher, kernel, seconds):
    end = kernel.clock.now() + seconds
    while (due := publisher.find_next_deadline()) <= end:
        kernel.clock.seconds = max(due, kernel.clock.now())
        publisher.on_deadline()
    kernel.clock.seconds = end


def test_nodes_that_the_copy_lacks_do_not_write_at_the_same_time():
    due = []
    for number in range(50):
        kernel = FakeKernel(node=f"node-{number}")
        discovery, publisher = Discovery(kernel), Publisher(kernel)
        handle_discovery(StoreListed((), 9), discovery)
        discovery._departures._end_recovery()
        run_publisher(publisher, kernel, 0.1)
        kernel.pop_posted("publisher")
        handle_discovery(StoreListed((), build_position(1, 4)), discovery)
        (message,) = kernel.pop_posted("publisher")
        publisher._next_attempt_at = kernel.clock.now() + 60.0
        handle_publisher(message, publisher)
        due.append(publisher.find_next_deadline() - kernel.clock.now())
    assert max(due) <= 1.0  # a third of the lease
    busiest = max(sum(at <= each < at + 0.1 for each in due) for at in due)
    assert busiest <= 15


def test_ends_that_the_copy_lacks_stay_and_their_node_writes_them_again(kernel):
    service = ContainmentService(kernel)
    handle_containment(ServerEnded(END), service)
    (first,) = kernel.pop_posted("containment-writer")
    handle_containment(StoreListed((Record(KEY, 5, first.values[KEY]),), 5), service)
    handle_containment(StoreListed((), build_position(1, 4)), service)
    assert kernel.pop_posted("containment-writer") == [WriteRecords(first.values)]
    assert list(service._ends) == [KEY]


class Fleet:
    """Nodes that follow one rollout, whose store comes back from a copy once."""

    def __init__(self, seed):
        self.random = Random(seed)
        self.kernel = FakeKernel()
        self.nodes = [Node(self.kernel) for _ in range(3)]
        self.phases = [[] for _ in self.nodes]
        self.order()

    def order(self):
        store = self.kernel.store
        store.put("op/rollout/one", b"{}")
        order = RolloutOrdered(store.revision, "one", "v2", 10.0)
        for node in self.nodes:
            handle_rollouts(order, node.rollouts)

    def run(self, seconds):
        for _ in range(int(seconds * 10)):
            run_nodes(self.kernel, self.nodes, 0.1)
            for node, phases in zip(self.nodes, self.phases, strict=True):
                phase = node.rollouts._rollouts["one"].plan.phase
                if not phases or phases[-1] is not phase:
                    phases.append(phase)

    def come_back(self, copy):
        store = self.kernel.store
        store.come_back(copy)
        for node in self.nodes:
            node.seen = store.revision
            handle_rollouts(list_again(store, "rollouts/"), node.rollouts)
        self.order()


def test_rollout_goes_on_where_it_was():
    """The copy is up to four seconds old, and taken at any time of the rollout."""
    order = [Phase.WAITING, Phase.CANARY, Phase.QUARTER, Phase.HALF, Phase.FULL,
             Phase.DONE]  # fmt: skip
    for seed in range(SEEDS):
        fleet = Fleet(seed)
        fleet.run(fleet.random.uniform(0.0, 9.0))
        copy = fleet.kernel.store.take_copy()
        fleet.run(fleet.random.uniform(0.2, 4.0))
        fleet.come_back(copy)
        fleet.run(18.0)
        for phases in fleet.phases:
            ranks = [order.index(phase) for phase in phases]
            assert ranks == sorted(ranks), f"seed {seed}: {phases}"
            assert phases[-1] in FINAL_PHASES, f"seed {seed}: {phases}"
        status = fleet.kernel.store.records["status/rollout/one"].value
        assert b"done" in status, f"seed {seed}"
