"""An estimate of capacity that fails, at a guard that goes on without it."""

from __future__ import annotations

import math

import pytest
from msgspec.structs import replace

from monsoontray.decisions.capacity import Capacity
from monsoontray.decisions.fallible_capacity import FallibleCapacity
from monsoontray.decisions.guard import Granted, GuardState, SlotRequest
from tests.test_decisions.test_capacity import RECORD, fill


class FaultyCapacity(Capacity):
    """Estimate that fails from one of its calls on."""

    __slots__ = ("fault", "is_faulty")

    def __init__(self, slots):
        super().__init__(slots)
        self.is_faulty = False
        self.fault = ValueError("math domain error")

    def get_estimate(self):
        if self.is_faulty:
            raise self.fault
        return super().get_estimate()


class Estimates:
    """Builder that keeps the estimates, and the faults that are reported."""

    def __init__(self):
        self.built = []
        self.reported = []

    def build(self, slots):
        self.built.append(FaultyCapacity(slots))
        return self.built[-1]


@pytest.fixture
def estimates():
    return Estimates()


@pytest.fixture
def guard(estimates):
    capacity = FallibleCapacity(6, estimates.build, estimates.reported.append)
    return GuardState(RECORD, 9, capacity=capacity)


def run_calls(guard, count, now):
    for call in range(count):
        outcome = guard.request_slot(call, SlotRequest(now + 9.0, 0), now)
        assert isinstance(outcome, Granted)
    for call in range(count):
        guard.record_result(0.1, failed=False, route="read")
        guard.observe_capacity(call, "read", 0.1, now + 0.1)
        guard.record_unsent(call, now + 0.1)
        guard.release_slot(now + 0.1)


# One fault of the estimate ended the node, with every call that it held.
def test_fault_of_the_estimate_costs_no_call_and_is_reported_once(guard, estimates):
    now = fill(guard.capacity, 0.6)
    assert guard.report_load(now).slots == 3
    estimates.built[0].is_faulty = True
    run_calls(guard, 6, now)
    run_calls(guard, 6, now + 1.0)
    assert guard.in_use == 0
    assert guard.report_load(now).slots == 6
    assert guard.describe_slowing() is None
    assert estimates.reported == [estimates.built[0].fault]


def test_next_incarnation_has_an_estimate_again(guard, estimates):
    estimates.built[0].is_faulty = True
    run_calls(guard, 6, 0.0)
    guard.update_record(replace(RECORD, slots=4), 1.0)
    assert guard.report_load(1.0).slots == 4
    assert len(estimates.built) == 1
    guard.update_record(replace(RECORD, slots=4, born=1), 1.0)
    assert len(estimates.built) == 2
    fill(guard.capacity, 0.6)
    assert guard.report_load(9.0).slots == 2


def test_mistake_in_the_program_is_no_fault_of_arithmetic(guard, estimates):
    estimates.built[0].is_faulty = True
    estimates.built[0].fault = TypeError("not a number")
    with pytest.raises(TypeError):
        run_calls(guard, 1, 0.0)
    assert estimates.reported == []


@pytest.mark.parametrize("fault", [ZeroDivisionError(), OverflowError()])
def test_faults_of_arithmetic_are_borne(guard, estimates, fault):
    estimates.built[0].is_faulty = True
    estimates.built[0].fault = fault
    run_calls(guard, 1, math.pi)
    assert estimates.reported == [fault]
