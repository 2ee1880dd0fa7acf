"""Series of calls of regular, degenerate and random times, at a guard that learns."""

from __future__ import annotations

import heapq
import math
from random import Random

import pytest

from monsoontray.decisions.capacity import Capacity
from monsoontray.decisions.guard import Granted, GuardState, SlotRequest
from monsoontray.decisions.servers import ServerRecord, ServerState

CALLS = 4_000
SEEDS = range(11)
INTERVAL_S = 0.036
WAYS = (
    "equal",
    "equal, in groups",
    "quantized",
    "very short",
    "very long",
    "outliers",
    "clock goes back",
    "random",
)


def draw_times(random, way):
    """Return the seconds until the next call starts, and those that it takes."""
    if way in ("equal", "clock goes back"):
        return INTERVAL_S, 0.14
    if way == "equal, in groups":
        return random.choice((0.0, 0.0, 0.0, 4 * INTERVAL_S)), 0.14
    if way == "quantized":
        return random.choice((0.0, 0.01, 0.05)), random.choice((0.13, 0.14, 0.15))
    if way == "very short":
        return random.choice((0.0, 1e-6, 0.01)), 10.0 ** random.uniform(-300.0, -5.0)
    if way == "very long":
        return random.choice((0.0, 0.1)), random.choice((1e3, 1e6, 1e9))
    if way == "outliers":
        return INTERVAL_S, 0.14 if random.random() < 0.98 else 10.0 ** random.uniform(
            -9.0, 9.0
        )
    return random.expovariate(1.0 / INTERVAL_S), random.lognormvariate(-2.0, 1.0)


class Play:
    """Calls of one server, which end in the order of their times."""

    def __init__(self, seed, way, record):
        self.random = Random(f"{way} {seed}")
        self.way = way
        slots = min(record.slots, record.connections)
        self.capacity = Capacity(max(1, slots))
        self.guard = GuardState(record, 9, capacity=self.capacity)
        if seed % 4 == 3:
            self.guard.set_limit(self.random.choice((1e-9, 0.5, 1e6)), 0.0)
        self.running = []  # end, call and seconds
        self.now = 0.0

    def run(self):
        """Start all calls, and end those that are due."""
        for call in range(CALLS):
            pause_s, seconds = draw_times(self.random, self.way)
            self.now += pause_s
            if self.way == "clock goes back" and self.random.random() < 0.05:
                self.now -= self.random.uniform(0.0, 0.5)
            while self.running and self.running[0][0] <= self.now:
                self.end(*heapq.heappop(self.running))
            if self.way == "very long" and len(self.running) > 5:
                self.now = self.running[0][0]
            request = SlotRequest(self.now + 1.0, 0, may_wait=call % 3 == 0)
            outcome = self.guard.request_slot(call, request, self.now)
            if isinstance(outcome, Granted):
                self.start(call, seconds)
            self.check()

    def start(self, call, seconds):
        heapq.heappush(self.running, (self.now + seconds, call, seconds))

    def end(self, end, call, seconds):
        route = ("read", "order")[call % 2]
        self.guard.record_result(seconds, failed=call % 50 == 0, route=route)
        self.guard.observe_capacity(call, route, seconds, max(end, self.now))
        self.guard.record_unsent(call, self.now)
        waiting = self.guard.release_slot(self.now)
        if waiting is not None:
            self.start(waiting, seconds)

    def check(self):
        """Check what a guard reports and grants."""
        slots = self.capacity.slots
        estimate = self.capacity.get_estimate()
        assert math.isfinite(estimate.elasticity)
        assert 0.0 < estimate.deviation <= 0.6 + 1e-9
        assert math.ceil(slots / 2) <= self.capacity.get_limit() <= slots
        assert math.ceil(slots / 2) <= self.capacity.get_learned_limit() <= slots
        load = self.guard.report_load(self.now, "read")
        assert load.wait_s >= 0.0
        assert math.isfinite(load.wait_s)
        assert self.guard.compute_recheck_delay(self.now) > 0.0


def build_record(slots, connections=400):
    return ServerRecord("s", "x", "1", (), slots, connections, ServerState.SERVING)


# After some thousand regular calls, calls that ended together ended the whole node.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("way", WAYS)
def test_no_times_of_calls_fail_the_guard(way, seed):
    slots = Random(seed).choice((1, 2, 6, 9, 40))
    Play(seed, way, build_record(slots)).run()


# A service whose configuration allows no connections ended the nodes of its servers.
def test_server_without_connections_gets_no_call_and_fails_nothing():
    play = Play(1, "random", build_record(6, connections=0))
    play.run()
    assert play.guard.in_use == 0


def test_calls_end_at_a_server_whose_connections_were_withdrawn():
    play = Play(1, "equal", build_record(6))
    for call in range(6):
        play.guard.request_slot(call, SlotRequest(1.0, 0), 0.0)
    play.guard.update_record(build_record(6, connections=0), 0.0)
    for call in range(6):
        play.end(0.14, call, 0.14)
    assert play.guard.in_use == 0
