from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from monsoontray.decisions.admission import Entitlements
from monsoontray.decisions.adoption import (
    Adoption,
    AdoptionState,
    enforce,
    evaluate_version,
    may_enforce,
)
from monsoontray.decisions.enforcement import (
    PendingVersion,
    Readiness,
    decide_readiness,
    have_enough_peers_answered,
)
from monsoontray.decisions.servers import Endpoint, ServerTable
from monsoontray.decisions.version_tracker import VersionTracker
from monsoontray.plans.model import (
    NO_VERSION,
    Lists,
    Plan,
    Route,
    ServiceEntry,
    Version,
    VersionName,
)

names = st.builds(VersionName, st.integers(1, 8), st.sampled_from(["a", "b"]))


@settings(max_examples=300, derandomize=True)
@given(st.lists(st.tuples(st.booleans(), names), max_size=40))
def test_version_in_force_never_decreases(events):
    state = AdoptionState()
    for is_fetched, name in events:
        before = state.in_force
        if is_fetched and may_enforce(state, name):
            state = enforce(state, name)
        else:
            state, _ = evaluate_version(state, name)
        assert state.in_force.number >= before.number
        assert state.highest.number >= state.in_force.number
        if state.in_force.number == before.number:
            assert state.in_force == before


def test_second_digest_of_a_number_is_never_fetched():
    state = enforce(AdoptionState(), VersionName(4, "a"))
    assert evaluate_version(state, VersionName(4, "b"))[1] is Adoption.FORK
    state, adoption = evaluate_version(state, VersionName(5, "a"))
    assert adoption is Adoption.FETCH
    assert evaluate_version(state, VersionName(5, "b"))[1] is Adoption.FORK
    assert evaluate_version(state, VersionName(3, "a"))[1] is Adoption.IGNORE


def build_pending(number: int, deadline: float = 10.0) -> PendingVersion:
    plan = Plan("order", (Route("/orders", "orders", "swatches"),))
    lists = Lists((), (plan,), (ServiceEntry("orders", ("swatches",)),))
    version = Version(number, None, "ana", 0.0, lists)
    return PendingVersion(Entitlements(VersionName(number, "d"), version), deadline)


def build_table(*resources: str) -> ServerTable:
    endpoint = Endpoint(
        "s", "orders", "1", 9, "n", "r", "z", "127.0.0.1:1", frozenset(resources)
    )
    return ServerTable([endpoint])


def test_version_waits_for_services_that_its_routes_refer_to():
    known = NO_VERSION
    pending = build_pending(1)
    for table in (ServerTable(), build_table("scans")):
        readiness = decide_readiness(pending, known, table, 9.0)
        assert readiness is Readiness.REFERENCES_MISSING
    table = build_table("swatches")
    assert decide_readiness(pending, known, table, 9.0) is Readiness.READY
    assert decide_readiness(pending, known, ServerTable(), 10.0) is Readiness.READY


def test_restarted_node_serves_no_version_below_the_head():
    table = build_table("swatches")
    baseline = VersionName(3, "d")
    older = decide_readiness(build_pending(2), baseline, table, 0.0)
    assert older is Readiness.BELOW_BASELINE
    assert decide_readiness(build_pending(3), baseline, table, 0.0) is Readiness.READY


def test_restarted_node_waits_for_peers_while_the_store_is_unreachable():
    table = build_table("swatches")
    tracker = VersionTracker()
    tracker.offer(build_pending(2))
    assert tracker.check_readiness(table, 0.0) is Readiness.BASELINE_UNKNOWN
    tracker.set_baseline_from_peers(2, 9)
    assert tracker.check_readiness(table, 0.0) is Readiness.BASELINE_UNKNOWN
    tracker.set_baseline_from_peers(3, 9)
    assert tracker.check_readiness(table, 0.0) is Readiness.READY


def test_restarted_node_serves_no_version_below_those_its_peers_report():
    table = build_table("swatches")
    tracker = VersionTracker()
    tracker.offer(build_pending(2))
    assert tracker.evaluate_version(VersionName(3, "d")) is Adoption.FETCH
    tracker.set_baseline_from_peers(3, 9)
    assert tracker.check_readiness(table, 0.0) is Readiness.BELOW_BASELINE
    tracker.offer(build_pending(3))
    assert tracker.check_readiness(table, 0.0) is Readiness.READY


def test_answers_of_all_known_peers_are_enough_in_a_small_fleet():
    assert have_enough_peers_answered(1, 1)
    assert not have_enough_peers_answered(0, 0)
