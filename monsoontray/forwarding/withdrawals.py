"""Withdrawals: take a call back from a guard, which says whether a server got it.

The node ends its half of the connection. The guard drops the call and, as the last
thing on the connection, refuses it with what it knows. A guard that says nothing, as
one of an earlier version or one that can't be reached, leaves the outcome unknown.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from monsoontray.decisions.outcomes import Ran, Refusal
from monsoontray.forwarding.heads import ResponseHead
from monsoontray.forwarding.refusals import classify_refusal
from monsoontray.forwarding.responses import Mismatched

if TYPE_CHECKING:
    from monsoontray.forwarding.call import Call
    from monsoontray.forwarding.parsing import ResponseEvent
    from monsoontray.forwarding.upstream import UpstreamConnection
    from monsoontray.kernel.timers import Timer

#: Longest wait for the word of a guard: a round trip between regions and a delay.
WITHDRAWAL_LIMIT_S = 0.1


class Withdrawal:
    """An attempt that was taken back and whose guard has not answered yet."""

    __slots__ = ("_call", "_timer", "_upstream")

    def __init__(self, call: Call, upstream: UpstreamConnection) -> None:
        self._call = call
        self._upstream = upstream
        forwarder = call.forwarder
        due = forwarder.now + WITHDRAWAL_LIMIT_S
        self._timer: Timer = forwarder.timers.add(
            due, partial(self.settle, Ran.UNKNOWN)
        )

    def receive(self, events: list[ResponseEvent]) -> None:
        """Read the guard's word; responses to other calls prove nothing."""
        for event in events:
            if not isinstance(event, ResponseHead):
                continue
            outcome = classify_refusal(event, self._call.call_id)
            if isinstance(outcome, Mismatched):
                continue
            # A response in place of a refusal was under way already.
            self.settle(Ran.UNKNOWN if outcome is None else outcome.ran)
            return

    def settle(self, ran: Ran) -> None:
        """Record the outcome of the attempt, once."""
        call = self._call
        if self not in call.withdrawals:
            return
        self.drop()
        call.withdrawals.remove(self)
        call.attempts.settle(ran)
        call.forwarder.report.record_withdrawal(call, ran)
        _refuse_if_settled(call)

    def drop(self) -> None:
        """Close the connection without waiting for the guard."""
        self._call.forwarder.timers.cancel(self._timer)
        upstream = self._upstream
        upstream.withdrawal = None
        upstream.close()


def withdraw_attempt(call: Call) -> bool:
    """Take the current attempt back; return whether its guard will say if it ran."""
    upstream = call.request.detach_unanswered()
    if upstream is None:
        call.request.abort()
        return False
    withdrawal = Withdrawal(call, upstream)
    call.withdrawals.append(withdrawal)
    call.attempts.unsettled += 1
    upstream.withdraw(withdrawal)
    return True


def drop_withdrawals(call: Call) -> None:
    """Wait for no guard any more."""
    for withdrawal in call.withdrawals:
        withdrawal.drop()
    call.withdrawals.clear()


def postpone_refusal(call: Call, refusal: Refusal) -> bool:
    """Keep a refusal until the guards have answered; return whether any must.

    Only a refusal that would say "unknown" because of them has to wait.
    """
    if call.attempts.settled_ran is Ran.UNKNOWN or refusal.ran is Ran.UNKNOWN:
        return False
    if not call.withdrawals:
        return False
    call.pending_refusal = refusal
    call.attempts.last_server = call.server or call.attempts.last_server
    call.stop_work()
    return True


def _refuse_if_settled(call: Call) -> None:
    refusal = call.pending_refusal
    if refusal is None or call.withdrawals:
        return
    call.pending_refusal = None
    call.refuse(refusal)
