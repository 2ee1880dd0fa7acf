from __future__ import annotations

from dataclasses import replace

from monsoontray.decisions.outcomes import Ran, Reason, Refusal
from monsoontray.decisions.retries import (
    Abandon,
    Attempt,
    Retry,
    decide_after_failure,
)

ATTEMPT = Attempt(True, 1, 10.0, Ran.UNKNOWN, response_started=False, body_kept=True)
LOST = Reason.CONNECTION_LOST


def decide(attempt, now=0.0):
    return decide_after_failure(attempt, LOST, now, max_attempts=3)


def test_an_idempotent_call_is_sent_again():
    assert decide(ATTEMPT) == Retry(LOST)


def test_a_call_that_may_have_run_is_not_sent_again():
    posted = replace(ATTEMPT, idempotent=False)
    assert decide(posted) == Refusal(LOST, Ran.UNKNOWN)


def test_a_call_that_certainly_did_not_run_is_sent_again():
    assert decide(replace(ATTEMPT, idempotent=False, ran=Ran.NOT_RUN)) == Retry(LOST)


def test_attempts_deadline_and_body_bound_the_retries():
    assert decide(replace(ATTEMPT, number=3)) == Refusal(LOST, Ran.UNKNOWN)
    assert decide(ATTEMPT, now=10.0) == Refusal(LOST, Ran.UNKNOWN)
    assert decide(replace(ATTEMPT, body_kept=False)) == Refusal(LOST, Ran.UNKNOWN)
    unsent = replace(ATTEMPT, number=3, ran=Ran.NOT_RUN)
    assert decide(unsent) == Refusal(LOST, Ran.NOT_RUN)


def test_an_response_that_has_begun_is_cut():
    assert decide(replace(ATTEMPT, response_started=True)) == Abandon(LOST)
