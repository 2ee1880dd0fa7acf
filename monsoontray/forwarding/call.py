"""One call from its request to its response."""

from __future__ import annotations

from typing import TYPE_CHECKING

from monsoontray.decisions.outcomes import (
    Ran,
    Reason,
    Refusal,
    refuse_unknown,
    refuse_unrun,
)
from monsoontray.decisions.retries import (
    Abandon,
    Attempt,
    AttemptRecord,
    Retry,
    decide_after_failure,
)
from monsoontray.forwarding.attempts import choose_next, start_at, start_attempt
from monsoontray.forwarding.heads import (
    LAST_CHUNK,
    Framing,
    RequestHead,
    ResponseHead,
    encode_chunk,
    encode_line,
    encode_request,
)
from monsoontray.forwarding.refusals import read_refusal
from monsoontray.forwarding.replay import KeptBody
from monsoontray.forwarding.responses import (
    Foreign,
    HeldResponse,
    encode_load,
    judge_response,
    read_load,
)
from monsoontray.forwarding.routes import TIMEOUT_HEADER, EntryRoute, GuardRoute, Hop

if TYPE_CHECKING:
    from monsoontray.decisions.guard import GuardState
    from monsoontray.forwarding.caller import Exchange
    from monsoontray.forwarding.forwarder import Forwarder
    from monsoontray.forwarding.upstream import UpstreamConnection
    from monsoontray.kernel.timers import Timer

FIRST_FAILURE_STATUS = 500
MAX_AVOIDED_S = 0.3  # time that a cold server which refused is left out at most


