from __future__ import annotations

from random import Random

from monsoontray.decisions.fleet import NodeRecord, NodeState
from monsoontray.decisions.servers import Location
from monsoontray.decisions.watching import (
    MAX_SEEDS,
    choose_seeds,
    choose_unknown_addresses,
    may_request_lease,
)

LOCATION = Location("own", "norte", "zone-a")


def build_record(node: str, zone: str = "zone-a", **changes) -> NodeRecord:
    return NodeRecord(node, "norte", zone, "g", "p", 1, 1, **changes)


def test_lease_is_requested_only_without_another_live_watcher_in_the_zone():
    watcher = build_record("a", watching=True)
    assert not may_request_lease(LOCATION, [watcher])
    assert may_request_lease(LOCATION, [build_record("own", watching=True)])
    assert may_request_lease(LOCATION, [build_record("a", "zone-b", watching=True)])
    suspect = build_record("a", watching=True, state=NodeState.SUSPECT)
    assert may_request_lease(LOCATION, [suspect])


def test_seeds_come_from_the_zone_of_the_node_and_from_others():
    near = {"own": "own-address", **{f"n{i}": f"near-{i}" for i in range(20)}}
    far = {f"f{i}": f"far-{i}" for i in range(20)}
    directory = {"norte/zone-a": near, "norte/zone-b": far}
    seeds = choose_seeds(LOCATION, directory, Random(1))
    assert len(set(seeds)) == MAX_SEEDS
    assert "own-address" not in seeds
    assert sum(seed.startswith("near") for seed in seeds) == MAX_SEEDS // 2
    assert choose_seeds(LOCATION, {"norte/zone-a": {"own": "x"}}, Random(1)) == ()


def test_only_addresses_of_unknown_nodes_are_chosen():
    directory = {"norte/zone-a": {"a": "1", "b": "2"}, "norte/zone-b": {"c": "3"}}
    assert set(choose_unknown_addresses(["a"], directory, Random(1))) == {"2", "3"}
    assert choose_unknown_addresses(["a", "b", "c"], directory, Random(1)) == ()
