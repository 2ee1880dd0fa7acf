"""Replace an attempt that is stuck or has failed by an attempt at another server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from monsoontray.decisions.outcomes import Ran, Reason
from monsoontray.decisions.retries import (
    Attempt,
    Retry,
    may_replace,
    may_take_over,
)
from monsoontray.forwarding.attempts import choose_target, start_attempt_at
from monsoontray.forwarding.routes import EntryRoute
from monsoontray.forwarding.withdrawals import withdraw_attempt

if TYPE_CHECKING:
    from monsoontray.forwarding.call import Call
    from monsoontray.forwarding.routes import Hop


def handle_timeout(call: Call) -> None:
    """Handle the timeout of an attempt."""
    if call.guard_refusal is not None:
        return
    hop = call.request.hop
    if call.request.upstream is not None and hop is not None and hop.is_guard:
        check_guard(call, hop, Reason.NO_ANSWER)
    # While the node stops, it waits for every response that may still arrive.
    if not call.forwarder.stopping:
        try_replace(call, Reason.NO_ANSWER, call.expected_s)


def check_guard(call: Call, hop: Hop, reason: Reason) -> None:
    """Check whether the guard of a failed or stuck attempt is still reachable."""
    reachability = call.forwarder.reachability
    if reason is Reason.UNREACHABLE:
        reachability.mark_unreachable(call.server, hop.address)
    elif reason is not Reason.BAD_RESPONSE:
        reachability.probe(call.server, hop.address)


def try_replace(call: Call, reason: Reason, needed_s: float) -> bool:
    """Start another attempt in place of the current one, if possible.

    Return whether it was started. ``needed_s`` is its estimated duration.
    """
    route, attempts, loads = call.route, call.attempts, call.forwarder.loads
    if not isinstance(route, EntryRoute):
        return False
    refusal = call.build_refusal(reason)
    attempt = Attempt(
        route.idempotent,
        attempts.sends + 1,
        route.deadline,
        refusal.ran,
        call.response_started,
        call.request.is_replayable,
    )
    if not may_replace(
        attempt, needed_s, call.now, route.max_attempts, attempts.offers
    ):
        return False
    target = choose_target(route, call)
    if target is None or not may_take_over(
        loads.is_avoided(target.endpoint.server, call.now),
        loads.has_free_slot(target.endpoint.server),
        call.buffered_response is not None,
    ):
        return False
    reached_back_end = refusal.ran is not Ran.NOT_RUN
    if reached_back_end and not call.consume_retry_budget():
        return False
    if call.buffered_response is None:
        call.record_unfinished()
        loads.record_outcome(call.server, True)
    else:
        call.record_outcome(True)
    call.end_attempt(refusal, withdraw_attempt(call))
    call.forwarder.report.record_retry(call, Retry(reason))
    attempts.offers += 1
    start_attempt_at(target, route, call)
    return True
