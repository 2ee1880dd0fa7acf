"""Handle the response to a call: buffer it, forward it, or act on a refusal."""

from __future__ import annotations

from typing import TYPE_CHECKING

from monsoontray.decisions.outcomes import Ran, Reason, Refusal
from monsoontray.forwarding.announcements import handle_announcements
from monsoontray.forwarding.heads import Framing, ResponseHead
from monsoontray.forwarding.refusals import classify_refusal
from monsoontray.forwarding.replacing import try_replace
from monsoontray.forwarding.responses import (
    Accepted,
    BufferedResponse,
    Mismatched,
    classify_response,
    decode_load,
    encode_load,
)
from monsoontray.forwarding.routes import GuardRoute

if TYPE_CHECKING:
    from monsoontray.decisions.guard import GuardState
    from monsoontray.forwarding.call import Call

FIRST_SERVER_ERROR_STATUS = 500


def handle_response_head(call: Call, head: ResponseHead) -> bool:
    """Handle the head of a response; return whether it belongs to the call."""
    hop = call.request.hop
    assert hop is not None
    if hop.is_guard:
        refusal = classify_refusal(head, call.call_id)
        if isinstance(refusal, Mismatched):
            return False
        call.forwarder.loads.record_response(
            call.server, decode_load(head), call.now, call.route.name
        )
        if refusal is not None:
            refusal = _apply_own_knowledge(call, refusal)
        call.guard_refusal = refusal
        if refusal is not None:
            return True
    http_profile = call.forwarder.http_profile
    result = classify_response(head, call.call_id, http_profile)
    if call.guard is not None:
        _record_sign_of_life(call, call.guard, result)
    if isinstance(result, Mismatched):
        return False
    call.answer_bytes = 0
    handle_announcements(call, head)
    call.stop_attempt_timer()
    if isinstance(result, Refusal):
        result = _apply_own_knowledge(call, result)
        call.request.abort()
        if result.ran is Ran.UNKNOWN:
            call.record_outcome(True)
        else:
            call.forwarder.usage.take_back(call)
        call.fail_attempt(result)
        return True
    if call.id_line:
        head.lines.append(call.id_line)
    if (
        http_profile.max_buffered_bytes
        and head.length <= http_profile.max_buffered_bytes
    ):
        call.buffered_response = BufferedResponse(head)
    else:
        _begin_response(call, head)
    return True


def _record_sign_of_life(
    call: Call, guard: GuardState, result: Accepted | Mismatched | Refusal
) -> None:
    """Record that a local server responded, or that another one has replaced it."""
    if isinstance(result, Refusal) and result.reason is Reason.WRONG_SERVER:
        call.forwarder.containment.record_replacement(guard)
    else:
        guard.last_response_at = call.now


def handle_response_body(call: Call, part: bytes) -> None:
    """Forward or buffer a part of the response body."""
    if call.guard_refusal is not None:
        return
    call.answer_bytes += len(part)
    buffered = call.buffered_response
    if buffered is not None:
        buffered.add(part)
        if buffered.size > call.forwarder.http_profile.max_buffered_bytes:
            _flush_buffered_response(call, buffered)
    else:
        call.transaction.write_response_body(part)
    if (
        call.transaction.count_unsent_bytes()
        > call.forwarder.limits.stream_buffer_bytes
    ):
        assert call.request.upstream is not None
        call.request.upstream.pause_reading()


def handle_response_end(call: Call) -> None:
    """Complete the response, or replace a failed one by another attempt."""
    call.request.upstream = None
    if call.guard_refusal is not None:
        call.handle_guard_refusal(call.guard_refusal)
        return
    buffered = call.buffered_response
    failed = buffered is not None and buffered.head.status >= FIRST_SERVER_ERROR_STATUS
    if buffered is not None:
        buffered.complete()
        needed_s = call.now - call.started_at
        if failed and try_replace(call, Reason.SERVER_FAILED, needed_s):
            return
        _flush_buffered_response(call, buffered)
    call.finish(failed)


def _apply_own_knowledge(call: Call, refusal: Refusal) -> Refusal:
    """Return the refusal of the current attempt, not run if its body was not sent."""
    if refusal.ran is Ran.UNKNOWN:
        return call.build_refusal(refusal.reason)
    return refusal


def _begin_response(call: Call, head: ResponseHead) -> None:
    call.response_started = True
    if isinstance(call.route, GuardRoute) and call.guard is not None:
        head.lines.append(
            encode_load(call.guard.report_load(call.now, call.route.name))
        )
    call.transaction.begin_response(head, head.lines)


def _flush_buffered_response(call: Call, buffered: BufferedResponse) -> None:
    """Forward what was buffered; the rest of the body is forwarded as it arrives."""
    call.buffered_response = None
    if buffered.head.framing is Framing.UNTIL_CLOSE:
        buffered.head.framing = Framing.CHUNKED
    _begin_response(call, buffered.head)
    for part in buffered.parts:
        call.transaction.write_response_body(part)
