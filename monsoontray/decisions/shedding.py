"""When callers that were refused for want of room should come back."""

from __future__ import annotations

from random import Random

from monsoontray.decisions.outcomes import Ran, Reason, Refusal

#: Callers come back at the latest after this share of the time that they have left.
RETURN_SHARE = 1 / 3
_SHED_REASONS = frozenset((Reason.NO_SLOT, Reason.SLOTS_BUSY))


def spread_return(
    refusal: Refusal, deadline: float, objective: float, now: float, random: Random
) -> Refusal:
    """Return a refusal that tells a caller when to come back.

    Callers that can't be on time any more come back spread over the time that they
    have left, so that they don't all compete with the calls that still can.
    """
    if refusal.reason not in _SHED_REASONS or refusal.ran is not Ran.NOT_RUN:
        return refusal
    if now + refusal.retry_after_s < objective:
        return refusal
    latest_s = max(0.0, deadline - now) * RETURN_SHARE
    spread_s = max(refusal.retry_after_s, random.uniform(0.0, latest_s))
    return Refusal(refusal.reason, refusal.ran, spread_s, refusal.load)
