"""Calls: one caller's request, its attempts and its response or refusal."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from monsoontray.decisions.containment import CONTAINED
from monsoontray.decisions.outcomes import (
    Ran,
    Reason,
    Refusal,
    refuse_not_run,
    refuse_unknown,
)
from monsoontray.decisions.retries import (
    Attempt,
    AttemptHistory,
    CutResponse,
    Retry,
    decide_after_failure,
)
from monsoontray.decisions.shedding import spread_return
from monsoontray.forwarding.attempts import start_attempt
from monsoontray.forwarding.heads import RequestHead
from monsoontray.forwarding.replacing import check_guard, handle_timeout
from monsoontray.forwarding.routes import EntryRoute, GuardRoute, Hop
from monsoontray.forwarding.sending import RequestSender, build_id_line
from monsoontray.forwarding.sides import find_caller
from monsoontray.forwarding.withdrawals import (
    drop_withdrawals,
    postpone_refusal,
    withdraw_attempt,
)

if TYPE_CHECKING:
    from monsoontray.decisions.guard import GuardState
    from monsoontray.forwarding.caller import HttpTransaction
    from monsoontray.forwarding.forwarder import Forwarder
    from monsoontray.forwarding.responses import BufferedResponse
    from monsoontray.forwarding.withdrawals import Withdrawal
    from monsoontray.kernel.timers import Timer

#: Refusals of guards that let a server start only so many calls a second.
RATE_REASONS = frozenset((Reason.SERVER_COLD, Reason.SERVER_LIMITED))
#: Longest time that the server is avoided after such a refusal.
MAX_RATE_EXCLUSION_S = 0.3


class Call:
    """A caller's request and the attempts to get a response to it."""

    __slots__ = (
        "_attempt_started_at",
        "_attempt_timer",
        "_awaits_fingerprint",
        "_deadline_timer",
        "answer_bytes",
        "attempts",
        "buffered_response",
        "call_id",
        "expected_s",
        "forwarder",
        "guard",
        "guard_refusal",
        "head",
        "id_line",
        "is_active",
        "pending_refusal",
        "request",
        "response_started",
        "route",
        "server",
        "slot_granted_at",
        "started_at",
        "transaction",
        "usage_window",
        "withdrawals",
    )

    def __init__(
        self,
        forwarder: Forwarder,
        transaction: HttpTransaction,
        head: RequestHead,
        route: EntryRoute | GuardRoute,
        call_id: str,
    ) -> None:
        self.forwarder = forwarder
        self.transaction = transaction
        self.head = head
        self.route = route
        self.call_id = call_id
        self.started_at = forwarder.now
        self.attempts = AttemptHistory()
        self.server = ""  # the server of the current attempt
        self.guard: GuardState | None = None  # local guard whose slot the call holds
        self.response_started = False
        self.answer_bytes = 0  # of the body of the current attempt's response
        self.usage_window = 0  # in which the current attempt was counted
        assigned_by_caller = forwarder.http_profile.callers_assign_call_ids
        id_header = forwarder.http_profile.call_id
        id_line = build_id_line(id_header, call_id)
        self.request = RequestSender(
            forwarder,
            transaction,
            head,
            route,
            b"" if assigned_by_caller else id_line,
            find_caller(transaction.side, head, route),
        )
        #: Header line added to responses; empty if the server returns the call id.
        self.id_line = b"" if assigned_by_caller else id_line
        #: Refusal by the guard of another node, whose response is still arriving.
        self.guard_refusal: Refusal | None = None
        self.buffered_response: BufferedResponse | None = None
        self.withdrawals: list[Withdrawal] = []  # attempts that were taken back
        #: Refusal that waits until guards have said whether withdrawn attempts ran.
        self.pending_refusal: Refusal | None = None
        self._attempt_started_at = self.started_at
        self.expected_s = 0.0  # estimated duration of the current attempt
        self._attempt_timer: Timer | None = None
        self.slot_granted_at = 0.0  # when the current attempt got its slot
        self.is_active = True  # has not ended
        #: An attempt starts when enough of the body has been received.
        self._awaits_fingerprint = False
        self._deadline_timer = forwarder.timers.add(
            route.deadline, self._handle_deadline
        )

    @property
    def now(self) -> float:
        """Return the time of the current event."""
        return self.forwarder.now

    @property
    def may_have_run(self) -> bool:
        """Return whether a server may have received the call."""
        return self.request.may_run or self.attempts.ran is not Ran.NOT_RUN

    def start(self) -> None:
        """Start the next attempt, unless the request is contained."""
        if self.forwarder.containment.may_start(self):
            self.attempts.offers += 1
            start_attempt(self.route, self)

    def await_fingerprint(self) -> None:
        """Start the attempt once enough of the body has been received."""
        self._awaits_fingerprint = True
        self.request.request_body()

    def receive_body(self, part: bytes) -> None:
        """Handle a part of the request body."""
        if self.pending_refusal is not None:
            return
        was_known = bool(self.request.fingerprint.value)
        self.request.identify(part)
        if self._is_too_large() or (not was_known and self._is_contained()):
            return
        self.request.send_body(part)
        self._start_if_recognized()

    def receive_end(self) -> None:
        """Handle the end of the request."""
        if self.pending_refusal is not None:
            return
        was_known = bool(self.request.fingerprint.value)
        self.request.fingerprint.end_body()
        if not was_known and self._is_contained():
            return
        self.request.send_end()
        self._start_if_recognized()

    def start_attempt_timer(self, expected_s: float) -> None:
        """Set the timeout of an attempt according to its estimated duration."""
        self._attempt_started_at = self.now
        self.expected_s = expected_s
        self.stop_attempt_timer()
        times = self.forwarder.response_times
        due = self.now + times.compute_timeout(self.route.name, expected_s)
        if due < self.route.deadline:
            self._attempt_timer = self.forwarder.timers.add(
                due, partial(handle_timeout, self)
            )

    def hold_slot(self, guard: GuardState) -> None:
        """Record that the call holds a slot of a local backend server."""
        self.guard = guard
        self.slot_granted_at = self.now

    def send_to(self, hop: Hop) -> None:
        """Send the request over a connection to a guard or a back end.

        The key of a call that has waited may have been withdrawn meanwhile.
        """
        route = self.route
        if isinstance(route, EntryRoute) and route.key_digest:
            refusal = self.forwarder.check_key(route.key_digest)
            if refusal is not None:
                self.refuse(refusal)
                return
        try:
            self.request.start(self, hop)
        except OSError:
            self.fail_attempt(refuse_not_run(Reason.UNREACHABLE))

    def finish(self, failed: bool) -> None:
        """End the call after its response was forwarded."""
        if self.attempts.record_send():
            self._count_call()
        self.record_outcome(failed)
        if isinstance(self.route, EntryRoute):
            seconds = self.now - self._attempt_started_at
            self.forwarder.response_times.record(self.route.name, seconds)
            if not failed:
                sizes = self.forwarder.answer_sizes
                sizes.record(self.route.name, self.answer_bytes)
        self.forwarder.report.record_response(self)
        self.forwarder.containment.record_completion(self)
        self._clean_up()
        self.transaction.end_response()

    def on_upstream_lost(self, reason: Reason) -> None:
        """Handle the failure of the connection that carries the call."""
        hop = self.request.hop
        self.request.upstream = None
        if self.guard is not None:
            self.forwarder.containment.record_loss(self, self.guard, reason)
            self.forwarder.guards.handle_connection_failure(self.guard, reason)
        elif hop is not None and hop.is_guard:
            check_guard(self, hop, reason)
        if self.guard_refusal is not None:
            self.handle_guard_refusal(self.guard_refusal)
            return
        self.record_outcome(True)
        self.fail_attempt(self.build_refusal(reason))

    def fail_attempt(self, refusal: Refusal) -> None:
        """End a failed attempt: retry, refuse the call or cut its response."""
        if refusal.reason in RATE_REASONS and self.server:
            until = self.now + min(refusal.retry_after_s, MAX_RATE_EXCLUSION_S)
            self.forwarder.loads.mark_full(self.server, until)
        self.end_attempt(refusal)
        reached_back_end = refusal.ran is not Ran.NOT_RUN
        may_offer = isinstance(self.route, EntryRoute)
        limit = self.attempts.get_limit(refusal, self.route.max_attempts, may_offer)
        attempt = Attempt(
            self.route.idempotent,
            self.attempts.count_attempts(refusal),
            self.route.deadline,
            refusal.ran,
            self.response_started,
            self.request.is_replayable,
        )
        outcome = decide_after_failure(attempt, refusal.reason, self.now, limit)
        if isinstance(outcome, Retry):
            if not reached_back_end or self.consume_retry_budget():
                self.forwarder.report.record_retry(self, outcome)
                self.start()
                return
            outcome = refusal
        if isinstance(outcome, CutResponse):
            self._clean_up()
            self.forwarder.report.record_cut_response(self, outcome)
            self.transaction.cut()
        else:
            self.refuse(refusal)

    def cancel(self) -> None:
        """Abort the call without a response."""
        self.record_unfinished()
        self.request.abort()
        self.forwarder.report.record_cancelled_call(self)
        self._clean_up()

    def build_refusal(self, reason: Reason) -> Refusal:
        """Return a refusal that states whether the current attempt may have run."""
        if self.request.may_run:
            return refuse_unknown(reason)
        return refuse_not_run(reason)

    def build_final_refusal(self, reason: Reason) -> Refusal:
        """Return a refusal that states whether any attempt may have run."""
        return self.attempts.apply_worst_outcome(self.build_refusal(reason))

    def refuse(self, refusal: Refusal) -> None:
        """End the call with a refusal.

        If any attempt of the call may have run, the refusal says so. Where a guard may
        know better, it is asked first.
        """
        if refusal.ran is Ran.UNKNOWN and withdraw_attempt(self):
            refusal = Refusal(refusal.reason, Ran.NOT_RUN, refusal.retry_after_s)
        else:
            self.request.abort()
        if postpone_refusal(self, refusal):
            return
        refusal = self.attempts.apply_worst_outcome(refusal)
        route, forwarder = self.route, self.forwarder
        if isinstance(route, EntryRoute):
            refusal = spread_return(
                refusal, route.deadline, route.objective, self.now, forwarder.random
            )
        self.forwarder.report.record_refused_call(refusal, self)
        self._clean_up()
        self.transaction.refuse(refusal, self)

    def release(self) -> None:
        """Release the slot and the load count of the current attempt."""
        if self.server:
            self.forwarder.loads.end_call(self.server)
            self.server = ""
        guard = self.guard
        if guard is not None:
            self.guard = None
            self.forwarder.guards.release_slot(guard, self)

    def stop_attempt_timer(self) -> None:
        """Cancel the timeout of the current attempt; only the deadline remains."""
        if self._attempt_timer is not None:
            self.forwarder.timers.cancel(self._attempt_timer)
            self._attempt_timer = None

    def consume_retry_budget(self) -> bool:
        """Count a retry if the budget allows it; return whether it does."""
        route = self.route
        if not isinstance(route, EntryRoute):
            return False
        return self.forwarder.budgets.try_retry(route.service, route.name, self.now)

    def end_attempt(self, refusal: Refusal, is_withdrawn: bool = False) -> None:
        """Release the resources of the current attempt and record its failure."""
        self.buffered_response = None
        self.request.may_run = False  # the history has the outcome from now on
        self.stop_attempt_timer()
        self.forwarder.guards.remove_waiting(self)
        self.forwarder.containment.remove(self)
        if self.attempts.record_failure(self.server, refusal, is_withdrawn):
            self._count_call()
        self.release()

    def _count_call(self) -> None:
        """Count the call in the retry budget, once a back end has received it."""
        route = self.route
        if isinstance(route, EntryRoute):
            self.forwarder.budgets.count_call(route.service, route.name, self.now)

    def record_outcome(self, failed: bool) -> None:
        """Record the outcome of an attempt that reached a server."""
        if self.server:
            self.forwarder.loads.record_outcome(self.server, failed)
        guard = self.guard
        if guard is not None:
            seconds = self.now - self.slot_granted_at
            guard.record_result(seconds, failed, self.route.name)
            if not failed:
                guard.observe_capacity(self, self.route.name, seconds, self.now)
            self.forwarder.guards.record_call(guard, self.route.name, seconds, failed)

    def record_unfinished(self) -> None:
        """Record an attempt that is abandoned while a local server may run it."""
        guard = self.guard
        if guard is not None and self.request.may_run:
            self.forwarder.containment.record_abandoned(self, guard)
            seconds = self.now - self.slot_granted_at
            self.forwarder.guards.record_unfinished(guard, self.route.name, seconds)

    def handle_guard_refusal(self, refusal: Refusal) -> None:
        """Handle the refusal that the guard has sent."""
        self.guard_refusal = None
        self.fail_attempt(refusal)

    def _handle_deadline(self) -> None:
        self.record_unfinished()
        if self.response_started:
            self.request.abort()
            self._clean_up()
            self.forwarder.report.record_cut_response(
                self, CutResponse(Reason.DEADLINE_PASSED)
            )
            self.transaction.cut()
        else:
            refusal = self.guard_refusal or self.build_refusal(Reason.DEADLINE_PASSED)
            self.refuse(refusal)

    def _is_too_large(self) -> bool:
        """Refuse the call if its body, which may be in chunks, exceeds the limit."""
        route = self.route
        size = self.request.fingerprint.body_bytes
        if not isinstance(route, EntryRoute) or size <= route.max_body_bytes:
            return False
        if self.response_started:
            return False
        self.refuse(self.build_refusal(Reason.BODY_TOO_LARGE))
        return True

    def _is_contained(self) -> bool:
        """Refuse the call if the request is contained, before its end is sent."""
        if self.response_started or not self.forwarder.containment.is_contained(self):
            return False
        # A server that received a part of the request may have begun to run it.
        is_unsent = not self.may_have_run
        self.refuse(CONTAINED if is_unsent else self.build_refusal(Reason.POISON))
        return True

    def _start_if_recognized(self) -> None:
        if not self._awaits_fingerprint:
            return
        if self.forwarder.containment.is_recognized(self):
            self._awaits_fingerprint = False
            self.start()
        else:
            self.transaction.resume_reading()

    def stop_work(self) -> None:
        """Release what the attempts hold; no further one starts."""
        self.stop_attempt_timer()
        self.forwarder.timers.cancel(self._deadline_timer)
        self.forwarder.guards.remove_waiting(self)
        self.release()
        self.forwarder.containment.remove(self)

    def _clean_up(self) -> None:
        self.is_active = False
        drop_withdrawals(self)
        self.stop_work()
        self.forwarder.remove_call(self)
