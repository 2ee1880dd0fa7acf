"""Checks of responses, buffered responses and the load header."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from msgspec import Struct

from monsoontray.decisions.outcomes import Ran, Reason, Refusal, refuse_unknown
from monsoontray.decisions.servers import LoadReport
from monsoontray.decoding.documents import decode_digits
from monsoontray.forwarding.heads import Framing, ResponseHead, encode_header
from monsoontray.forwarding.routes import LOAD_HEADER, RUN_TIME_HEADER, WAIT_HEADER

if TYPE_CHECKING:
    from monsoontray.forwarding.http_profile import HttpProfile

WRONG_SERVER_STATUS = 421
_MS_PER_S = 1000
_PERCENT = 100
#: Of the calls, slots, mean time in milliseconds and share of failures in percent.
_MAX_LOAD_VALUES = (1_000_000, 1_000_000, 3_600_000, _PERCENT)
_MAX_WAIT_MS = 3_600_000
_RUN_TIME = re.compile(rb"\d{1,9}\.\d")


class Mismatched(Struct, frozen=True):
    """The response belongs to another call."""


class Accepted(Struct, frozen=True):
    """The response belongs to its call and may be forwarded."""


def classify_response(
    head: ResponseHead, call_id: str, http_profile: HttpProfile
) -> Accepted | Mismatched | Refusal:
    """Return whether a server's response may be forwarded, or why not."""
    if head.framing is Framing.UNTIL_CLOSE and not http_profile.allows_until_close:
        return refuse_unknown(Reason.BAD_RESPONSE)
    response_call_id = head.node_headers.get(http_profile.call_id)
    if not http_profile.callers_assign_call_ids:
        matches = (
            response_call_id is None or response_call_id.decode("latin-1") == call_id
        )
        return Accepted() if matches else refuse_unknown(Reason.BAD_RESPONSE)
    # A server may repeat an earlier refusal, so one that names no call proves nothing.
    if response_call_id is None:
        return refuse_unknown(Reason.BAD_RESPONSE)
    if response_call_id.decode("latin-1") != call_id:
        return Mismatched()
    if head.status == WRONG_SERVER_STATUS:
        return Refusal(Reason.WRONG_SERVER, Ran.REJECTED)
    if head.node_headers.get(http_profile.not_executed):
        return Refusal(Reason.SERVER_SHED, Ran.REJECTED)
    if head.status < 300 and not head.node_headers.get(http_profile.seal):
        return refuse_unknown(Reason.BAD_RESPONSE)
    return Accepted()


class BufferedResponse:
    """A response whose body is buffered, so that it can still be replaced."""

    __slots__ = ("head", "parts", "size")

    def __init__(self, head: ResponseHead) -> None:
        self.head = head
        self.parts: list[bytes] = []
        self.size = 0

    def add(self, part: bytes) -> None:
        """Add a part of the body."""
        self.parts.append(part)
        self.size += len(part)

    def complete(self) -> None:
        """Set the length of a response that ended with its connection."""
        if self.head.framing is Framing.UNTIL_CLOSE:
            self.head.framing = Framing.LENGTH
            self.head.length = self.size


def encode_load(report: LoadReport) -> bytes:
    """Return the header lines that report a guard's load."""
    service_ms = int(report.service_s * _MS_PER_S)
    failure_rate = int(report.failure_rate * _PERCENT)
    value = b"%d %d %d %d" % (report.calls, report.slots, service_ms, failure_rate)
    line = encode_header(LOAD_HEADER, value)
    if report.wait_s:
        line += encode_header(WAIT_HEADER, b"%d" % (report.wait_s * _MS_PER_S))
    if not report.run_s:
        return line
    return line + encode_header(RUN_TIME_HEADER, b"%.1f" % (report.run_s * _MS_PER_S))


def decode_load(head: ResponseHead) -> LoadReport | None:
    """Return the load that a guard's response reports, if any."""
    parts = head.node_headers.get(LOAD_HEADER, b"").split()
    if len(parts) != len(_MAX_LOAD_VALUES):
        return None
    values = [
        decode_digits(part, maximum)
        for part, maximum in zip(parts, _MAX_LOAD_VALUES, strict=True)
    ]
    calls, slots, service_ms, failure_rate = values
    if calls is None or slots is None or service_ms is None or failure_rate is None:
        return None
    run_ms = head.node_headers.get(RUN_TIME_HEADER, b"")
    # A node of an earlier version does not report the time of the route.
    run_s = float(run_ms) / _MS_PER_S if _RUN_TIME.fullmatch(run_ms) else 0.0
    wait_ms = decode_digits(head.node_headers.get(WAIT_HEADER, b""), _MAX_WAIT_MS) or 0
    return LoadReport(
        calls,
        slots,
        service_ms / _MS_PER_S,
        failure_rate / _PERCENT,
        run_s,
        wait_ms / _MS_PER_S,
    )
