"""Requests in forms that take much memory, without a network."""

from __future__ import annotations

import gc
import weakref

import pytest

from monsoontray.decisions.outcomes import Reason
from monsoontray.forwarding.framing import HEADER_COST
from monsoontray.forwarding.heads import END_OF_MESSAGE, RequestHead, encode_request
from monsoontray.forwarding.intake import SLICE_BYTES, Intake
from monsoontray.forwarding.limits import read_limits
from monsoontray.forwarding.parsing import HeadLimits, Malformed, RequestParser
from monsoontray.forwarding.sides import GuardSide, find_head_limits
from monsoontray.settings.settings import check_settings
from tests.fakes import SETTINGS

START = b"GET /a HTTP/1.1\r\nHost: a\r\n"
SMALL_REQUEST = START + b"\r\n"
MAX_HEADER_BYTES = 16_384  # that clients of the platform may send
LIMITS = HeadLimits(header_count=20, head_bytes=MAX_HEADER_BYTES)


class ReferredParser(RequestParser):
    """Parser of which a test can see whether it was freed."""

    __slots__ = ("__weakref__",)


def test_headers_are_counted_while_they_arrive():
    parser = RequestParser(LIMITS)
    events = parser.feed(START + b"a:\r\n" * 30)
    assert [event.reason for event in events] == [Reason.HEAD_TOO_LARGE]
    assert parser.headers_cost < 30 * (HEADER_COST + 4)


@pytest.mark.parametrize(
    "line", [b"a:\r\n", b"connection:a\r\n", b"monsoontray-a:\r\n"]
)
def test_repeated_header_is_counted_each_time(line):
    events = RequestParser(LIMITS).feed(START + line * 30 + b"\r\n")
    assert isinstance(events[-1], Malformed)


def test_trailers_are_counted_and_not_kept():
    parser = RequestParser(LIMITS)
    parser.feed(START + b"Transfer-Encoding: chunked\r\n\r\n0\r\n" + b"a:\r\n" * 15)
    assert not parser.lines
    assert isinstance(parser.feed(b"a:\r\n" * 15)[-1], Malformed)


def test_each_head_inside_the_limits_is_accepted_by_the_default_settings():
    limits = read_limits(check_settings(SETTINGS)).head
    limits = HeadLimits(limits.header_count, MAX_HEADER_BYTES)
    raw = START + b"a:\r\n" * ((MAX_HEADER_BYTES - len(START) - 2) // 4) + b"\r\n"
    head, end = RequestParser(limits).feed(raw)
    assert end is END_OF_MESSAGE
    passed_on = encode_request("GET", head.target, head.lines, head.framing, 0)
    guard_limits = find_head_limits(GuardSide(), limits)
    assert RequestParser(guard_limits).feed(passed_on)[-1] is END_OF_MESSAGE


def test_requests_that_have_to_wait_stay_unparsed():
    intake = Intake(RequestParser(LIMITS))
    intake.add(SMALL_REQUEST * 2_000)
    assert intake.parse()
    assert len(intake.events) <= 2 * SLICE_BYTES // len(SMALL_REQUEST) + 2
    assert intake.measure() < 4 * 2_000 * len(SMALL_REQUEST)
    while intake.parse():
        pass
    assert sum(isinstance(event, RequestHead) for event in intake.events) == 2_000


def test_cleared_intake_leaves_no_cycle_for_the_garbage_collector():
    intake = Intake(ReferredParser(LIMITS))
    intake.add(START)
    intake.parse()
    reference = weakref.ref(intake._parser)
    gc.disable()
    try:
        intake.clear()
        assert reference() is None
    finally:
        gc.enable()
