from __future__ import annotations

from random import Random

import pytest

from monsoontray.decisions.servers import Location
from monsoontray.decisions.sources import (
    StoreAccess,
    choose_readers,
    choose_store_access,
)
from tests.test_decisions.test_directory import build_node

ZONES = ("zone-a", "zone-b", "zone-c")


def build_fleet(count=12, **changes):
    return [
        build_node(f"node-{i:02}", zone=ZONES[i % 3], link_mbps=10.0, **changes)
        for i in range(count)
    ]


def choose_access(fleet, node, read_by_all=6):
    return choose_store_access(
        Location(node.node, node.region, node.zone), fleet, read_by_all, Random(1)
    )


def test_every_node_of_a_small_fleet_reads_the_store_itself():
    fleet = build_fleet(6)
    assert [choose_access(fleet, node) for node in fleet] == [StoreAccess()] * 6


def test_one_node_per_zone_reads_the_store_of_a_large_fleet():
    fleet = build_fleet()
    readers = [node.node for node in fleet if choose_access(fleet, node).for_others]
    assert readers == ["node-00", "node-01", "node-02"]
    for node in fleet[3:]:
        sources = choose_access(fleet, node).sources
        assert sources[0].zone == node.zone
        assert {source.node for source in sources} == set(readers)


@pytest.mark.parametrize("seed", range(20))
def test_choice_of_readers_does_not_depend_on_the_order_of_nodes(seed):
    fleet = build_fleet()
    shuffled = Random(seed).sample(fleet, len(fleet))
    assert choose_readers(shuffled) == choose_readers(fleet)


def test_node_with_the_fastest_link_of_a_zone_is_the_reader():
    fleet = [*build_fleet(), build_node("node-99", zone="zone-a", link_mbps=200.0)]
    assert choose_readers(fleet)["zone-a"].node == "node-99"


def test_stopping_node_is_not_a_reader():
    fleet = build_fleet()
    fleet[0] = build_node("node-00", zone="zone-a", link_mbps=10.0, stopping=True)
    assert choose_readers(fleet)["zone-a"].node == "node-03"
    assert choose_access(fleet, fleet[3]).for_others


def test_node_that_is_not_listed_yet_reads_through_the_reader_of_its_zone():
    fleet = build_fleet()
    unlisted = build_node("node-77", zone="zone-b")
    assert choose_access(fleet, unlisted).sources[0].node == "node-01"
    without_reader = build_node("node-78", zone="zone-z")
    assert choose_access(fleet, without_reader) == StoreAccess()
