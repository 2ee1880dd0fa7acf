"""Calls that wait at the guards of local servers."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from msgspec.structs import replace

from monsoontray.decisions.cold import ColdLimits
from monsoontray.decisions.guard import (
    Granted,
    GuardState,
    Queued,
    SlotRequest,
)
from monsoontray.decisions.outcomes import Ran, Reason
from monsoontray.decisions.servers import ServerRecord, ServerState
from monsoontray.forwarding.guards import LocalGuards, _fail_waiting
from monsoontray.forwarding.messages import LocalServer, UpdateLocalServers
from monsoontray.kernel.clock import ManualClock

RECORD = ServerRecord("i-1", "one", "v1", (), 1, 130, ServerState.SERVING)


class FakeCall:
    """Call whose end cancels the other calls of its caller, which wait as well."""

    def __init__(self, guard):
        self.guard = guard
        self.route = SimpleNamespace(name="read")
        self.others = []
        self.refusals = []

    def fail_attempt(self, refusal):
        self.refusals.append(refusal)
        for other in self.others:
            self.guard.remove_waiting(other)


@pytest.fixture
def guard():
    guard = GuardState(RECORD, 9)
    guard.request_slot("running", SlotRequest(9.0, 0))
    return guard


@pytest.fixture
def calls(guard):
    """Two waiting calls of one caller."""
    calls = [FakeCall(guard) for _ in range(2)]
    for call in calls:
        call.others = [other for other in calls if other is not call]
        assert guard.request_slot(call, SlotRequest(2.0, 0)) == Queued()
    return calls


def test_call_that_was_cancelled_meanwhile_is_not_failed_as_well(guard, calls):
    _fail_waiting(guard, Reason.SERVER_LEAVING)
    assert [len(call.refusals) for call in calls] == [1, 0]
    assert not guard.waiting


def test_overdue_call_is_refused_as_not_run_when_a_slot_is_released(guard, calls):
    bounds = SimpleNamespace(cold_factor=1.0, cold_slack=0.0)
    forwarder = SimpleNamespace(now=2.0)
    guards = LocalGuards(forwarder, SimpleNamespace(bounds=bounds))
    guards.release_slot(guard, "running")
    assert [len(call.refusals) for call in calls] == [1, 0]
    (refusal,) = calls[0].refusals
    assert (refusal.reason, refusal.ran) == (Reason.NO_SLOT, Ran.NOT_RUN)
    assert guard.in_use == 0


LEAVING = replace(RECORD, state=ServerState.LEAVING)


def start_guards(calls_at=()):
    bounds = SimpleNamespace(cold_factor=1.0, cold_slack=0.0)
    forwarder = SimpleNamespace(
        now=0.5,
        containment=SimpleNamespace(update_servers=lambda records: None),
        limits=SimpleNamespace(guard_queue_length=9, capacity_min_share=1.0),
        find_calls_at=lambda guard: list(calls_at),
        route_table=None,
        location=SimpleNamespace(zone="zone-a"),
        evacuated_zones=(),
        http_profile=SimpleNamespace(callers_assign_call_ids=False),
        versions=SimpleNamespace(find_closed_reason=lambda guard, now: None),
    )
    return LocalGuards(forwarder, SimpleNamespace(bounds=bounds))


def announce(guards, record):
    guards.update_servers(UpdateLocalServers((LocalServer(record, None),)))


# A call that waited for a slot was sent to a server long after this had said that it
# leaves.
def test_waiting_calls_go_to_other_servers_when_theirs_leaves():
    guards = start_guards()
    announce(guards, RECORD)
    guard = guards.find("i-1")
    guard.request_slot("running", SlotRequest(9.0, 0))
    call = FakeCall(guard)
    assert guard.request_slot(call, SlotRequest(9.0, 0)) == Queued()
    announce(guards, LEAVING)
    (refusal,) = call.refusals
    assert (refusal.reason, refusal.ran) == (Reason.SERVER_LEAVING, Ran.NOT_RUN)
    assert guard.release_slot(1.0) is None


@pytest.mark.parametrize("may_run", [False, True])
def test_call_of_which_nothing_was_sent_goes_to_another_server(guard, may_run):
    call = FakeCall(guard)
    call.is_active = True
    call.aborted = []
    call.request = SimpleNamespace(
        may_run=may_run, abort=lambda: call.aborted.append(True)
    )
    guards = start_guards([call])
    announce(guards, LEAVING)
    assert len(call.refusals) == len(call.aborted) == (0 if may_run else 1)


def test_leaving_server_gets_no_waiting_call(guard, calls):
    guard.update_record(LEAVING, 0.5)
    assert guard.release_slot(0.5) is None
    assert guard.in_use == 0


# A node that was held up between two events counted requests to a cold server when the
# first event came, and sent them later, beside as many others.
def test_request_is_counted_when_it_is_sent_not_when_its_event_came():
    counted = []
    usage = SimpleNamespace(count=counted.append)
    forwarder = SimpleNamespace(now=1.0, clock=ManualClock(1.25), usage=usage)
    bounds = SimpleNamespace(cold_factor=1.0, cold_slack=0.0)
    guards = LocalGuards(forwarder, SimpleNamespace(bounds=bounds))
    cold = replace(RECORD, slots=9, cold_until=9.0, cold_per_s=2.0)
    guard = GuardState(cold, 9, ColdLimits(1.0, 1.0))
    for name in "ab":
        call = FakeCall(guard)
        assert guard.request_slot(name, SlotRequest(9.0, 0), 1.0) == Granted()
        guards.record_sent(call)
        guard.record_unsent(name)
    assert guard.request_slot("c", SlotRequest(9.0, 0), 2.2) != Granted()
    assert guard.request_slot("c", SlotRequest(9.0, 0), 2.31) == Granted()
    assert len(counted) == 2