class Call:
    """Join a caller's request to the attempts made for it."""

    __slots__ = (
        "_attempt_started",
        "_body",
        "_expected_s",
        "_guard_refusal",
        "_held",
        "_hop",
        "_id_line",
        "_patience",
        "_sent",
        "_slot_since",
        "_timer",
        "attempts",
        "call_id",
        "exchange",
        "forwarder",
        "guard",
        "head",
        "request_ended",
        "response_started",
        "route",
        "server",
        "started",
        "upstream",
    )

    def __init__(
        self,
        forwarder: Forwarder,
        exchange: Exchange,
        head: RequestHead,
        route: EntryRoute | GuardRoute,
        call_id: str,
    ) -> None:
        self.forwarder = forwarder
        self.exchange = exchange
        self.head = head
        self.route = route
        self.call_id = call_id
        self.started = forwarder.now
        self.attempts = AttemptRecord()
        self.server = ""  # the server of the current attempt
        self.guard: GuardState | None = None  # where this call holds a slot
        self.upstream: UpstreamConnection | None = None
        self.request_ended = False
        self.response_started = False
        names_calls = forwarder.vocabulary.callers_name_calls
        id_header = forwarder.vocabulary.call_id
        id_line = encode_line(id_header, call_id.encode("latin-1"))
        self._id_line = b"" if names_calls else id_line
        self._body = KeptBody()
        self._guard_refusal: Refusal | None = None  # stated by the guard, arriving
        self._held: HeldResponse | None = None
        self._hop: Hop | None = None
        self._attempt_started = self.started
        self._expected_s = 0.0  # time that the current attempt should take
        self._patience: Timer | None = None
        self._sent = False
        self._slot_since = 0.0
        self._timer = forwarder.timers.add(route.deadline, self._pass_deadline)

    @property
    def now(self) -> float:
        """Return the time of the current event."""
        return self.forwarder.now

    def start(self) -> None:
        """Make the next attempt."""
        self.attempts.offers += 1
        self._sent = False
        start_attempt(self.route, self)

    def expect_response(self, expected_s: float) -> None:
        """Wait for the response of an attempt with a patience that fits it."""
        self._attempt_started = self.now
        self._expected_s = expected_s
        self._drop_patience()
        times = self.forwarder.response_times
        due = self.now + times.find_patience(self.route.name, expected_s)
        if due < self.route.deadline:
            self._patience = self.forwarder.timers.add(due, self._lose_patience)

    def hold_slot(self, guard: GuardState) -> None:
        """Note that the call holds a slot of a local backend server."""
        self.guard = guard
        self._slot_since = self.now

    def send_to(self, hop: Hop) -> None:
        """Send the request over a connection to a guard or a back end."""
        self._hop = hop
        try:
            upstream = self.forwarder.pool.take(hop.address)
        except OSError:
            self.fail_attempt(refuse_unrun(Reason.UNREACHABLE))
            return
        self.upstream = upstream
        upstream.begin_call(self, self.head.method)
        if upstream.connected:
            self.on_upstream_connected()

    def on_upstream_connected(self) -> None:
        """Send what has been received of the request."""
        upstream, hop, head = self.upstream, self._hop, self.head
        assert upstream is not None
        assert hop is not None
        self._sent = True
        remaining_ms = max(1, int((self.route.deadline - self.now) * 1000))
        vocabulary = self.forwarder.vocabulary
        timeout = TIMEOUT_HEADER if hop.is_guard else vocabulary.timeout_ms
        lines = [
            *head.lines,
            *hop.lines,
            self._id_line,
            b"%b: %d\r\n" % (timeout, remaining_ms),
        ]
        upstream.write(
            encode_request(head.method, head.target, lines, head.framing, head.length)
        )
        for part in self._body.parts:
            self._write_body(part)
        if self.request_ended and head.framing is Framing.CHUNKED:
            upstream.write(LAST_CHUNK)
        if not self.request_ended and head.expects_continue:
            self.exchange.ask_to_continue()
        self.exchange.resume_reading()

    def on_request_body(self, part: bytes) -> None:
        """Take a part of the request's body."""
        upstream = self.upstream
        limit = self.forwarder.limits.replay_bytes
        is_sent = upstream is not None and upstream.connected
        self._body.add(part, is_sent, limit)
        if upstream is None or not upstream.connected:
            if self._body.size >= limit:
                self.exchange.pause_reading()
            return
        self._write_body(part)
        if upstream.out_bytes > self.forwarder.limits.stream_bytes:
            self.exchange.pause_reading()

    def on_request_end(self) -> None:
        """Take the end of the request."""
        self.request_ended = True
        upstream = self.upstream
        sending = upstream is not None and upstream.connected
        if sending and self.head.framing is Framing.CHUNKED:
            assert upstream is not None
            upstream.write(LAST_CHUNK)

    def on_upstream_sent(self, left: int) -> None:
        """Read on once the server has taken enough of the request."""
        if left <= self.forwarder.limits.stream_bytes // 2 and not self.request_ended:
            self.exchange.resume_reading()

    def on_caller_sent(self, left: int) -> None:
        """Read on once the caller has taken enough of the response."""
        if (
            self.upstream is not None
            and left <= self.forwarder.limits.stream_bytes // 2
        ):
            self.upstream.resume_reading()

    def on_response_head(self, head: ResponseHead) -> bool:
        """Take the head of a response; say whether it belongs to this call."""
        assert self._hop is not None
        if self.guard is not None:
            self.guard.heard_at = self.now
        if self._hop.is_guard:
            self.forwarder.loads.hear(self.server, read_load(head), self.now)
            self._guard_refusal = read_refusal(head)
            if self._guard_refusal is not None:
                return True
        vocabulary = self.forwarder.vocabulary
        verdict = judge_response(head, self.call_id, vocabulary)
        if isinstance(verdict, Foreign):
            return False
        self._drop_patience()
        if isinstance(verdict, Refusal):
            self._drop_upstream()
            if verdict.ran is Ran.UNKNOWN:
                self._note_outcome(True)
            self.fail_attempt(verdict)
            return True
        if self._id_line:
            head.lines.append(self._id_line)
        if vocabulary.hold_bytes and head.length <= vocabulary.hold_bytes:
            self._held = HeldResponse(head)
        else:
            self._begin_response(head)
        return True

    def on_response_body(self, part: bytes) -> None:
        """Pass on a part of the response, or hold it."""
        if self._guard_refusal is not None:
            return
        held = self._held
        if held is not None:
            held.add(part)
            if held.size > self.forwarder.vocabulary.hold_bytes:
                self._release_held(held)
        else:
            self.exchange.write_response_body(part)
        if self.exchange.count_unsent() > self.forwarder.limits.stream_bytes:
            assert self.upstream is not None
            self.upstream.pause_reading()

    def on_response_end(self) -> None:
        """Complete the response, or replace one that failed."""
        self.upstream = None
        if self._guard_refusal is not None:
            self._follow_guard_refusal(self._guard_refusal)
            return
        held = self._held
        if held is not None:
            held.complete()
            failed = held.head.status >= FIRST_FAILURE_STATUS
            if failed and self._try_replace(
                Reason.SERVER_FAILED, self.now - self.started
            ):
                return
            self._release_held(held)
        if self.attempts.arrive():
            self._count_arrival()
        self._note_outcome(self._is_failure(held))
        if isinstance(self.route, EntryRoute):
            seconds = self.now - self._attempt_started
            self.forwarder.response_times.note(self.route.name, seconds)
        self.forwarder.report.response(self)
        self._end()
        self.exchange.end_response()

    def on_upstream_lost(self, reason: Reason) -> None:
        """Act on the loss of the connection that carries the call."""
        self.upstream = None
        if self.guard is not None:
            self.forwarder.guards.note_loss(self.guard, reason)
        elif self._hop is not None and self._hop.is_guard:
            self._suspect_guard(self._hop, reason)
        if self._guard_refusal is not None:
            self._follow_guard_refusal(self._guard_refusal)
            return
        self._note_outcome(True)
        self.fail_attempt(self.qualify(reason))

    def fail_attempt(self, refusal: Refusal) -> None:
        """Give up an attempt: try again, refuse or cut."""
        self._held = None
        if refusal.reason is Reason.SERVER_COLD and self.server:
            until = self.now + min(refusal.retry_after_s, MAX_AVOIDED_S)
            self.forwarder.loads.mark_full(self.server, until)
        self._leave_attempt(refusal)
        has_run = refusal.ran is not Ran.NOT_RUN
        may_offer = isinstance(self.route, EntryRoute)
        limit = self.attempts.find_limit(refusal, self.route.max_attempts, may_offer)
        attempt = Attempt(
            self.route.idempotent,
            self.attempts.count(refusal),
            self.route.deadline,
            refusal.ran,
            self.response_started,
            self._body.is_whole,
        )
        outcome = decide_after_failure(attempt, refusal.reason, self.now, limit)
        if isinstance(outcome, Retry):
            if not has_run or self._try_budget():
                self.forwarder.report.retry(self, outcome)
                self.start()
                return
            outcome = refusal
        if isinstance(outcome, Abandon):
            self._end()
            self.forwarder.report.cut(self, outcome)
            self.exchange.cut()
        else:
            self.refuse(refusal)

    def cancel(self) -> None:
        """Stop working for a caller that has gone."""
        self._note_unfinished()
        self._drop_upstream()
        self.forwarder.report.cancelled(self)
        self._end()

    def qualify(self, reason: Reason) -> Refusal:
        """Return a refusal that says truly whether the call may have run."""
        if self._sent:
            return refuse_unknown(reason)
        return refuse_unrun(reason)

    def refuse(self, refusal: Refusal) -> None:
        """End the call by a refusal, no surer than what its attempts left behind."""
        refusal = self.attempts.qualify(refusal)
        self._drop_upstream()
        self.forwarder.report.refusal(refusal, self)
        self._end()
        self.exchange.refuse(refusal, self)

    def release(self) -> None:
        """Give back the slot and the load that the attempt holds."""
        if self.server:
            self.forwarder.loads.end(self.server)
            self.server = ""
        guard = self.guard
        if guard is not None:
            self.guard = None
            self.forwarder.guards.release_slot(guard)

    def _begin_response(self, head: ResponseHead) -> None:
        self.response_started = True
        if isinstance(self.route, GuardRoute) and self.guard is not None:
            head.lines.append(encode_load(self.guard.report_load(self.now)))
        self.exchange.begin_response(head, head.lines)

    def _release_held(self, held: HeldResponse) -> None:
        """Pass on what was held; the rest of the body follows as it comes."""
        self._held = None
        if held.head.framing is Framing.UNTIL_CLOSE:
            held.head.framing = Framing.CHUNKED
        self._begin_response(held.head)
        for part in held.parts:
            self.exchange.write_response_body(part)

    def _lose_patience(self) -> None:
        """Act on a server or a guard that has not answered for long."""
        self._patience = None
        if self._guard_refusal is not None:
            return
        if self._hop is not None and self._hop.is_guard:
            self._suspect_guard(self._hop, Reason.NO_ANSWER)
        self._try_replace(Reason.NO_ANSWER, self._expected_s)

    def _drop_patience(self) -> None:
        if self._patience is not None:
            self.forwarder.timers.cancel(self._patience)
            self._patience = None

    def _suspect_guard(self, hop: Hop, reason: Reason) -> None:
        if reason is Reason.UNREACHABLE:
            self.forwarder.reachability.lose(self.server, hop.address)
        elif reason is not Reason.BAD_RESPONSE:
            self.forwarder.reachability.check(self.server, hop.address)

    def _try_replace(self, reason: Reason, needed_s: float) -> bool:
        """Start another attempt in place of one that failed; say if it began."""
        route = self.route
        repeatable = route.idempotent and self._body.is_whole
        if not isinstance(route, EntryRoute) or not repeatable:
            return False
        has_time = self.now + needed_s < route.deadline
        if not has_time or self.attempts.sends + 1 >= route.max_attempts:
            return False
        endpoint = choose_next(route, self)
        if endpoint is None or self.forwarder.loads.is_avoided(
            endpoint.server, self.now
        ):
            return False
        refusal = self.qualify(reason)
        if refusal.ran is not Ran.NOT_RUN and not self._try_budget():
            return False
        if self._held is None:
            self._note_unfinished()
            self.forwarder.loads.note_outcome(self.server, True)
        else:
            self._note_outcome(True)
        self._held = None
        self._drop_upstream()
        self._leave_attempt(refusal)
        self.forwarder.report.retry(self, Retry(reason))
        self.attempts.offers += 1
        self._sent = False
        start_at(endpoint, route, self)
        return True

    def _try_budget(self) -> bool:
        route = self.route
        if not isinstance(route, EntryRoute):
            return False
        return self.forwarder.budgets.try_retry(route.service, route.name, self.now)

    def _leave_attempt(self, refusal: Refusal) -> None:
        self._drop_patience()
        self.forwarder.guards.forget_waiting(self)
        if self.attempts.leave(self.server, refusal):
            self._count_arrival()
        self.release()

    def _count_arrival(self) -> None:
        route = self.route
        if isinstance(route, EntryRoute):
            self.forwarder.budgets.count_arrival(route.service, route.name, self.now)

    def _is_failure(self, held: HeldResponse | None) -> bool:
        return held is not None and held.head.status >= FIRST_FAILURE_STATUS

    def _note_outcome(self, failed: bool) -> None:
        """Take how a call that a server took has ended."""
        if self.server:
            self.forwarder.loads.note_outcome(self.server, failed)
        guard = self.guard
        if guard is not None:
            seconds = self.now - self._slot_since
            guard.note_service(seconds)
            self.forwarder.guards.weigh_call(guard, self.route.name, seconds, failed)

    def _note_unfinished(self) -> None:
        """Take that a call was given up while a server was at work on it."""
        guard = self.guard
        if guard is not None and self._sent:
            seconds = self.now - self._slot_since
            self.forwarder.guards.weigh_unfinished(guard, self.route.name, seconds)

    def _follow_guard_refusal(self, refusal: Refusal) -> None:
        self._guard_refusal = None
        self.fail_attempt(refusal)

    def _write_body(self, part: bytes) -> None:
        assert self.upstream is not None
        chunked = self.head.framing is Framing.CHUNKED
        self.upstream.write(encode_chunk(part) if chunked else part)

    def _drop_upstream(self) -> None:
        upstream = self.upstream
        if upstream is not None:
            self.upstream = None
            upstream.call = None
            upstream.close()

    def _pass_deadline(self) -> None:
        self._note_unfinished()
        if self.response_started:
            self._drop_upstream()
            self._end()
            self.forwarder.report.cut(self, Abandon(Reason.DEADLINE_PASSED))
            self.exchange.cut()
        else:
            self.refuse(self.qualify(Reason.DEADLINE_PASSED))

    def _end(self) -> None:
        self._drop_patience()
        self.forwarder.timers.cancel(self._timer)
        self.forwarder.guards.forget_waiting(self)
        self.release()
        self.forwarder.forget_call(self)
