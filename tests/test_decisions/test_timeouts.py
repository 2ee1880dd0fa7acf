from __future__ import annotations

from monsoontray.decisions.timeouts import (
    MIN_TIMEOUT_S,
    TIMEOUT_FACTOR,
    ResponseTimes,
)


def test_timeout_follows_the_load_of_the_server():
    times = ResponseTimes()
    assert times.compute_timeout("read", 0.0) == MIN_TIMEOUT_S
    assert times.compute_timeout("read", 0.2) == 0.2 * TIMEOUT_FACTOR


def test_slow_route_has_a_longer_timeout():
    times = ResponseTimes()
    for _ in range(200):
        times.record("report", 1.0)
        times.record("read", 0.05)
    assert times.compute_timeout("report", 0.1) > 0.99 * TIMEOUT_FACTOR
    assert times.compute_timeout("read", 0.1) == 0.1 * TIMEOUT_FACTOR


def test_remove_except_removes_other_routes():
    times = ResponseTimes()
    times.record("removed", 1.0)
    times.record("kept", 1.0)
    times.remove_except({"kept", "new"})
    assert times.compute_timeout("removed", 0.0) == MIN_TIMEOUT_S
    assert times.compute_timeout("kept", 0.0) == TIMEOUT_FACTOR
