from __future__ import annotations

import math

from hypothesis import given
from hypothesis import strategies as st

from monsoontray.decisions.budget import RetryBudget

WINDOW_S = 10.0


def test_retries_are_a_share_of_the_calls_plus_an_allowance():
    budget = RetryBudget(0.2, WINDOW_S, 2.0)
    assert [budget.try_retry(0.0) for _ in range(3)] == [True, True, False]
    for _ in range(10):
        budget.count_call(1.0)
    assert [budget.try_retry(1.0) for _ in range(3)] == [True, True, False]
    assert budget.try_retry(10.5)  # the first two have left the window


def test_every_retry_is_allowed_without_a_limit():
    budget = RetryBudget(math.inf, WINDOW_S, 0.0)
    budget.count_call(0.0)
    assert all(budget.try_retry(0.1) for _ in range(100))


@given(
    st.lists(
        st.tuples(st.floats(0.0, 0.5), st.sampled_from(["call", "retry"])),
        max_size=200,
    )
)
def test_no_window_has_more_retries_than_the_limit(steps):
    budget = RetryBudget(0.2, WINDOW_S, 3.0)
    now, calls, retries = 0.0, [], []
    for pause, kind in steps:
        now += pause
        if kind == "call":
            budget.count_call(now)
            calls.append(now)
        elif budget.try_retry(now):
            retries.append(now)
            recent = [time for time in retries if time > now - WINDOW_S]
            base = [time for time in calls if time > now - WINDOW_S]
            assert len(recent) <= 0.2 * len(base) + 3.0
