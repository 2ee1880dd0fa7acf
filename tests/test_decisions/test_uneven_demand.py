"""Zones whose demand peaks at different times, in the model of entry nodes."""

from __future__ import annotations

import math
from collections import Counter
from functools import partial

import pytest

from monsoontray.decisions.outcomes import Refusal
from tests.test_decisions.test_balance import Fleet, Model, ModelCall, Route

SWING = 0.5
PERIOD_S = 11.0


class UnevenModel(Model):
    """Model in which each zone's demand swings, a third of a period apart."""

    def __init__(self, seed: int, demand: float, full_memory_s: float) -> None:
        servers = {"a": 14, "b": 10, "c": 11}
        per_s = demand * 35 * 3 / 0.22
        fleet = Fleet(
            servers, 3, 36,
            Route("read", 0.22, 0.9 * per_s, 0.9, 2.0),
            Route("upload", 0.22, 0.1 * per_s, 0.9, 2.0, 4_000),
            3.0, 14.0,
        )  # fmt: skip
        super().__init__(seed, fleet)
        self.full_memory_s = full_memory_s
        self.zones = {each.server: each.zone for each in self.endpoints}
        self.far_refusals = 0
        self.far_runs = 0
        self.ended = Counter()
        self.late_by_zone = Counter()

    def arrive(self, route):
        delay_s = self.random.expovariate(route.per_s * (1 + SWING))
        self.schedule(delay_s, partial(self.arrive, route))
        entry = self.random.randrange(self.fleet.entry_nodes)
        phase = 2 * math.pi * (self.now / PERIOD_S + entry % 3 / 3)
        if self.random.random() < (1 + SWING * math.sin(phase)) / (1 + SWING):
            self.calls += self.now > self.fleet.warm_up_s
            self.offer(ModelCall(route, entry, self.now))

    def is_far(self, call):
        zone = list(self.fleet.servers_by_zone)[call.entry % 3]
        return zone != self.zones[call.server]

    def handle_refusal(self, call, refusal: Refusal):
        self.far_refusals += self.is_far(call)
        super().handle_refusal(call, refusal)

    def finish(self, call, run_s):
        super().finish(call, run_s)
        self.far_runs += self.is_far(call)
        zone = call.entry % 3
        self.ended[zone] += 1
        self.late_by_zone[zone] += self.now - call.started_at > call.route.objective_s


def run(seed, demand, full_memory_s):
    model = UnevenModel(seed, demand, full_memory_s)
    model.run()
    return model


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("demand", [0.8, 1.1])
def test_zones_with_peaks_in_turn_send_fewer_calls_afar_and_answer_as_many_on_time(
    seed, demand
):
    before, after = run(seed, demand, 0.0), run(seed, demand, 1.0)
    assert after.far_runs / after.calls < 0.8 * before.far_runs / before.calls
    assert after.late / after.calls <= before.late / before.calls


@pytest.mark.parametrize("seed", [1, 2])
def test_no_zone_is_late_through_the_peak_of_its_neighbour(seed):
    """At seven tenths of the room each peak fits into the fleet, not into its zone."""
    model = run(seed, 0.7, 1.0)
    assert model.far_runs > 0.1 * model.calls
    for zone in range(3):
        assert model.late_by_zone[zone] < 0.05 * model.ended[zone]
    assert model.failed == 0
