from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from monsoontray.decisions.cold import COLD_WINDOW_S, ColdLimits
from monsoontray.decisions.guard import (
    FAILURE_THRESHOLD,
    LATE_WAIT_SHARE,
    MIN_SERVICE_TIME_SHARE,
    PROBE_INTERVAL_S,
    RECENT_RESPONSE_S,
    WRITE_PROBE_INTERVAL_S,
    Granted,
    GuardState,
    Queued,
)
from monsoontray.decisions.outcomes import Ran, Reason, refuse_not_run
from monsoontray.decisions.servers import ServerRecord, ServerState
from monsoontray.decisions.waiting import SlotRequest

RECORD = ServerRecord("s", "catalogue", "1", (), 2, 130, ServerState.SERVING)


def test_calls_beyond_slots_and_queue_are_refused():
    guard = GuardState(RECORD, queue_limit=1)
    assert guard.request_slot("a", SlotRequest(9.0, 0)) == Granted()
    assert guard.request_slot("b", SlotRequest(9.0, 0)) == Granted()
    assert guard.request_slot("c", SlotRequest(9.0, 0)) == Queued()
    assert guard.request_slot("d", SlotRequest(9.0, 0)) == refuse_not_run(
        Reason.NO_SLOT
    )
    assert guard.release_slot(1.0) == "c"
    assert guard.release_slot(1.0) is None
    assert guard.in_use == 1


def test_connections_limit_the_running_calls():
    guard = GuardState(replace(RECORD, connections=1), 0)
    assert guard.request_slot("a", SlotRequest(9.0, 0)) == Granted()
    assert guard.request_slot("b", SlotRequest(9.0, 0)) == refuse_not_run(
        Reason.NO_SLOT
    )


def test_queue_orders_calls_by_priority_then_deadline():
    guard = GuardState(replace(RECORD, slots=1), 9)
    guard.request_slot("runs", SlotRequest(9.0, 0))
    guard.request_slot("low", SlotRequest(2.0, 5))
    guard.request_slot("later", SlotRequest(8.0, 1))
    guard.request_slot("sooner", SlotRequest(7.0, 1))
    order = [guard.release_slot(0.0) for _ in range(3)]
    assert order == ["sooner", "later", "low"]


def test_expired_or_removed_call_gets_no_slot():
    guard = GuardState(replace(RECORD, slots=1), 9)
    guard.request_slot("runs", SlotRequest(9.0, 0))
    guard.request_slot("late", SlotRequest(2.0, 0))
    guard.request_slot("removed", SlotRequest(8.0, 0))
    guard.request_slot("waits", SlotRequest(9.0, 0))
    assert guard.remove_waiting("removed")
    assert not guard.remove_waiting("removed")
    assert guard.release_slot(3.0) == "waits"


def test_leaving_server_refuses_new_calls_and_keeps_running_ones():
    guard = GuardState(RECORD, 9)
    guard.request_slot("runs", SlotRequest(9.0, 0))
    guard.update_record(replace(RECORD, state=ServerState.LEAVING), 0.0)
    assert guard.request_slot("new", SlotRequest(9.0, 0)) == refuse_not_run(
        Reason.SERVER_LEAVING
    )
    assert guard.in_use == 1


def test_free_slot_is_granted_at_once_although_overdue_calls_are_still_queued():
    guard = GuardState(replace(RECORD, slots=1), 9)
    guard.request_slot("runs", SlotRequest(9.0, 0))
    assert guard.request_slot("overdue", SlotRequest(1.0, 0)) == Queued()
    assert guard.release_slot(2.0) is None
    assert guard.request_slot("new", SlotRequest(9.0, 0), 2.0) == Granted()


def test_added_slots_are_granted_to_queued_calls():
    guard = GuardState(replace(RECORD, slots=1), 9)
    for name in "abcd":
        guard.request_slot(name, SlotRequest(9.0, 0))
    assert guard.update_record(replace(RECORD, slots=3), 0.0) == ["b", "c"]


@settings(max_examples=200, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["call", "end", "leave-queue", "slots"]), st.integers(1, 4)
        ),
        max_size=60,
    )
)
def test_running_calls_never_exceed_the_slots(events):
    guard = GuardState(RECORD, 3)
    running: set[int] = set()
    waiting: set[int] = set()
    slots = RECORD.slots
    for number, (event, value) in enumerate(events):
        if event == "call":
            outcome = guard.request_slot(number, SlotRequest(1e9, value))
            if outcome == Granted():
                running.add(number)
                assert len(running) <= slots
            elif outcome == Queued():
                waiting.add(number)
        elif event == "end" and running:
            running.pop()
            granted = guard.release_slot(0.0)
            if granted is not None:
                waiting.remove(granted)
                running.add(granted)
                assert len(running) <= slots
        elif event == "leave-queue" and waiting:
            assert guard.remove_waiting(waiting.pop())
        elif event == "slots":
            slots = value
            for granted in guard.update_record(replace(RECORD, slots=value), 0.0):
                waiting.remove(granted)
                running.add(granted)
                assert len(running) <= slots
        assert guard.in_use == len(running)
        assert len(guard.waiting) == len(waiting) <= 3


