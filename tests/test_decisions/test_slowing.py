"""The filter of a server's slowing, against the same filter in fifty digits."""

from __future__ import annotations

import math
from decimal import Context, Decimal, localcontext
from random import Random

import pytest

from monsoontray.decisions import slowing
from monsoontray.decisions.slowing import SlowingFilter

DIGITS = 50
CALLS = 3_000
WAYS = ("equal", "nearly equal", "exact", "quantized", "outliers", "random")
SEEDS = range(4)


class Reference:
    """The filter as textbooks have it, with covariances, in many digits."""

    def __init__(self):
        self.pace = Decimal(0)
        self.elasticity = Decimal(slowing.PRIOR_ELASTICITY)
        self.pace_variance = Decimal(slowing.MAX_PACE_VARIANCE)
        self.elasticity_variance = Decimal(slowing.PRIOR_DEVIATION**2)
        self.covariance = Decimal(0)
        self.variance = Decimal(slowing.INITIAL_VARIANCE)

    def drift(self, seconds, elasticity_drift_per_s):
        room = max(Decimal(0), Decimal(slowing.MAX_PACE_VARIANCE) - self.pace_variance)
        added = Decimal(slowing.PACE_DRIFT_PER_S) * Decimal(seconds)
        self.pace_variance += min(room, added)
        room = Decimal(slowing.PRIOR_DEVIATION**2) - self.elasticity_variance
        added = Decimal(elasticity_drift_per_s) * Decimal(seconds)
        self.elasticity_variance += min(max(Decimal(0), room), added)

    def correct(self, time, load):
        time, load = Decimal(time), Decimal(load)
        residual = time - self.pace - load * self.elasticity
        pace_gain = self.pace_variance + load * self.covariance
        elasticity_gain = self.covariance + load * self.elasticity_variance
        total = pace_gain + load * elasticity_gain + self.variance
        bound = Decimal(slowing.MAX_DEVIATIONS) * total.sqrt()
        residual = max(-bound, min(bound, residual))
        self.pace += residual * pace_gain / total
        self.elasticity += residual * elasticity_gain / total
        most = Decimal(slowing.MAX_ELASTICITY)
        self.elasticity = min(most, max(Decimal(0), self.elasticity))
        self.pace_variance -= pace_gain * pace_gain / total
        self.elasticity_variance -= elasticity_gain * elasticity_gain / total
        self.covariance -= pace_gain * elasticity_gain / total
        noise = max(residual * residual - (total - self.variance), Decimal(0))
        self.variance += (noise - self.variance) * Decimal(slowing.VARIANCE_WEIGHT)
        self.variance = max(self.variance, Decimal(slowing.MIN_VARIANCE))


def draw_calls(seed, way):
    """Yield the relative time and the load of each call, and the time before it."""
    random = Random(f"{way} {seed}")
    elasticity = random.uniform(0.0, 1.4)
    for _ in range(CALLS):
        load = random.choice((0.0, 0.0, 1e-9, math.log(1.5), math.log(2.0)))
        seconds = random.choice((0.0, 0.0, 1e-9, 0.036, 0.25))
        time = load * elasticity
        if way == "equal":
            time = 0.0
        elif way == "nearly equal":
            time = random.uniform(-1e-9, 1e-9)
        elif way == "quantized":
            time = round(time + random.gauss(0.0, 0.05), 1)
        elif way == "outliers":
            time += random.choice((-1e6, 1e6, 30.0)) if random.random() < 0.02 else 0.0
        elif way == "random":
            time += random.gauss(0.0, 0.5)
        yield time, load, seconds


# Regular calls made the variances negative: the square root of one ended the node.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("way", WAYS)
def test_filter_agrees_with_one_of_fifty_digits(way, seed):
    known, reference = SlowingFilter(), Reference()
    with localcontext(Context(prec=DIGITS)):
        for time, load, seconds in draw_calls(seed, way):
            for each in (known, reference):
                each.drift(seconds, 0.03)
                each.correct(time, load)
            assert known.elasticity_variance > 0.0
            assert known.pace_variance > 0.0
            assert math.isclose(
                known.elasticity_variance, reference.elasticity_variance, rel_tol=1e-6
            )
            assert math.isclose(
                known.pace_variance, reference.pace_variance, rel_tol=1e-6
            )
            assert math.isclose(known.elasticity, reference.elasticity, abs_tol=1e-6)
            assert math.isclose(known.pace, reference.pace, rel_tol=1e-6, abs_tol=1e-6)


@pytest.mark.parametrize("seed", SEEDS)
def test_slowing_of_a_perfectly_regular_server_is_learned(seed):
    random = Random(seed)
    known = SlowingFilter()
    for _ in range(CALLS):
        load = random.choice((0.0, math.log(1.5), math.log(2.0)))
        known.drift(random.choice((0.0, 0.036)), 0.001)
        known.correct(1.2 * load, load)
    assert abs(known.elasticity - 1.2) < 0.05
