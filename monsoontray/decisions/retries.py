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
    body_repeatable: bool  # the whole body sent so far can be sent again


@dataclass(slots=True, frozen=True)
class Retry:
    """Say that the call is offered to another server."""

    reason: Reason


@dataclass(slots=True, frozen=True)
class CutResponse:
    """Say that the caller's connection must be cut: its response is cut short."""

    reason: Reason


def decide_after_failure(
    attempt: Attempt, reason: Reason, now: float, max_attempts: int
) -> Retry | Refusal | CutResponse:
    """Decide what follows a failed attempt."""
    if attempt.response_started:
        return CutResponse(reason)
    repeatable = attempt.ran is not Ran.UNKNOWN or attempt.idempotent
    time_left = attempt.deadline - now >= MIN_RETRY_S
    if (
        repeatable
        and attempt.body_repeatable
        and time_left
        and attempt.number < max_attempts
    ):
        return Retry(reason)
    return Refusal(reason, attempt.ran)


def may_replace(
    attempt: Attempt, needed_s: float, now: float, max_attempts: int, offers: int
) -> bool:
    """Decide whether an attempt without a usable answer may give way to another.

    ``needed_s`` is the time that the other one should take, ``offers`` how many
    attempts were made, whether or not a back end has seen them.
    """
    has_run = attempt.ran is not Ran.NOT_RUN
    if attempt.response_started or not attempt.body_repeatable:
        return False
    if has_run and not attempt.idempotent:
        return False
    sends = attempt.number if has_run else attempt.number - 1
    if sends >= max_attempts or offers >= MAX_OFFERS:
        return False
    return now + needed_s < attempt.deadline


def may_take_over(is_avoided: bool, has_free_slot: bool, has_response: bool) -> bool:
    """Decide whether a server is likely to take a call that is given up elsewhere.

    An attempt that may still be answered is left for a free slot only: when all
    servers are behind, the call would lose its place and be refused.
    """
    return not is_avoided and (has_response or has_free_slot)


#: Guards that are asked for a free slot before a call waits for one: of three servers
#: that are busy for seven eighths of the time, one is mostly free.
MAX_NO_WAIT_OFFERS = 3


def is_soft_refusal(reason: Reason) -> bool:
    """Say whether a guard passes a call on that it would take otherwise."""
    return reason in _SOFT_REASONS


#: Reasons for which a guard passes a call on to others that it would take otherwise.
_SOFT_REASONS = frozenset((Reason.SLOTS_BUSY, Reason.SERVER_FAILING))
MAX_OFFERS = 6  # guards that a call is offered to while none has taken it
#: How sure it is that a call ran, in rising order.
_CERTAINTY = {Ran.NOT_RUN: 0, Ran.REJECTED: 1, Ran.UNKNOWN: 2}


class AttemptHistory:
    """Record the attempts of one call and what they left behind."""

    __slots__ = ("busy", "last", "offers", "ran", "sends", "server", "tried")

    def __init__(self) -> None:
        self.offers = 0  # attempts
        self.sends = 0  # attempts that a back end has seen or may have seen
        self.tried: list[str] = []  # servers
        #: Servers that had no free slot, or failed; the call may still come back.
        self.busy: list[str] = []
        self.server = ""  # of the latest attempt that failed
        self.ran = Ran.NOT_RUN  # the worst that any attempt has left behind
        self.last: Refusal | None = None  # how the latest one failed

    def record_failure(self, server: str, refusal: Refusal) -> bool:
        """Note a failed attempt; say whether it was the first that arrived."""
        (self.busy if is_soft_refusal(refusal.reason) else self.tried).append(server)
        self.server = server
        self.last = refusal
        if _CERTAINTY[refusal.ran] > _CERTAINTY[self.ran]:
            self.ran = refusal.ran
        return refusal.ran is not Ran.NOT_RUN and self.record_send()

    def is_no_wait(self) -> bool:
        """Say whether the next server is to take the call at once or not at all."""
        return len(self.busy) < MAX_NO_WAIT_OFFERS

    def record_send(self) -> bool:
        """Note that a back end has seen the call; say whether it is the first."""
        self.sends += 1
        return self.sends == 1

    def get_limit(self, refusal: Refusal, max_attempts: int, may_offer: bool) -> int:
        """Return how many attempts of the kind that failed a call may make."""
        if refusal.ran is Ran.NOT_RUN and may_offer:
            return max(max_attempts, MAX_OFFERS)
        return max_attempts

    def count_attempts(self, refusal: Refusal) -> int:
        """Return the attempts made that are of the kind that failed."""
        return self.offers if refusal.ran is Ran.NOT_RUN else self.sends

    def apply_worst_outcome(self, refusal: Refusal) -> Refusal:
        """Return a refusal that is no surer than what the attempts left behind."""
        if _CERTAINTY[self.ran] > _CERTAINTY[refusal.ran]:
            return Refusal(refusal.reason, self.ran, refusal.retry_after_s)
        return refusal
