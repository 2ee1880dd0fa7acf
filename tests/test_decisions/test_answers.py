"""Bytes that calls bring back from other zones, in the model of entry nodes."""

from __future__ import annotations

import pytest

from monsoontray.decisions.answers import AnswerSizes
from tests.test_decisions.test_balance import Fleet, Model, Route

ANSWER_BYTES = {"read": 800, "listing": 60_000}


class AnswerModel(Model):
    """Model in which each zone has the servers for its calls, with few to spare."""

    def __init__(self, seed: int, weight: float) -> None:
        sizes = AnswerSizes(weight)
        for route, size in ANSWER_BYTES.items():
            sizes.record(route, size)
        per_s = 0.75 * 36 * 3 / 0.22
        routes = [
            Route(name, 0.22, share * per_s, 0.9, 2.0, sizes.add_to(0, name))
            for name, share in (("read", 0.8), ("listing", 0.2))
        ]
        fleet = Fleet(dict.fromkeys("abc", 12), 3, 36, *routes, 3.0, 14.0)
        super().__init__(seed, fleet)
        self.zones = {each.server: each.zone for each in self.endpoints}
        self.far_bytes = 0

    def finish(self, call, run_s):
        super().finish(call, run_s)
        if "abc"[call.entry % 3] != self.zones[call.server]:
            self.far_bytes += ANSWER_BYTES[call.route.name]


def run(seed, weight):
    model = AnswerModel(seed, weight)
    model.run()
    return model


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_calls_with_large_answers_stay_near_while_there_is_room_near(seed):
    before, after = run(seed, 0.0), run(seed, 1.0)
    assert after.far_bytes < 0.5 * before.far_bytes
    assert after.late <= 1.1 * before.late + 0.01 * after.calls
    assert after.failed == 0


def test_size_of_answers_is_learned_by_route_and_weighed():
    sizes = AnswerSizes(0.5)
    assert sizes.add_to(300, "listing") == 300
    for _ in range(100):
        sizes.record("listing", 4_000)
    assert sizes.add_to(300, "listing") == 2_300
    assert sizes.add_to(300, "read") == 300
    sizes.remove_except({"read"})
    assert sizes.add_to(300, "listing") == 300
