"""Encode refusals as HTTP responses, and decode those of other nodes."""

from __future__ import annotations

from functools import singledispatch
from http import HTTPStatus
from typing import Any

import msgspec

from monsoontray.decisions.outcomes import Ran, Reason, Refusal, refuse_unknown
from monsoontray.decoding.documents import decode_digits
from monsoontray.forwarding.heads import (
    CONNECTION_CLOSE_HEADER,
    Framing,
    ResponseHead,
    encode_header,
    encode_response,
)
from monsoontray.forwarding.responses import Mismatched, encode_load
from monsoontray.forwarding.sides import MeshEntrySide

REFUSAL_HEADER = b"monsoontray-refusal"
RAN_HEADER = b"monsoontray-ran"
RETRY_AFTER_HEADER = b"monsoontray-retry-after-ms"
CALL_ID_HEADER = b"monsoontray-call-id"
MAX_RETRY_AFTER_MS = 3_600_000
MIN_RETRY_AFTER_S = 0.05  # an earlier retry would be refused again

_STATUS_BY_REASON = {
    Reason.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    Reason.HEAD_TOO_LARGE: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    Reason.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Reason.HEAD_TIMEOUT: HTTPStatus.REQUEST_TIMEOUT,
    Reason.BODY_TIMEOUT: HTTPStatus.REQUEST_TIMEOUT,
    Reason.UNSUPPORTED: HTTPStatus.NOT_IMPLEMENTED,
    Reason.NO_CREDENTIALS: HTTPStatus.UNAUTHORIZED,
    Reason.UNKNOWN_CUSTOMER: HTTPStatus.UNAUTHORIZED,
    Reason.NOT_IN_PLAN: HTTPStatus.FORBIDDEN,
    Reason.KEYS_UNPROVEN: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.NO_ROUTE: HTTPStatus.NOT_FOUND,
    Reason.DEADLINE_PASSED: HTTPStatus.GATEWAY_TIMEOUT,
    Reason.CONNECTION_LOST: HTTPStatus.BAD_GATEWAY,
    Reason.NO_ANSWER: HTTPStatus.GATEWAY_TIMEOUT,
    Reason.BAD_RESPONSE: HTTPStatus.BAD_GATEWAY,
}
#: Statuses that mean to a caller that the request was not run.
_NOT_RUN_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
_GATEWAY_STATUSES = frozenset((HTTPStatus.BAD_GATEWAY, HTTPStatus.GATEWAY_TIMEOUT))
_REASONS_BY_VALUE = {reason.value.encode(): reason for reason in Reason}
_RAN_BY_VALUE = {ran.value.encode(): ran for ran in Ran}
_MS_PER_S = 1000


class RefusalBody(msgspec.Struct, frozen=True):
    """JSON body of a refusal."""

    refused: str
    ran: str
    call: str


@singledispatch
def encode_refusal(
    side: Any, refusal: Refusal, call_id: str, closes_connection: bool
) -> bytes:
    """Return the complete response for a refusal, in the form used on a side."""
    reason = refusal.reason.value
    ran = refusal.ran.value
    body = msgspec.json.encode(RefusalBody(reason, ran, call_id)) + b"\n"
    lines = [
        b"content-type: application/json\r\n",
        encode_header(REFUSAL_HEADER, reason.encode()),
        encode_header(RAN_HEADER, ran.encode()),
    ]
    if refusal.retry_after_s:
        retry_ms = b"%d" % (refusal.retry_after_s * _MS_PER_S)
        lines.append(encode_header(RETRY_AFTER_HEADER, retry_ms))
    if refusal.load is not None:
        lines.append(encode_load(refusal.load))
    if call_id:
        lines.append(encode_header(CALL_ID_HEADER, call_id.encode("latin-1")))
    status = _STATUS_BY_REASON.get(refusal.reason, HTTPStatus.SERVICE_UNAVAILABLE)
    return _encode(status, lines, body, closes_connection)


@encode_refusal.register(MeshEntrySide)
def _(
    side: MeshEntrySide, refusal: Refusal, call_id: str, closes_connection: bool
) -> bytes:
    status = _find_status(refusal)
    lines = [b"content-type: application/json\r\n"]
    if call_id:
        lines.append(
            encode_header(side.http_profile.call_id, call_id.encode("latin-1"))
        )
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        retry_s = max(refusal.retry_after_s, MIN_RETRY_AFTER_S)
        lines.append(b"retry-after: %.3f\r\n" % retry_s)
    ran = refusal.ran.value
    body = msgspec.json.encode(RefusalBody(refusal.reason.value, ran, call_id))
    return _encode(status, lines, body + b"\n", closes_connection)


def _find_status(refusal: Refusal) -> HTTPStatus:
    """Return the status of a refusal, consistent with whether the call may have run.

    A status that means "not run" is used only if the call did not run, and a
    gateway error only if it may have run.
    """
    status = _STATUS_BY_REASON.get(refusal.reason, HTTPStatus.SERVICE_UNAVAILABLE)
    if refusal.ran is Ran.UNKNOWN and status in _NOT_RUN_STATUSES:
        return HTTPStatus.BAD_GATEWAY
    if refusal.ran is not Ran.UNKNOWN and status in _GATEWAY_STATUSES:
        return HTTPStatus.SERVICE_UNAVAILABLE
    return status


def classify_refusal(head: ResponseHead, call_id: str) -> Refusal | Mismatched | None:
    """Return the refusal of a call by another node, if the response carries one.

    A refusal that names no call proves nothing about this one.
    """
    refusal = decode_refusal(head)
    if refusal is None:
        return None
    refused_call_id = head.node_headers.get(CALL_ID_HEADER)
    if refused_call_id is None:
        return refuse_unknown(Reason.BAD_RESPONSE)
    if refused_call_id.decode("latin-1") != call_id:
        return Mismatched()
    return refusal


def decode_refusal(head: ResponseHead) -> Refusal | None:
    """Return the refusal that another node's response carries, if any."""
    reason = head.node_headers.get(REFUSAL_HEADER)
    if not reason:
        return None
    ran = _RAN_BY_VALUE.get(head.node_headers.get(RAN_HEADER, b""), Ran.UNKNOWN)
    retry_ms = head.node_headers.get(RETRY_AFTER_HEADER, b"")
    retry_after_s = (decode_digits(retry_ms, MAX_RETRY_AFTER_MS) or 0) / _MS_PER_S
    return Refusal(
        _REASONS_BY_VALUE.get(reason, Reason.BAD_RESPONSE), ran, retry_after_s
    )


def _encode(
    status: HTTPStatus, lines: list[bytes], body: bytes, closes_connection: bool
) -> bytes:
    if closes_connection:
        lines.append(CONNECTION_CLOSE_HEADER)
    return encode_response(status, lines, Framing.LENGTH, len(body)) + body
