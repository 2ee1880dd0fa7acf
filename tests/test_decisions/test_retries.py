from __future__ import annotations

from collections import Counter
from random import Random

from msgspec.structs import replace

from monsoontray.decisions.outcomes import Ran, Reason, Refusal
from monsoontray.decisions.retries import (
    MAX_NO_WAIT_OFFERS,
    MAX_OFFERS,
    MAX_UNREADY_RETRY_S,
    MIN_UNREADY_RETRY_S,
    Attempt,
    AttemptHistory,
    CutResponse,
    Retry,
    compute_unready_retry,
    decide_after_failure,
    may_replace,
    may_take_over,
)

ATTEMPT = Attempt(
    True, 1, 10.0, Ran.UNKNOWN, response_started=False, body_replayable=True
)
LOST = Reason.CONNECTION_LOST


def decide(attempt, now=0.0):
    return decide_after_failure(attempt, LOST, now, max_attempts=3)


def test_idempotent_call_is_retried():
    assert decide(ATTEMPT) == Retry(LOST)


def test_non_idempotent_call_that_may_have_run_is_not_retried():
    posted = replace(ATTEMPT, idempotent=False)
    assert decide(posted) == Refusal(LOST, Ran.UNKNOWN)


def test_non_idempotent_call_that_did_not_run_is_retried():
    assert decide(replace(ATTEMPT, idempotent=False, ran=Ran.NOT_RUN)) == Retry(LOST)


def test_retries_are_limited_by_attempts_deadline_and_body():
    assert decide(replace(ATTEMPT, number=3)) == Refusal(LOST, Ran.UNKNOWN)
    assert decide(ATTEMPT, now=10.0) == Refusal(LOST, Ran.UNKNOWN)
    assert decide(replace(ATTEMPT, body_replayable=False)) == Refusal(LOST, Ran.UNKNOWN)
    unsent = replace(ATTEMPT, number=3, ran=Ran.NOT_RUN)
    assert decide(unsent) == Refusal(LOST, Ran.NOT_RUN)


def test_response_that_has_started_is_cut():
    assert decide(replace(ATTEMPT, response_started=True)) == CutResponse(LOST)


def may_replace_attempt(attempt, needed_s=1.0, now=0.0, offers=1):
    return may_replace(attempt, needed_s, now, 2, offers)


def test_stuck_attempt_is_replaced_within_attempts_offers_and_time():
    assert may_replace_attempt(ATTEMPT)
    assert not may_replace_attempt(replace(ATTEMPT, number=2))
    assert not may_replace_attempt(ATTEMPT, offers=MAX_OFFERS)
    assert not may_replace_attempt(ATTEMPT, now=9.0)
    assert not may_replace_attempt(replace(ATTEMPT, body_replayable=False))
    assert not may_replace_attempt(replace(ATTEMPT, response_started=True))


def test_stuck_non_idempotent_attempt_is_replaced_only_if_not_run():
    order = replace(ATTEMPT, idempotent=False)
    assert not may_replace_attempt(order)
    assert may_replace_attempt(replace(order, ran=Ran.NOT_RUN))
    assert may_replace_attempt(replace(order, ran=Ran.NOT_RUN, number=2))
    assert not may_replace_attempt(replace(order, ran=Ran.NOT_RUN, number=3))


def test_attempt_that_may_get_a_response_moves_only_to_a_free_slot():
    assert may_take_over(is_avoided=False, has_free_slot=True, has_response=False)
    assert not may_take_over(is_avoided=False, has_free_slot=False, has_response=False)
    assert may_take_over(is_avoided=False, has_free_slot=False, has_response=True)
    assert not may_take_over(is_avoided=True, has_free_slot=True, has_response=True)


def test_call_is_offered_to_a_few_servers_before_it_is_queued():
    history = AttemptHistory()
    for i in range(MAX_NO_WAIT_OFFERS):
        assert history.is_no_wait()
        assert not history.record_failure(
            f"s{i}", Refusal(Reason.SLOTS_BUSY, Ran.NOT_RUN)
        )
    assert not history.is_no_wait()
    # A server without a free slot may be asked again; one that refused may not.
    assert history.tried == []
    history.record_failure("s0", Refusal(Reason.NO_SLOT, Ran.NOT_RUN))
    assert history.tried == ["s0"]
    # A failing server may be asked again as well, if no other server is left.
    history.record_failure("s9", Refusal(Reason.SERVER_FAILING, Ran.NOT_RUN))
    assert "s9" in history.busy
    assert MAX_NO_WAIT_OFFERS < MAX_OFFERS


def test_callers_of_a_starting_node_return_one_after_the_other():
    random = Random(1)
    delays = [compute_unready_retry(random) for _ in range(200)]
    assert min(delays) >= MIN_UNREADY_RETRY_S
    # None of ten equal parts of the span gets a third of the callers.
    span = MAX_UNREADY_RETRY_S - MIN_UNREADY_RETRY_S
    parts = Counter(int(10 * (each - MIN_UNREADY_RETRY_S) / span) for each in delays)
    assert max(parts.values()) < len(delays) / 3
