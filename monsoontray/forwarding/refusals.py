"""Write refusals as HTTP responses, and read those of other nodes."""

from __future__ import annotations

from http import HTTPStatus

import msgspec

from monsoontray.decisions.outcomes import Ran, Reason, Refusal
from monsoontray.forwarding.heads import (
    CLOSE_LINE,
    Framing,
    ResponseHead,
    encode_line,
    encode_response,
)

REFUSAL_HEADER = b"monsoontray-refusal"
RAN_HEADER = b"monsoontray-ran"
CALL_ID_HEADER = b"monsoontray-call-id"

_STATUSES = {
    Reason.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    Reason.HEAD_TOO_LARGE: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    Reason.HEAD_TIMEOUT: HTTPStatus.REQUEST_TIMEOUT,
    Reason.BODY_TIMEOUT: HTTPStatus.REQUEST_TIMEOUT,
    Reason.UNSUPPORTED: HTTPStatus.NOT_IMPLEMENTED,
    Reason.NO_CREDENTIALS: HTTPStatus.UNAUTHORIZED,
    Reason.UNKNOWN_CUSTOMER: HTTPStatus.UNAUTHORIZED,
    Reason.NOT_IN_PLAN: HTTPStatus.FORBIDDEN,
    Reason.DEADLINE_PASSED: HTTPStatus.GATEWAY_TIMEOUT,
    Reason.CONNECTION_LOST: HTTPStatus.BAD_GATEWAY,
    Reason.BAD_RESPONSE: HTTPStatus.BAD_GATEWAY,
}
_REASONS = {reason.value.encode(): reason for reason in Reason}
_RAN = {ran.value.encode(): ran for ran in Ran}


class RefusalBody(msgspec.Struct, frozen=True):
    """Shape of the body of a refusal."""

    refused: str
    ran: str
    call: str


def encode_refusal(refusal: Refusal, call_id: str, closes: bool) -> bytes:
    """Return the whole response that refuses a call."""
    status = _STATUSES.get(refusal.reason, HTTPStatus.SERVICE_UNAVAILABLE)
    reason = refusal.reason.value
    ran = refusal.ran.value
    body = msgspec.json.encode(RefusalBody(reason, ran, call_id)) + b"\n"
    lines = [
        b"content-type: application/json\r\n",
        encode_line(REFUSAL_HEADER, reason.encode()),
        encode_line(RAN_HEADER, ran.encode()),
    ]
    if call_id:
        lines.append(encode_line(CALL_ID_HEADER, call_id.encode("latin-1")))
    if closes:
        lines.append(CLOSE_LINE)
    head = encode_response(status, lines, Framing.LENGTH, len(body))
    return head + body


def read_refusal(head: ResponseHead) -> Refusal | None:
    """Return the refusal that another node's response states, if any."""
    reason = head.own.get(REFUSAL_HEADER)
    if not reason:
        return None
    ran = _RAN.get(head.own.get(RAN_HEADER, b""), Ran.UNKNOWN)
    return Refusal(_REASONS.get(reason, Reason.BAD_RESPONSE), ran)
