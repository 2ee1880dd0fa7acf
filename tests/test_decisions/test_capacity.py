"""What a server takes well, learned from its calls, in a model of one busy server."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from bench.capacity import END_S, LOADS, Fixed, Model
from monsoontray.decisions.capacity import Capacity
from monsoontray.decisions.guard import GuardState, SlotRequest
from monsoontray.decisions.servers import ServerRecord, ServerState

RECORD = ServerRecord("s", "x", "1", (), 6, 400, ServerState.SERVING)
SEEDS = [1, 2, 3, 4]
LOAD_BY_NAME = {load.name: load for load in LOADS}


def run(name, seed, way=Capacity):
    load = LOAD_BY_NAME[name]
    model = Model(seed, load, way(load.slots))
    model.run()
    return model


def compute_share(model):
    return model.on_time / model.calls


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", ["collapses from half full", "collapses, 9 slots"])
def test_server_that_collapses_when_full_answers_twice_as_many_calls_on_time(
    name, seed
):
    announced = compute_share(run(name, seed, Fixed))
    assert compute_share(run(name, seed)) > 2 * announced


@pytest.mark.parametrize("seed", SEEDS)
def test_limit_follows_a_change_in_both_directions(seed):
    """A server slows down from half full in the middle third of the time."""
    model = run("collapses for 10 s", seed)
    begin, end = END_S / 3, END_S * 2 / 3
    before = model.compute_mean_limit(begin - 5, begin)
    meanwhile = model.compute_mean_limit(begin + 2, end)
    after = model.compute_mean_limit(end + 2, END_S)
    assert before > 5.5
    assert meanwhile < 4.5
    assert after > 5.5


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "name",
    [
        "steady",
        "steady, slow server",
        "steady, fast server",
        "slows a little",
        "slow spells",
        "slow spells, 9 slots",
        "inner calls wait",
        "idle every other second",
    ],
)
def test_server_whose_throughput_grows_to_the_last_slot_keeps_its_slots(name, seed):
    """The first seconds and a change cost a few trials; nothing else may be lost."""
    announced = compute_share(run(name, seed, Fixed))
    assert compute_share(run(name, seed)) > announced - 0.06


def fill(capacity, seconds_when_full, rounds=40):
    """Run calls one and six at a time, which take so long when there are six."""
    now = 0.0
    for number in range(rounds):
        calls = 6 if number % 2 else 1
        seconds = seconds_when_full if calls == 6 else 0.1
        for call in range(calls):
            capacity.start(call, now)
        now += seconds
        for call in range(calls):
            capacity.observe(call, "read", seconds, now)
    return now


def test_limit_is_learned_and_forgotten_with_the_incarnation():
    capacity = Capacity(6)
    assert capacity.get_learned_limit() == 6
    fill(capacity, 0.6)
    assert capacity.get_learned_limit() == 3
    capacity.update(6, is_restarted=False)
    assert capacity.get_learned_limit() == 3
    capacity.update(6, is_restarted=True)
    assert capacity.get_learned_limit() == 6


def test_nothing_is_learned_while_no_call_ends():
    capacity = Capacity(6)
    now = fill(capacity, 0.6)
    estimate = capacity.get_estimate()
    capacity.start("late", now + 60.0)
    capacity.end("late", now + 61.0)
    assert capacity.get_estimate() == estimate


def test_slow_calls_of_one_route_are_no_slowing():
    capacity = Capacity(6)
    now = 0.0
    for number in range(60):
        calls, route, seconds = (6, "report", 1.0) if number % 2 else (1, "read", 0.1)
        for call in range(calls):
            capacity.start(call, now)
        now += seconds
        for call in range(calls):
            capacity.observe(call, route, seconds, now)
    assert capacity.get_learned_limit() == 6


def test_guard_runs_and_reports_the_learned_limit():
    capacity = Capacity(6)
    now = fill(capacity, 0.6)
    guard = GuardState(RECORD, 9, capacity=capacity)
    for call in range(9):
        guard.request_slot(call, SlotRequest(now + 9.0, 0), now)
    assert guard.in_use == guard.report_load(now).slots == 3
    guard.update_record(replace(RECORD, born=1), now)
    assert guard.report_load(now).slots == 6
