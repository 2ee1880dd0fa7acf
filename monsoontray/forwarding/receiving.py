"""Take the response to a call: hold it, pass it on, or follow a refusal."""

from __future__ import annotations

from typing import TYPE_CHECKING

from monsoontray.decisions.outcomes import Ran, Reason, Refusal
from monsoontray.forwarding.heads import Framing, ResponseHead
from monsoontray.forwarding.refusals import read_refusal
from monsoontray.forwarding.replacing import try_replace
from monsoontray.forwarding.responses import (
    Foreign,
    HeldResponse,
    encode_load,
    judge_response,
    read_load,
)
from monsoontray.forwarding.routes import GuardRoute

if TYPE_CHECKING:
    from monsoontray.forwarding.call import Call

FIRST_FAILURE_STATUS = 500


def take_head(call: Call, head: ResponseHead) -> bool:
    """Take the head of a response; say whether it belongs to the call."""
    hop = call.request.hop
    assert hop is not None
    if call.guard is not None:
        call.guard.heard_at = call.now
    if hop.is_guard:
        call.forwarder.loads.hear(call.server, read_load(head), call.now)
        call.guard_refusal = read_refusal(head)
        if call.guard_refusal is not None:
            return True
    vocabulary = call.forwarder.vocabulary
    verdict = judge_response(head, call.call_id, vocabulary)
    if isinstance(verdict, Foreign):
        return False
    call.stop_attempt_timer()
    if isinstance(verdict, Refusal):
        call.request.drop()
        if verdict.ran is Ran.UNKNOWN:
            call.note_outcome(True)
        call.fail_attempt(verdict)
        return True
    if call.id_line:
        head.lines.append(call.id_line)
    if vocabulary.hold_bytes and head.length <= vocabulary.hold_bytes:
        call.held = HeldResponse(head)
    else:
        _begin_response(call, head)
    return True


def take_body(call: Call, part: bytes) -> None:
    """Pass on a part of the response, or hold it."""
    if call.guard_refusal is not None:
        return
    held = call.held
    if held is not None:
        held.add(part)
        if held.size > call.forwarder.vocabulary.hold_bytes:
            _release_held(call, held)
    else:
        call.exchange.write_response_body(part)
    if call.exchange.count_unsent() > call.forwarder.limits.stream_bytes:
        assert call.request.upstream is not None
        call.request.upstream.pause_reading()


def take_end(call: Call) -> None:
    """Complete the response, or replace one that failed."""
    call.request.upstream = None
    if call.guard_refusal is not None:
        call.follow_guard_refusal(call.guard_refusal)
        return
    held = call.held
    failed = held is not None and held.head.status >= FIRST_FAILURE_STATUS
    if held is not None:
        held.complete()
        needed_s = call.now - call.started
        if failed and try_replace(call, Reason.SERVER_FAILED, needed_s):
            return
        _release_held(call, held)
    call.finish(failed)


def _begin_response(call: Call, head: ResponseHead) -> None:
    call.response_started = True
    if isinstance(call.route, GuardRoute) and call.guard is not None:
        head.lines.append(encode_load(call.guard.report_load(call.now)))
    call.exchange.begin_response(head, head.lines)


def _release_held(call: Call, held: HeldResponse) -> None:
    """Pass on what was held; the rest of the body follows as it comes."""
    call.held = None
    if held.head.framing is Framing.UNTIL_CLOSE:
        held.head.framing = Framing.CHUNKED
    _begin_response(call, held.head)
    for part in held.parts:
        call.exchange.write_response_body(part)
