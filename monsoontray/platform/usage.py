"""Encode usage reports for the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from monsoontray.forwarding.heads import encode_header
from monsoontray.http.client import HttpRequest

if TYPE_CHECKING:
    from monsoontray.decisions.duty_steps import SendReport
    from monsoontray.settings.settings import Address


class UsageReportSchema(msgspec.Struct, frozen=True):
    """JSON schema of the usage of a window."""

    window_seq: int
    counts: dict[str, int]


def build_request(report: SendReport, address: Address) -> HttpRequest:
    """Return the request that reports a window."""
    schema = UsageReportSchema(report.usage.window, report.usage.counts)
    lines = (
        encode_header(b"x-duty-holder", report.node.encode()),
        encode_header(b"x-fencing-token", b"%d" % report.token),
    )
    body = msgspec.json.encode(schema)
    limit = report.deadline
    return HttpRequest("POST", address, "/usage", limit, limit, body, lines)
