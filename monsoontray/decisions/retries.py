"""Decide whether a call that failed is sent again."""

from __future__ import annotations

from dataclasses import dataclass

from monsoontray.decisions.outcomes import Ran, Reason, Refusal

_IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "PUT", "DELETE", "OPTIONS"))
MIN_RETRY_S = 0.002  # time that must be left for another attempt


def is_idempotent_method(method: str) -> bool:
    """Say whether calls of a method may run more than once by its definition."""
    return method in _IDEMPOTENT_METHODS


@dataclass(slots=True, frozen=True)
class Attempt:
    """Describe a failed attempt."""

    idempotent: bool
    number: int  # 1 for the first attempt
    deadline: float
    ran: Ran
    response_started: bool  # the caller has part of the response
    body_kept: bool  # the whole body sent so far can be sent again


@dataclass(slots=True, frozen=True)
class Retry:
    """Say that the call is offered to another server."""

    reason: Reason


@dataclass(slots=True, frozen=True)
class Abandon:
    """Say that the caller's connection must be cut: its response is cut short."""

    reason: Reason


def decide_after_failure(
    attempt: Attempt, reason: Reason, now: float, max_attempts: int
) -> Retry | Refusal | Abandon:
    """Decide what follows a failed attempt."""
    if attempt.response_started:
        return Abandon(reason)
    repeatable = attempt.ran is not Ran.UNKNOWN or attempt.idempotent
    time_left = attempt.deadline - now >= MIN_RETRY_S
    if repeatable and attempt.body_kept and time_left and attempt.number < max_attempts:
        return Retry(reason)
    return Refusal(reason, attempt.ran)
