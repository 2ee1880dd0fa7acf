from __future__ import annotations

from monsoontray.decisions.patience import (
    MIN_PATIENCE_S,
    PATIENCE_FACTOR,
    ResponseTimes,
)


def test_patience_follows_the_load_of_the_server():
    times = ResponseTimes()
    assert times.find_patience("read", 0.0) == MIN_PATIENCE_S
    assert times.find_patience("read", 0.2) == 0.2 * PATIENCE_FACTOR


def test_a_route_that_takes_longer_than_others_has_more_patience():
    times = ResponseTimes()
    for _ in range(200):
        times.note("report", 1.0)
        times.note("read", 0.05)
    assert times.find_patience("report", 0.1) > 0.99 * PATIENCE_FACTOR
    assert times.find_patience("read", 0.1) == 0.1 * PATIENCE_FACTOR


def test_routes_that_are_gone_are_forgotten():
    times = ResponseTimes()
    times.note("gone", 1.0)
    times.note("kept", 1.0)
    times.forget_except({"kept", "new"})
    assert times.find_patience("gone", 0.0) == MIN_PATIENCE_S
    assert times.find_patience("kept", 0.0) == PATIENCE_FACTOR
