"""Decisions on retrying failed calls."""

from __future__ import annotations

from random import Random

from msgspec import Struct

from monsoontray.decisions.outcomes import Ran, Reason, Refusal

_IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "PUT", "DELETE", "OPTIONS"))
#: Retry delays suggested to callers while no server or no configuration is known. A
#: node that starts learns of both within this time. The callers that it refused
#: meanwhile come back one after the other, as servers that started too are still cold.
MIN_UNREADY_RETRY_S = 0.25
MAX_UNREADY_RETRY_S = 0.5
MIN_RETRY_S = 0.002  # time left before the deadline that another attempt needs


def is_idempotent_method(method: str) -> bool:
    """Return whether HTTP defines a method as idempotent."""
    return method in _IDEMPOTENT_METHODS


class Attempt(Struct, frozen=True):
    """Attempt that failed or is to be replaced."""

    idempotent: bool
    number: int  # 1 for the first attempt
    deadline: float
    ran: Ran
    response_started: bool  # part of the response was sent to the caller
    body_replayable: bool  # the body sent so far can be sent again


class Retry(Struct, frozen=True):
    """Decision to offer the call to another server."""

    reason: Reason


class CutResponse(Struct, frozen=True):
    """Decision to close the caller's connection before the response is complete."""

    reason: Reason


def decide_after_failure(
    attempt: Attempt, reason: Reason, now: float, max_attempts: int
) -> Retry | Refusal | CutResponse:
    """Decide how to continue after a failed attempt."""
    if attempt.response_started:
        return CutResponse(reason)
    if reason is Reason.POISON:  # no other server would run it
        return Refusal(reason, attempt.ran)
    repeatable = attempt.ran is not Ran.UNKNOWN or attempt.idempotent
    time_left = attempt.deadline - now >= MIN_RETRY_S
    if (
        repeatable
        and attempt.body_replayable
        and time_left
        and attempt.number < max_attempts
    ):
        return Retry(reason)
    return Refusal(reason, attempt.ran)


def may_replace(
    attempt: Attempt, needed_s: float, now: float, max_attempts: int, offers: int
) -> bool:
    """Return whether an attempt without a usable response may be replaced.

    ``needed_s`` is the expected time of the new attempt, and ``offers`` the number of
    attempts so far, whether or not a back end received them.
    """
    has_run = attempt.ran is not Ran.NOT_RUN
    if attempt.response_started or not attempt.body_replayable:
        return False
    if has_run and not attempt.idempotent:
        return False
    sends = attempt.number if has_run else attempt.number - 1
    if sends >= max_attempts or offers >= MAX_OFFERS:
        return False
    return now + needed_s < attempt.deadline


def may_take_over(is_avoided: bool, has_free_slot: bool, has_response: bool) -> bool:
    """Return whether a server is likely to accept a call taken from another server.

    An attempt that may still get a response is replaced only if the new server has a
    free slot. If all servers are overloaded, the call would otherwise lose its place
    in the queue and be refused.
    """
    return not is_avoided and (has_response or has_free_slot)


def compute_unready_retry(random: Random) -> float:
    """Return after how many seconds a caller should return to a node that starts."""
    return random.uniform(MIN_UNREADY_RETRY_S, MAX_UNREADY_RETRY_S)


#: Number of guards that are asked for a free slot before the call is queued. Of
#: three servers that are each busy 7/8 of the time, often one has a free slot.
MAX_NO_WAIT_OFFERS = 3


def is_soft_refusal(reason: Reason) -> bool:
    """Return whether the same server may be asked again after this refusal."""
    return reason in _SOFT_REASONS


#: Refusals of calls that the guard would accept if no other server can run them.
_SOFT_REASONS = frozenset(
    (Reason.SLOTS_BUSY, Reason.SERVER_FAILING, Reason.SERVER_LIMITED)
)
MAX_OFFERS = 6  # attempts of a call while no back end has received it
#: Rank of the outcomes of an attempt; the worst is that the call may have run.
_SEVERITY = {Ran.NOT_RUN: 0, Ran.REJECTED: 1, Ran.UNKNOWN: 2}


class AttemptHistory:
    """Attempts of one call and their outcomes."""

    __slots__ = (
        "busy",
        "last_refusal",
        "last_server",
        "offers",
        "sends",
        "settled_ran",
        "tried",
        "unsettled",
    )

    def __init__(self) -> None:
        self.offers = 0  # attempts, whether or not a back end received them
        self.sends = 0  # attempts that a back end received or may have received
        self.tried: list[str] = []  # servers that are not asked again
        #: Servers with no free slot or with many failures; may be asked again.
        self.busy: list[str] = []
        self.last_server = ""  # of the latest failed attempt
        self.settled_ran = Ran.NOT_RUN  # worst known outcome of all attempts
        self.unsettled = 0  # withdrawn attempts whose outcome is not known yet
        self.last_refusal: Refusal | None = None  # of the latest failed attempt

    @property
    def ran(self) -> Ran:
        """Return the worst outcome of all attempts, as far as it is known."""
        return Ran.UNKNOWN if self.unsettled else self.settled_ran

    def settle(self, ran: Ran) -> None:
        """Record the outcome of a withdrawn attempt."""
        self.unsettled -= 1
        self._record_outcome(ran)

    def record_failure(
        self, server: str, refusal: Refusal, is_withdrawn: bool = False
    ) -> bool:
        """Record a failed attempt, whose outcome follows if it was withdrawn.

        Return whether it is the first attempt that a back end may have received.
        """
        (self.busy if is_soft_refusal(refusal.reason) else self.tried).append(server)
        self.last_server = server
        self.last_refusal = refusal
        if not is_withdrawn:
            self._record_outcome(refusal.ran)
        return refusal.ran is not Ran.NOT_RUN and self.record_send()

    def is_no_wait(self) -> bool:
        """Return whether the next guard must not queue the call."""
        return len(self.busy) < MAX_NO_WAIT_OFFERS

    def record_send(self) -> bool:
        """Count an attempt that a back end received; return whether it is the first."""
        self.sends += 1
        return self.sends == 1

    def get_limit(self, refusal: Refusal, max_attempts: int, may_offer: bool) -> int:
        """Return how many attempts a call may make after such a refusal.

        The limit is compared with the result of :meth:`count_attempts`.
        """
        if refusal.ran is Ran.NOT_RUN and may_offer:
            return max(max_attempts, MAX_OFFERS)
        return max_attempts

    def count_attempts(self, refusal: Refusal) -> int:
        """Return the number of attempts so far that the limit applies to."""
        return self.offers if refusal.ran is Ran.NOT_RUN else self.sends

    def apply_worst_outcome(self, refusal: Refusal) -> Refusal:
        """Return the refusal with the worst outcome of all attempts."""
        if _SEVERITY[self.ran] > _SEVERITY[refusal.ran]:
            return Refusal(refusal.reason, self.ran, refusal.retry_after_s)
        return refusal

    def _record_outcome(self, ran: Ran) -> None:
        if _SEVERITY[ran] > _SEVERITY[self.settled_ran]:
            self.settled_ran = ran