def send(guard, call, now):
    """Send a call if it gets a slot; return whether it did."""
    is_granted = guard.request_slot(call, SlotRequest(99.0, 0), now) == Granted()
    if is_granted:
        guard.record_sent(call, now)
    return is_granted


def test_cold_server_stays_within_its_limit_in_any_second():
    record = replace(RECORD, slots=100, cold_until=50.0, cold_per_s=20.0)
    guard = GuardState(record, 9, ColdLimits(1.5, 5.0))
    times = []
    for i in range(400):
        now = i * 0.01
        if send(guard, i, now):
            times.append(now)
            guard.release_slot(now)
    for start in times:
        assert sum(start <= time < start + 1.0 for time in times) <= 35
    assert len(times) > 60


# A restarted node sent a cold server as many calls as its earlier process just had.
@pytest.mark.parametrize("killed_after_s", [0.1, 0.4, 0.9])
def test_cold_server_stays_within_its_limit_when_its_node_restarts(killed_after_s):
    record = replace(RECORD, slots=100, cold_until=50.0, cold_per_s=21.0)
    cold = ColdLimits(1.5, 5.0)
    starts = []

    def send_between(guard, begin, end):
        for i in range(int(begin * 200), int(end * 200)):
            now = i / 200
            if send(guard, i, now):
                starts.append(now)
                guard.release_slot(now)

    send_between(GuardState(record, 9, cold), 2.0, 3.0 + killed_after_s)
    started_at = 3.0 + killed_after_s + 0.2
    restarted = GuardState(record, 9, cold, started_at + COLD_WINDOW_S)
    send_between(restarted, started_at + 0.2, started_at + 5.0)
    for begin in starts:
        in_a_second = [each for each in starts if begin <= each < begin + 1.0]
        assert len(in_a_second) <= 21.0 * 1.5 + 5.0
    refusal = GuardState(record, 9, cold, 9.0).request_slot(0, SlotRequest(99.0, 0), 8)
    assert (refusal.reason, refusal.retry_after_s) == (Reason.SERVER_COLD, 1.0)


# Requests that were sent long after they got their slots reached a cold server beside
# as many others as it takes.
def test_cold_server_stays_within_its_limit_when_requests_are_sent_late():
    record = replace(RECORD, slots=12, cold_until=50.0, cold_per_s=20.0)
    guard = GuardState(record, 9, ColdLimits(1.5, 5.0))
    late = [f"upload-{i}" for i in range(6)]
    for call in late:
        assert guard.request_slot(call, SlotRequest(99.0, 0), 0.0) == Granted()
    sent = []
    for i in range(400):
        now = i * 0.01
        if late and now > 1.5 and len(sent) % 5 == 0:
            guard.record_sent(late.pop(), now)
            sent.append(now)
            guard.release_slot(now)
        if send(guard, i, now):
            sent.append(now)
            guard.release_slot(now)
    assert not late
    for start in sent:
        assert sum(start <= time < start + 1.0 for time in sent) <= 35
    assert len(sent) > 60


def test_call_that_gives_up_its_slot_unsent_does_not_count_for_a_cold_server():
    record = replace(RECORD, slots=12, cold_until=50.0, cold_per_s=1.0)
    guard = GuardState(record, 9, ColdLimits(1.0, 1.0))
    assert guard.request_slot("a", SlotRequest(99.0, 0), 0.0) == Granted()
    assert not send(guard, "b", 2.0)
    guard.record_unsent("a")
    guard.release_slot(2.0)
    assert send(guard, "b", 2.0)


def test_unconfirmed_server_is_treated_as_cold():
    record = replace(RECORD, slots=100, cold_per_s=1.0)
    guard = GuardState(record, 9, ColdLimits(1.0, 0.5))
    assert send(guard, "a", 1.0)
    guard.confirmed = False
    refusal = guard.request_slot("b", SlotRequest(99.0, 0), 1.0)
    assert (refusal.reason, refusal.ran) == (Reason.SERVER_COLD, Ran.NOT_RUN)
    guard.confirmed = True
    assert guard.request_slot("b", SlotRequest(99.0, 0), 1.0) == Granted()


def test_closed_guard_refuses_every_call():
    guard = GuardState(RECORD, 9)
    guard.closed_reason = Reason.ZONE_EVACUATED
    assert guard.request_slot("a", SlotRequest(9.0, 0)) == refuse_not_run(
        Reason.ZONE_EVACUATED
    )


