"""One call from its request to its response."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from monsoontray.decisions.outcomes import (
    Ran,
    Reason,
    Refusal,
    refuse_unknown,
    refuse_unrun,
)
from monsoontray.decisions.retries import Abandon, Attempt, Retry, decide_after_failure
from monsoontray.forwarding.heads import (
    LAST_CHUNK,
    Framing,
    RequestHead,
    ResponseHead,
    encode_chunk,
    encode_line,
    encode_request,
)
from monsoontray.forwarding.parsing import is_framed
from monsoontray.forwarding.refusals import CALL_ID_HEADER, read_refusal
from monsoontray.forwarding.routes import (
    Hop,
    find_customer,
    find_max_attempts,
    start_attempt,
)

if TYPE_CHECKING:
    from monsoontray.decisions.guard import GuardState
    from monsoontray.forwarding.caller import CallerConnection
    from monsoontray.forwarding.forwarder import Forwarder
    from monsoontray.forwarding.upstream import UpstreamConnection


class Call:
    """Join a caller's request to the attempts made for it."""

    __slots__ = (
        "_body_kept",
        "_hop",
        "_id_line",
        "_kept",
        "_kept_bytes",
        "_refusal",
        "_sent",
        "_timer",
        "attempt",
        "call_id",
        "caller",
        "deadline",
        "forwarder",
        "guard",
        "head",
        "last_reason",
        "request_ended",
        "response_started",
        "route",
        "server",
        "tried",
        "upstream",
    )

    def __init__(
        self,
        forwarder: Forwarder,
        caller: CallerConnection,
        head: RequestHead,
        route: Any,
        call_id: str,
        deadline: float,
    ) -> None:
        self.forwarder = forwarder
        self.caller = caller
        self.head = head
        self.route = route
        self.call_id = call_id
        self.deadline = deadline
        self.attempt = 0
        self.tried: list[str] = []
        self.server = ""  # the server of the current attempt
        self.guard: GuardState | None = None  # where this call holds a slot
        self.upstream: UpstreamConnection | None = None
        self.request_ended = False
        self.response_started = False
        self.last_reason = Reason.NO_SERVER
        self._id_line = encode_line(CALL_ID_HEADER, call_id.encode("latin-1"))
        self._refusal: Refusal | None = None  # stated by the guard, still arriving
        self._hop: Hop | None = None
        self._kept: list[bytes] = []
        self._kept_bytes = 0
        self._body_kept = True
        self._sent = False
        self._timer = forwarder.timers.add(deadline, self._pass_deadline)

    def start(self) -> None:
        """Make the next attempt."""
        self.attempt += 1
        self._sent = False
        start_attempt(self.route, self)

    def send_to(self, hop: Hop) -> None:
        """Send the request over a connection to a guard or a back end."""
        self._hop = hop
        try:
            upstream = self.forwarder.pool.take(hop.address)
        except OSError:
            self.fail_attempt(Reason.UNREACHABLE)
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
        remaining_ms = max(1, int((self.deadline - self.forwarder.now) * 1000))
        lines = [
            *head.lines,
            *hop.lines,
            self._id_line,
            b"monsoontray-timeout-ms: %d\r\n" % remaining_ms,
        ]
        upstream.write(
            encode_request(head.method, head.target, lines, head.framing, head.length)
        )
        for part in self._kept:
            self._write_body(part)
        if self.request_ended and head.framing is Framing.CHUNKED:
            upstream.write(LAST_CHUNK)
        if not self.request_ended and head.expects_continue:
            self.caller.ask_to_continue()
        self.caller.resume_reading()

    def on_request_body(self, part: bytes) -> None:
        """Take a part of the request's body."""
        self._keep(part)
        upstream = self.upstream
        if upstream is None or not upstream.connected:
            if self._kept_bytes >= self.forwarder.limits.replay_bytes:
                self.caller.pause_reading()
            return
        self._write_body(part)
        if upstream.out_bytes > self.forwarder.limits.stream_bytes:
            self.caller.pause_reading()

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
            self.caller.resume_reading()

    def on_caller_sent(self, left: int) -> None:
        """Read on once the caller has taken enough of the response."""
        if (
            self.upstream is not None
            and left <= self.forwarder.limits.stream_bytes // 2
        ):
            self.upstream.resume_reading()

    def on_response_head(self, head: ResponseHead) -> None:
        """Pass on the head of a response, or act on a guard's refusal."""
        assert self._hop is not None
        if self._hop.is_guard:
            self._refusal = read_refusal(head)
            if self._refusal is not None:
                return
        if not is_framed(head) or not self._is_own_response(head):
            self._drop_upstream()
            self.fail_attempt(Reason.BAD_RESPONSE)
            return
        self.response_started = True
        head.lines.append(self._id_line)
        self.caller.begin_response(head, head.lines)

    def on_response_body(self, part: bytes) -> None:
        """Pass on a part of the response."""
        if self._refusal is not None:
            return
        self.caller.write_response_body(part)
        if self.caller.out_bytes > self.forwarder.limits.stream_bytes:
            assert self.upstream is not None
            self.upstream.pause_reading()

    def on_response_end(self) -> None:
        """Complete the response."""
        self.upstream = None
        if self._refusal is not None:
            self._follow_refusal(self._refusal)
            return
        self._end()
        self.forwarder.count_response()
        self.caller.end_response()

    def on_upstream_lost(self, reason: Reason) -> None:
        """Act on the loss of the connection that carries the call."""
        self.upstream = None
        if reason is Reason.UNREACHABLE:
            self.forwarder.loads.avoid(self.server, self.forwarder.now)
        if self._refusal is not None:
            self._follow_refusal(self._refusal)
            return
        self.fail_attempt(reason)

    def fail_attempt(self, reason: Reason) -> None:
        """Give up an attempt: try again, refuse or cut."""
        self._finish_attempt(reason, self._sent)

    def cancel(self) -> None:
        """Stop working for a caller that has gone."""
        self._drop_upstream()
        self._end()
        self.forwarder.count_cancelled()

    def qualify(self, reason: Reason) -> Refusal:
        """Return a refusal that says truly whether the call may have run."""
        if self._sent:
            return refuse_unknown(reason)
        return refuse_unrun(reason)

    def refuse(self, refusal: Refusal) -> None:
        """End the call by a refusal."""
        self._drop_upstream()
        self._end()
        customer = find_customer(self.route)
        self.forwarder.log_refusal(refusal, self.call_id, customer, "")
        self.caller.refuse(refusal, self.call_id)

    def release(self) -> None:
        """Give back the slot and the load that the attempt holds."""
        if self.server:
            self.forwarder.loads.end(self.server)
            self.server = ""
        guard = self.guard
        if guard is not None:
            self.guard = None
            self.forwarder.release_slot(guard)

    def _is_own_response(self, head: ResponseHead) -> bool:
        """Say whether a response that names its call names this one."""
        call_id = head.own.get(CALL_ID_HEADER)
        return call_id is None or call_id.decode("latin-1") == self.call_id

    def _follow_refusal(self, refusal: Refusal) -> None:
        self._refusal = None
        may_have_run = refusal.ran is Ran.UNKNOWN
        self._finish_attempt(refusal.reason, may_have_run)

    def _finish_attempt(self, reason: Reason, may_have_run: bool) -> None:
        now = self.forwarder.now
        attempt = Attempt(
            self.head.method,
            self.attempt,
            self.deadline,
            may_have_run,
            self.response_started,
            self._body_kept,
        )
        self.tried.append(self.server)
        self.last_reason = reason
        self.release()
        limit = find_max_attempts(self.route, self.forwarder.limits.max_attempts)
        outcome = decide_after_failure(attempt, reason, now, limit)
        if isinstance(outcome, Retry):
            self.forwarder.count_retry(outcome)
            self.start()
        elif isinstance(outcome, Abandon):
            self._end()
            self.forwarder.count_cut(outcome)
            self.caller.cut()
        else:
            self.refuse(outcome)

    def _keep(self, part: bytes) -> None:
        if not self._body_kept:
            return
        self._kept.append(part)
        self._kept_bytes += len(part)
        streaming = self.upstream is not None and self.upstream.connected
        if streaming and self._kept_bytes > self.forwarder.limits.replay_bytes:
            self._body_kept = False
            self._kept.clear()

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
        if self.response_started:
            self._drop_upstream()
            self._end()
            self.forwarder.count_cut(Abandon(Reason.DEADLINE_PASSED))
            self.caller.cut()
        else:
            self.refuse(self.qualify(Reason.DEADLINE_PASSED))

    def _end(self) -> None:
        self.forwarder.timers.cancel(self._timer)
        self.forwarder.leave_queues(self)
        self.release()
        self.forwarder.forget_call(self)
