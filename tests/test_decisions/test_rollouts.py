from __future__ import annotations

from random import Random

import msgspec
from msgspec.structs import replace

from monsoontray.decisions.rollouts import (
    MIN_EVIDENCE_CALLS,
    PHASE_SHARES,
    SLOW_FACTOR,
    SUSPICION_LIFETIME_S,
    Phase,
    RolloutPlan,
    ServerEvidence,
    VersionSuspicion,
    decide_phase,
    is_blocked,
    is_version_bad,
    select_servers,
)
from monsoontray.rollouts.service import CHECK_INTERVAL_S
from tests.test_decisions.test_servers import build_endpoint

PLAN = RolloutPlan(7, "catalogue", "v2", 10.0, Phase.CANARY, 0.5)
NEW = ServerEvidence("v2", 50, False, {})
OLD = ServerEvidence("v1", 500, False, {})
LATE_S = 9.0


def decide(phase, evidence, elapsed_s=LATE_S, in_phase_s=5.0):
    plan = msgspec.structs.replace(PLAN, phase=phase)
    return decide_phase(plan, elapsed_s, in_phase_s, evidence)


def count_until_suspected(random, bad_share, limit, slow_s=0.1, baseline_s=None):
    suspicion = VersionSuspicion()
    for i in range(1, limit + 1):
        bad = random.random() < bad_share
        if baseline_s is None:
            suspicion.record_call("r", 0.1, bad, None, 0.0)
        else:
            suspicion.record_call("r", slow_s if bad else 0.1, False, baseline_s, 0.0)
        if suspicion.is_suspected(0.0):
            return i
    return limit


def test_good_version_passes_through_every_phase():
    phase, seen = Phase.WAITING, []
    while phase is not Phase.DONE:
        phase = decide(phase, [NEW, NEW, OLD])
        seen.append(phase)
    assert seen == [
        Phase.CANARY,
        Phase.QUARTER,
        Phase.HALF,
        Phase.FULL,
        Phase.DONE,
    ]


def test_phase_ends_after_its_time_and_with_enough_evidence():
    assert decide(Phase.WAITING, [OLD]) is Phase.WAITING
    assert decide(Phase.CANARY, [NEW], elapsed_s=3.9) is Phase.CANARY
    assert decide(Phase.CANARY, [NEW], in_phase_s=0.5) is Phase.CANARY
    few = replace(NEW, calls=MIN_EVIDENCE_CALLS - 1)
    assert decide(Phase.CANARY, [few]) is Phase.CANARY
    assert decide(Phase.CANARY, [NEW]) is Phase.QUARTER


def test_version_failing_on_several_servers_is_rolled_back_in_any_phase():
    suspect = replace(NEW, suspected=True)
    for phase in (Phase.CANARY, Phase.QUARTER, Phase.HALF, Phase.FULL):
        evidence = [suspect, suspect, NEW, OLD, OLD]
        assert decide(phase, evidence, 0.0, 0.0) is Phase.ROLLED_BACK
    assert decide(Phase.DONE, [suspect, suspect]) is Phase.DONE
    assert decide(Phase.ROLLED_BACK, [NEW]) is Phase.ROLLED_BACK


def test_one_failing_server_of_many_delays_the_next_phase_only():
    suspect = replace(NEW, suspected=True)
    assert decide(Phase.QUARTER, [suspect, NEW, NEW, OLD]) is Phase.QUARTER
    assert is_version_bad([suspect], [OLD])
    assert is_version_bad([suspect, replace(NEW, calls=0)], [OLD])


def test_fault_of_both_versions_needs_a_second_strike():
    suspect = replace(NEW, suspected=True, strikes=1)
    old = replace(OLD, suspected=True)
    assert not is_version_bad([suspect, suspect], [old, old, OLD])
    suspected_twice = replace(suspect, strikes=2)
    assert is_version_bad([suspected_twice, suspect], [old, old, OLD])


def test_bad_version_is_detected_within_few_calls():
    random = Random(11)
    for share, max_calls in ((0.5, 20), (0.33, 45)):
        calls = sorted(count_until_suspected(random, share, 500) for _ in range(200))
        assert calls[189] <= max_calls  # 95th percentile


def test_rare_failures_seldom_make_a_good_version_suspected():
    random = Random(12)
    found = [count_until_suspected(random, 0.03, 300) < 300 for _ in range(300)]
    assert sum(found) <= 3