def test_call_that_would_wait_past_its_deadline_is_refused_at_once():
    guard = GuardState(replace(RECORD, slots=1), 99)
    guard.record_result(0.1, failed=False)
    guard.request_slot("runs", SlotRequest(9.0, 1), 0.0)
    assert guard.request_slot("waits", SlotRequest(0.3, 1), 0.0) == Queued()
    refusal = guard.request_slot("too late", SlotRequest(0.25, 1), 0.0)
    assert refusal.reason is Reason.NO_SLOT
    assert refusal.retry_after_s == pytest.approx(0.2)
    # A call with a higher priority does not wait behind the queued one.
    assert guard.request_slot("urgent", SlotRequest(0.25, 0), 0.0) == Queued()


def test_load_report_of_cold_server_has_fewer_slots():
    record = replace(RECORD, slots=9, cold_until=5.0, cold_per_s=20.0)
    guard = GuardState(record, 9)
    guard.record_result(0.1, failed=False)
    assert guard.report_load(0.0).slots == 2
    assert guard.report_load(6.0).slots == 9


def test_response_is_recent_for_a_short_time():
    guard = GuardState(RECORD, 0)
    assert not guard.responded_recently(10.0)
    guard.last_response_at = 9.8
    assert guard.responded_recently(10.0)
    assert not guard.responded_recently(10.0 + RECENT_RESPONSE_S)


def test_cold_refusal_states_when_the_next_call_is_accepted():
    cold = replace(RECORD, slots=9, cold_until=100.0, cold_per_s=2.0)
    guard = GuardState(cold, 9, ColdLimits(1.0, 1.0))
    assert send(guard, "a", now=1.0)
    assert send(guard, "b", now=1.5)
    refused = guard.request_slot("c", SlotRequest(9.0, 0), now=1.6)
    assert refused.reason is Reason.SERVER_COLD
    assert refused.retry_after_s == pytest.approx(1.0 + COLD_WINDOW_S - 1.6)
    assert (
        guard.request_slot("d", SlotRequest(9.0, 0), now=1.0 + COLD_WINDOW_S)
        == Granted()
    )


def request_slots(guard, count, **options):
    """Request a number of slots; return the outcomes."""
    return [
        guard.request_slot(i, SlotRequest(9.0, 1, **options), 0.0) for i in range(count)
    ]


def test_late_calls_are_queued_behind_calls_on_time():
    guard = GuardState(replace(RECORD, slots=1), 64)
    guard.service_s = 0.1
    assert request_slots(guard, 3, objective=0.45) == [Granted(), Queued(), Queued()]
    late = guard.request_slot("late", SlotRequest(9.0, 0, objective=0.1), 0.0)
    assert late == Queued()
    assert guard.request_slot("soon", SlotRequest(9.0, 2, 1.0), 0.0) == Queued()
    order = [guard.release_slot(0.0) for _ in range(4)]
    assert order == [1, 2, "soon", "late"]


def test_overloaded_server_refuses_instead_of_answering_all_late():
    guard = GuardState(replace(RECORD, slots=2), 64)
    guard.service_s = 0.1
    outcomes = [
        guard.request_slot(i, SlotRequest(0.8, 1, objective=0.3), 0.0)
        for i in range(40)
    ]
    assert outcomes[:2] == [Granted()] * 2
    refused = [each for each in outcomes if each not in (Granted(), Queued())]
    assert {each.reason for each in refused} == {Reason.NO_SLOT}
    # The last queued call waits for 8 calls, two at a time, and then takes its own
    # service time.
    assert len(outcomes) - len(refused) == 2 + 8
    assert 8 * 0.1 / 2 + MIN_SERVICE_TIME_SHARE * 0.1 <= LATE_WAIT_SHARE * 0.8
    assert 9 * 0.1 / 2 + MIN_SERVICE_TIME_SHARE * 0.1 > LATE_WAIT_SHARE * 0.8
    assert all(each.retry_after_s > 0 for each in refused)


def test_mean_time_of_the_route_decides_whether_a_call_is_late():
    guard = GuardState(replace(RECORD, slots=1), 64)
    guard.service_s = 0.01
    guard.run_times["scan"] = 1.0
    assert guard.request_slot("a", SlotRequest(9.0, 1), 0.0) == Granted()
    guard.request_slot("scan", SlotRequest(9.0, 1, 0.5, "scan"), 0.0)
    guard.request_slot("read", SlotRequest(9.0, 1, 0.5, "read"), 0.0)
    assert guard.release_slot(0.0) == "read"


