"""After failed calls, a node whose peers tell of the store calls it rarely itself."""

from __future__ import annotations

from random import Random

import pytest

from monsoontray.decisions.store_retry import MAX_DELAY_S, MAX_LISTENING_S, StoreRetry

OUTAGE_S = 8.0


def play_outage(*, is_told, seed):
    """Return the calls of a node during an outage, and when it could call after it."""
    retry = StoreRetry(Random(seed))
    now, calls = 0.0, 0
    while now < OUTAGE_S:
        if retry.may_call(now):
            calls += 1
            now = retry.record_failure(now)
        else:
            now = retry.compute_next_read(now)
        if is_told:
            retry.record_lost(now)
    return calls, now


@pytest.mark.parametrize("seed", range(20))
def test_node_that_is_told_that_the_store_is_lost_calls_it_rarely(seed):
    calls, heard_at = play_outage(is_told=True, seed=seed)
    assert calls <= 6
    assert heard_at <= OUTAGE_S + MAX_LISTENING_S


@pytest.mark.parametrize("seed", range(20))
def test_node_that_hears_from_no_other_calls_as_often_as_a_prober(seed):
    calls, called_at = play_outage(is_told=False, seed=seed)
    assert calls >= OUTAGE_S / MAX_DELAY_S
    assert called_at <= OUTAGE_S + MAX_DELAY_S


def test_node_that_hears_that_the_store_is_back_calls_it_at_once():
    retry = StoreRetry(Random(1))
    retry.record_failure(0.0)
    retry.record_lost(0.0)
    assert not retry.may_call(MAX_DELAY_S)
    retry.record_found()
    assert retry.may_call(MAX_DELAY_S)
