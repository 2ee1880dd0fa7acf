"""Count and log the outcomes of calls, with a rate limit on log lines."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, Any

from monsoontray.decisions.outcomes import Reason
from monsoontray.decisions.retries import is_soft_refusal
from monsoontray.forwarding.routes import EntryRoute, GuardRoute
from monsoontray.logs import logger

if TYPE_CHECKING:
    from monsoontray.decisions.outcomes import Ran, Refusal
    from monsoontray.decisions.retries import CutResponse, Retry
    from monsoontray.forwarding.call import Call
    from monsoontray.forwarding.forwarder import Forwarder
    from monsoontray.forwarding.heads import RequestHead

#: Log lines per second about calls that were retried, refused, cut or cancelled; these
#: use less than one percent of a core.
LINES_PER_S = 100
LINE_BURST = 200  # lines that may be written at once after a quiet period
#: The same for answers at the first attempt and for soft refusals, of which there are
#: many without any trouble.
ROUTINE_LINES_PER_S = 10
ROUTINE_LINE_BURST = 50
CROWD_LINES_PER_S = 0.2  # about connections that were given up
CROWD_LINE_BURST = 1
MAX_TARGET_LENGTH = 200


class LineLimit:
    """Limit on the rate of log lines, as a bucket that is refilled."""

    __slots__ = ("_available", "_burst", "_per_s", "_refilled_at")

    def __init__(self, per_s: float, burst: float, now: float) -> None:
        self._per_s = per_s
        self._burst = burst
        self._available = burst
        self._refilled_at = now

    def consume(self, now: float) -> bool:
        """Count a line if the limit allows it; return whether it does."""
        refill = (now - self._refilled_at) * self._per_s
        self._available = min(self._burst, self._available + refill)
        self._refilled_at = now
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True


class CallReporter:
    """Counter of call events, with a rate-limited log."""

    __slots__ = (
        "_crowd_limit",
        "_forwarder",
        "_limit",
        "_metrics",
        "_routine_limit",
        "_suppressed",
    )

    def __init__(self, forwarder: Forwarder) -> None:
        self._forwarder = forwarder
        self._metrics = forwarder.metrics
        now = forwarder.now
        self._limit = LineLimit(LINES_PER_S, LINE_BURST, now)
        self._routine_limit = LineLimit(ROUTINE_LINES_PER_S, ROUTINE_LINE_BURST, now)
        self._crowd_limit = LineLimit(CROWD_LINES_PER_S, CROWD_LINE_BURST, now)
        self._suppressed = 0

    def record_refused_call(self, refusal: Refusal, call: Call) -> None:
        """Count and log the refusal of a call."""
        reason = refusal.reason
        self._metrics.count_refusal(reason.value, refusal.ran.value)
        fields = {"reason": reason.value, "ran": refusal.ran.value}
        if reason is Reason.POISON:
            fields["fingerprint"] = call.request.fingerprint.known
            fields["target"] = format_target(call.head)
        self._log("call refused", call, is_soft_refusal(reason), **fields)

    def record_refused_request(
        self, refusal: Refusal, call_id: str, head: RequestHead
    ) -> None:
        """Count and log a request that was refused before it became a call."""
        self._metrics.count_refusal(refusal.reason.value, refusal.ran.value)
        if self._consume_line():
            target = format_target(head)
            self._write(
                "request refused",
                call=call_id,
                reason=refusal.reason.value,
                ran=refusal.ran.value,
                host=head.host,
                target=target,
            )

    def record_refused_connection(self, refusal: Refusal, detail: str) -> None:
        """Count and log a malformed request or a connection beyond the limit."""
        self._metrics.count_refusal(refusal.reason.value, refusal.ran.value)
        if self._consume_line():
            self._write("connection refused", reason=refusal.reason.value, why=detail)

    def record_given_up(
        self, cause: str, count: int, held: int, budget: int, connections: int
    ) -> None:
        """Count connections that gave way to others, and log it once in a while."""
        self._metrics.count_given_up(cause, count)
        if self._crowd_limit.consume(self._forwarder.now):
            self._write(
                "connections given up",
                cause=cause,
                count=count,
                held_kb=held // 1024,
                budget_kb=budget // 1024,
                connections=connections,
            )

    def record_retry(self, call: Call, retry: Retry) -> None:
        """Count and log that a call is sent to another server."""
        self._metrics.count_retry(retry.reason.value)
        is_routine = is_soft_refusal(retry.reason)
        self._log("call sent again", call, is_routine, reason=retry.reason.value)

    def record_withdrawal(self, call: Call, ran: Ran) -> None:
        """Count and log what a guard said of a call that was taken back."""
        self._metrics.count_withdrawal(ran.value)
        self._log("call taken back", call, True, ran=ran.value)

    def record_cut_response(self, call: Call, cut: CutResponse) -> None:
        """Count and log a response that was cut short."""
        self._metrics.count_cut_response(cut.reason.value)
        self._log("response cut", call, reason=cut.reason.value)

    def record_cancelled_call(self, call: Call) -> None:
        """Count and log a call whose caller closed its connection."""
        self._metrics.count_cancelled_call()
        self._log("caller gone", call)

    def record_closed_window(self, call: Call | None) -> None:
        """Count and log that a server or guard does not read what was sent to it."""
        self._metrics.count_closed_window()
        if call is not None:
            self._log("request is not read", call)

    def record_response(self, call: Call) -> None:
        """Count and log a complete response."""
        self._metrics.responses += 1
        side = get_side_name(call.route)
        self._metrics.observe_call(side, self._forwarder.now - call.started_at)
        self._log("call answered", call, not call.attempts.tried)

    def _log(
        self, message: str, call: Call, is_routine: bool = False, **fields: Any
    ) -> None:
        if not self._consume_line(is_routine):
            return
        route = call.route
        loads, now = self._forwarder.loads, self._forwarder.now
        attempts = call.attempts
        server = call.server or attempts.last_server
        self._write(
            message,
            call=call.call_id,
            side=get_side_name(route),
            route=route.name,
            server=server,
            tried=",".join(attempts.tried),
            busy=",".join(attempts.busy),
            load_ms=loads.get_load_age_ms(server, now),
            ms=round((now - call.started_at) * 1000, 1),
            left_ms=round((route.deadline - now) * 1000),
            **fields,
        )

    def _write(self, message: str, **fields: Any) -> None:
        table = self._forwarder.route_table
        entitlements = self._forwarder.entitlements
        version = entitlements.name.number if table is None else table.number
        if self._suppressed:
            fields["left_out"] = self._suppressed  # since the previous line
            self._suppressed = 0
        logger.bind(version=version, **fields).info(message)

    def _consume_line(self, is_routine: bool = False) -> bool:
        limit = self._routine_limit if is_routine else self._limit
        if limit.consume(self._forwarder.now):
            return True
        self._suppressed += 1
        self._metrics.count_suppressed_line()
        return False


def format_target(head: RequestHead) -> str:
    """Return the start of a request's target, for a log line."""
    return head.target[:MAX_TARGET_LENGTH].decode("latin-1")


@singledispatch
def get_side_name(route: Any) -> str:
    """Return the name of the side on which a call arrived."""
    raise TypeError(f"unsupported route: {route!r}")


@get_side_name.register(EntryRoute)
def _(route: EntryRoute) -> str:
    return "entry"


@get_side_name.register(GuardRoute)
def _(route: GuardRoute) -> str:
    return "guard"