def test_slow_calls_count_as_failed_once_there_is_a_baseline():
    random = Random(13)
    slow_s = 0.1 * SLOW_FACTOR * 1.5
    found = [
        count_until_suspected(random, 0.5, 200, slow_s, baseline_s=0.1)
        for _ in range(100)
    ]
    assert max(found) < 60
    assert count_until_suspected(random, 0.5, 200, 0.15, baseline_s=0.1) == 200


def test_suspicion_lasts_while_calls_in_progress_succeed():
    suspicion = VersionSuspicion()
    results = [suspicion.record_call("r", 0.1, True, None, 1.0) for _ in range(6)]
    assert results.count(True) == 1
    for _ in range(50):
        assert not suspicion.record_call("r", 0.1, False, None, 1.5)
    assert suspicion.is_suspected(1.5)
    assert not suspicion.is_suspected(1.0 + SUSPICION_LIFETIME_S)


def test_one_bad_route_among_good_ones_is_detected():
    suspicion = VersionSuspicion()
    for i in range(100):
        suspicion.record_call("good", 0.1, False, None, 0.0)
        suspicion.record_call("good", 0.1, False, None, 0.0)
        suspicion.record_call("bad", 0.1, i % 2 == 0, None, 0.0)
        if suspicion.is_suspected(0.0):
            break
    assert suspicion.is_suspected(0.0)
    assert i < 20


def test_servers_are_selected_by_the_share_of_the_phase():
    old = build_endpoint("old", "zone-a", version="v1")
    new = build_endpoint("new", "zone-a", version="v2")

    def select(phase, servers, is_retry=False, draw=0.01):
        plan = msgspec.structs.replace(PLAN, phase=phase)
        return select_servers(plan, servers, is_retry, draw)

    both = [old, new]
    assert select(Phase.WAITING, both) == [old]
    assert select(Phase.CANARY, both) == [new]
    assert select(Phase.CANARY, both, draw=0.9) == [old]
    assert select(Phase.CANARY, both, is_retry=True) == [old]
    assert select(Phase.CANARY, [new], draw=0.9) == []
    assert select(Phase.FULL, both, draw=0.99) == [new]
    assert select(Phase.DONE, both, draw=0.99) == [new]
    assert select(Phase.DONE, [old]) == [old]
    assert select(Phase.ROLLED_BACK, [new]) == []


def test_share_of_the_calls_goes_to_the_same_share_of_the_servers():
    servers = [build_endpoint(f"n{i}", "zone-a", version="v2") for i in range(8)]
    for phase, count in ((Phase.CANARY, 2), (Phase.QUARTER, 2), (Phase.HALF, 4)):
        plan = msgspec.structs.replace(PLAN, phase=phase)
        chosen = select_servers(plan, servers[::-1], False, 0.0)
        assert chosen == servers[:count]
    plan = msgspec.structs.replace(PLAN, phase=Phase.FULL)
    assert select_servers(plan, servers, False, 0.0) == servers


def test_version_without_a_share_is_blocked():
    def blocks(phase, version):
        return is_blocked(msgspec.structs.replace(PLAN, phase=phase), version)

    assert blocks(Phase.WAITING, "v2")
    assert blocks(Phase.ROLLED_BACK, "v2")
    assert not blocks(Phase.ROLLED_BACK, "v1")
    assert not blocks(Phase.CANARY, "v2")
    assert not is_blocked(None, "v2")


def test_new_version_gets_little_exposure_before_the_last_phase():
    plan = msgspec.structs.replace(PLAN, period_s=16.0)
    elapsed_s, phase_start_s, exposed = 0.0, 0.0, 0.0
    while plan.phase is not Phase.FULL:
        elapsed_s += CHECK_INTERVAL_S
        exposed += PHASE_SHARES[plan.phase] * CHECK_INTERVAL_S / plan.period_s
        phase = decide_phase(
            plan, elapsed_s, elapsed_s - phase_start_s, [NEW, NEW, OLD]
        )
        if phase is not plan.phase:
            plan = msgspec.structs.replace(plan, phase=phase)
            phase_start_s = elapsed_s
    # A bad version may get at most a tenth of all calls during the whole rollout.
    assert exposed < 0.08


def test_servers_suspected_one_after_the_other_count_together():
    suspect = replace(NEW, suspected=True, strikes=1)
    earlier = replace(NEW, strikes=1)
    assert is_version_bad([suspect, earlier, NEW], [OLD, OLD])
    assert not is_version_bad([suspect, NEW, NEW], [OLD, OLD])
    assert not is_version_bad([earlier, earlier, NEW], [OLD, OLD])