def test_no_wait_call_gets_a_free_slot_or_a_load_report():
    guard = GuardState(RECORD, queue_limit=9)
    at_once = SlotRequest(9.0, 0, may_wait=False)
    assert guard.request_slot("a", at_once) == Granted()
    assert guard.request_slot("b", at_once) == Granted()
    refusal = guard.request_slot("c", at_once)
    assert (refusal.reason, refusal.ran) == (Reason.SLOTS_BUSY, Ran.NOT_RUN)
    assert (refusal.load.calls, refusal.load.slots) == (2, 2)
    assert guard.request_slot("d", SlotRequest(9.0, 0)) == Queued()
    # A released slot goes to a queued call first.
    assert guard.release_slot(1.0) == "d"
    assert guard.request_slot("e", at_once).reason is Reason.SLOTS_BUSY


def record_failures(guard, times=FAILURE_THRESHOLD):
    for _ in range(times):
        guard.record_result(0.001, failed=True)


def test_failing_server_refuses_calls_that_can_go_elsewhere():
    guard = GuardState(replace(RECORD, slots=9), 9)
    order = SlotRequest(99.0, 0, may_wait=False)
    read = replace(order, idempotent=True)
    record_failures(guard, FAILURE_THRESHOLD - 1)
    assert guard.request_slot("a", order, 1.0) == Granted()
    record_failures(guard, 1)
    assert guard.request_slot("b", read, 1.0) == Granted()  # a probe
    refusal = guard.request_slot("c", read, 1.0 + PROBE_INTERVAL_S / 2)
    assert (refusal.reason, refusal.ran) == (Reason.SERVER_FAILING, Ran.NOT_RUN)
    assert refusal.load.failure_rate > 0.3
    # A call that no other server can run is not refused.
    assert guard.request_slot("d", replace(order, may_wait=True), 1.1) == Granted()
    guard.record_result(0.1, failed=False)
    assert guard.request_slot("e", order, 1.1) == Granted()


def test_failing_server_is_probed_by_reads_before_orders():
    guard = GuardState(replace(RECORD, slots=99), 9)
    order = SlotRequest(99.0, 0, may_wait=False)
    read = replace(order, idempotent=True)
    record_failures(guard)
    assert guard.request_slot("a", order, 1.0) == Granted()
    for step in range(1, 4):
        now = 1.0 + step * PROBE_INTERVAL_S
        assert guard.request_slot(f"o{step}", order, now).ran is Ran.NOT_RUN
        assert guard.request_slot(f"r{step}", read, now) == Granted()
    later = 1.0 + 3 * PROBE_INTERVAL_S + WRITE_PROBE_INTERVAL_S
    assert guard.request_slot("b", order, later) == Granted()


def test_queued_call_that_would_end_too_late_is_not_started():
    """Of the runs at full servers, a fifth once ended after their callers had left."""
    guard = GuardState(replace(RECORD, slots=1), 64)
    guard.service_s = 0.1
    guard.run_times["read"] = 0.1
    assert (
        guard.request_slot("runs", SlotRequest(9.0, 1, 9.0, "read"), 0.0) == Granted()
    )
    assert guard.request_slot("a", SlotRequest(1.0, 1, 1.0, "read"), 0.0) == Queued()
    assert guard.request_slot("b", SlotRequest(9.0, 2, 9.0, "read"), 0.0) == Queued()
    last_start = 1.0 - MIN_SERVICE_TIME_SHARE * 0.1
    assert guard.pop_overdue(last_start - 0.01) is None
    assert guard.release_slot(last_start) == "b"
    assert guard.pop_overdue(last_start) == "a"
    assert guard.pop_overdue(last_start) is None
    assert not guard.waiting


def test_load_report_has_the_mean_time_of_the_route():
    guard = GuardState(RECORD, 9)
    guard.record_result(0.2, failed=False, route="scan")
    guard.record_result(0.02, failed=False, route="read")
    guard.record_result(0.001, failed=True, route="read")
    assert guard.report_load(0.0, "scan").run_s == pytest.approx(0.2)
    assert guard.report_load(0.0, "read").run_s == pytest.approx(0.02)
    assert guard.report_load(0.0, "other").run_s == 0.0
    assert 0.02 < guard.report_load(0.0, "read").service_s < 0.2
    guard.remove_routes_except({"read"})
    assert guard.report_load(0.0, "scan").run_s == 0.0


def test_failed_calls_do_not_lower_the_service_time():
    guard = GuardState(RECORD, 9)
    guard.record_result(0.2, failed=False)
    record_failures(guard, 50)
    assert guard.service_s == pytest.approx(0.2)


def test_call_whose_deadline_passed_during_a_pause_gets_no_free_slot():
    guard = GuardState(RECORD, 4)
    expired = guard.request_slot("a", SlotRequest(10.0, 0), 10.5)
    assert expired == refuse_not_run(Reason.DEADLINE_PASSED)
    assert guard.request_slot("b", SlotRequest(11.0, 0), 10.5) == Granted()
