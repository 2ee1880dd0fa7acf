from __future__ import annotations

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from monsoontray.decisions.fleet import (
    FAILURES_TO_SUSPECT,
    SUSPICION_TIMEOUT_S,
    TOMBSTONE_RETENTION_S,
    Fleet,
    NodeRecord,
    NodeState,
)
from monsoontray.decisions.servers import ServerRecord, ServerState
from monsoontray.decisions.view import MAX_OTHER_ZONE_NODES, MAX_SAME_ZONE_NODES


def build_record(node: str, sequence: int = 1, **changes) -> NodeRecord:
    zone = changes.pop("zone", "zone-a")
    return NodeRecord(
        node, "norte", zone, "127.0.0.1:1", "127.0.0.1:2", 1, sequence, **changes
    )


def build_fleet(*nodes: str) -> Fleet:
    fleet = Fleet(build_record("own"))
    fleet.merge([build_record(node) for node in nodes], 0.0)
    return fleet


records = st.builds(
    build_record,
    st.sampled_from(["a", "b", "c", "own"]),
    st.integers(1, 4),
    state=st.sampled_from(NodeState),
)


@settings(max_examples=200, derandomize=True)
@given(st.lists(records, max_size=12), st.randoms(use_true_random=False))
def test_merge_does_not_depend_on_order_or_repetition(updates, random):
    known = [build_record(node, 0) for node in ("a", "b", "c")]
    first = Fleet(build_record("own"))
    second = Fleet(build_record("own"))
    first.merge(known, 0.0)
    second.merge(known, 0.0)
    others = [record for record in updates if record.node != "own"]
    for record in others:
        first.merge([record], 0.0)
    shuffled = others * 2
    random.shuffle(shuffled)
    second.merge(shuffled, 0.0)
    stamps = {record.node: record.get_stamp() for record in first.get_records()}
    assert stamps == {r.node: r.get_stamp() for r in second.get_records()}
    assert first.get_digest() == second.get_digest()


@settings(max_examples=200, derandomize=True)
@given(st.lists(records, max_size=12), st.lists(records, max_size=12))
def test_repair_makes_the_records_of_two_nodes_equal(left_updates, right_updates):
    left, right = Fleet(build_record("left")), Fleet(build_record("right"))
    left.merge([*left_updates, right.own], 0.0)
    right.merge([*right_updates, left.own], 0.0)
    differences = left.compare(right.get_stamps())
    answer = right.select_records(differences.wanted)
    right.merge(differences.ours, 0.0)
    left.merge(answer, 0.0)
    assert left.get_digest() == right.get_digest()


def test_node_refutes_suspicion_with_newer_record():
    fleet = build_fleet("a")
    suspicion = replace(fleet.own, state=NodeState.SUSPECT)
    assert fleet.merge([suspicion], 0.0)
    assert fleet.own.state is NodeState.ALIVE
    assert fleet.own.get_stamp().is_newer_than(suspicion.get_stamp())


def test_restarted_node_overrides_record_of_its_earlier_process():
    fleet = build_fleet("a")
    earlier = replace(fleet.own, incarnation=9, sequence=50)
    fleet.merge([earlier], 0.0)
    assert fleet.own.get_stamp().is_newer_than(earlier.get_stamp())


def test_unresponsive_node_is_suspected_then_dead_then_removed():
    fleet = build_fleet("a")
    failures = [fleet.record_failure("a", 0.0) for _ in range(FAILURES_TO_SUSPECT)]
    assert failures[-1]
    assert not any(failures[:-1])
    assert not fleet.expire(SUSPICION_TIMEOUT_S - 0.1)
    assert fleet.expire(SUSPICION_TIMEOUT_S)
    assert fleet.select_records(["a"])[0].state is NodeState.DEAD
    assert fleet.choose_peers(3, Random(1)) == []
    fleet.expire(SUSPICION_TIMEOUT_S + TOMBSTONE_RETENTION_S)
    assert fleet.select_records(["a"]) == []


def test_refuted_suspect_stays_alive():
    fleet = build_fleet("a")
    for _ in range(FAILURES_TO_SUSPECT):
        fleet.record_failure("a", 0.0)
    fleet.merge([build_record("a", 2)], 1.0)
    assert not fleet.expire(SUSPICION_TIMEOUT_S + 1.0)
    assert fleet.select_records(["a"])[0].state is NodeState.ALIVE


def test_server_table_has_only_serving_servers():
    def build_server(name, state):
        return ServerRecord(name, "catalogue", "1", (), 2, 9, state)

    servers = (
        build_server("serving", ServerState.SERVING),
        build_server("leaving", ServerState.LEAVING),
    )
    fleet = build_fleet()
    fleet.merge([build_record("a", servers=servers)], 0.0)
    found = fleet.build_server_table().find("catalogue")
    assert [endpoint.server for endpoint in found] == ["serving"]


def test_changed_record_is_pushed_a_limited_number_of_times():
    fleet = build_fleet(*"abcdefg")
    pushed = 0
    while fleet.has_updates():
        pushed += len(fleet.take_updates())
        assert pushed < 200
    fleet.merge([build_record("a", 2)], 0.0)
    assert [record.node for record in fleet.take_updates()] == ["a"]


def test_most_exchanges_stay_in_the_zone_of_the_node():
    fleet = build_fleet("a", "b")
    fleet.merge([build_record(n, zone="zone-b") for n in "cdef"], 0.0)
    random = Random(7)
    chosen = [fleet.choose_peers(1, random)[0].zone for _ in range(400)]
    assert 40 < chosen.count("zone-b") < 160


def test_node_that_gets_no_answer_from_many_peers_suspects_later():
    fleet = build_fleet(*"abcdef")
    for node in "bcdef":
        fleet.record_failure(node, 0.0)
    failures = [fleet.record_failure("a", 0.0) for _ in range(FAILURES_TO_SUSPECT + 5)]
    assert not any(failures[:FAILURES_TO_SUSPECT])
    assert failures[-1]
    fleet.expire(SUSPICION_TIMEOUT_S)
    assert fleet.select_records(["a"])[0].state is NodeState.SUSPECT


def test_view_is_small_and_rotates_through_all_nodes():
    names = [f"n{i}" for i in range(40)]
    fleet = build_fleet(*names[:30])
    fleet.merge([build_record(n, zone="zone-b") for n in names[30:]], 0.0)
    random = Random(3)

    def read_view():
        return {record.node for record in fleet.choose_peers(99, random)}

    view = read_view()
    assert len(view) == MAX_SAME_ZONE_NODES + MAX_OTHER_ZONE_NODES
    assert read_view() == view
    seen = set(view)
    for _ in range(300):
        fleet.rotate_view(random)
        seen |= read_view()
    assert seen == set(names)


def test_dead_node_is_removed_from_the_view():
    fleet = build_fleet("a")
    assert fleet.choose_peers(1, Random(1))[0].node == "a"
    fleet.merge([build_record("a", 5, state=NodeState.DEAD)], 0.0)
    assert fleet.choose_peers(1, Random(1)) == []
