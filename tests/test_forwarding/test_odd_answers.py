"""Answers of back ends in trouble: odd statuses and versions, and early ends."""

from __future__ import annotations

import socket

import pytest

from monsoontray.decisions.outcomes import Reason
from monsoontray.forwarding.heads import EndOfMessage, ResponseHead
from monsoontray.forwarding.parsing import HeadLimits, Malformed, ResponseParser
from monsoontray.kernel.sockets import ERROR_OR_HANGUP, READABLE, WRITABLE
from tests.test_forwarding import test_upstream
from tests.test_forwarding.test_upstream import UNTIL_CLOSE, reset, send_and_read

exchange, forwarder = test_upstream.exchange, test_upstream.forwarder
FRAMINGS = (b"Content-Length: 2\r\n\r\nok", b"\r\nok",
            b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")  # fmt: skip
ODD_STARTS = (
    *(b"HTTP/1.1 %b X" % status for status in (
        b"000", b"0", b"099", b"99", b"600", b"999", b"1000", b"2e0", b"abc", b"-20")),
    b"HTTP/1.1", b"HTTP/1.1 ", b"HTTP/0.9 200 OK", b"HTTP/2.0 200 OK",
    b"HTTP/1.1 101 Switching Protocols", b"ICY 200 OK",
)  # fmt: skip
EARLY_ANSWERS = {
    "without length": b"HTTP/1.1 200 OK\r\n\r\n",
    "in chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "with a length": b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n",
}


def parse(data):
    parser = ResponseParser(HeadLimits(100, 16_384))
    parser.expect_response("POST")
    return parser.feed(data)


@pytest.mark.parametrize("rest", FRAMINGS)
@pytest.mark.parametrize("start", ODD_STARTS)
def test_odd_start_line_makes_the_answer_malformed(start, rest):
    events = parse(start + b"\r\n" + rest)
    assert [type(event) for event in events] == [Malformed]
    assert events[0].reason in (Reason.BAD_RESPONSE, Reason.BAD_REQUEST)


@pytest.mark.parametrize("status", [b"102", b"103", b"199"])
def test_informational_answer_has_no_body(status):
    events = parse(b"HTTP/1.1 " + status + b" X\r\nContent-Length: 2\r\n\r\nok")
    assert [type(event) for event in events] == [Malformed]


@pytest.mark.parametrize("phrase", [b"", b" ", b" 0"])
def test_answer_needs_no_phrase(phrase):
    events = parse(b"HTTP/1.1 200" + phrase + b"\r\nContent-Length: 2\r\n\r\nok")
    assert [type(event) for event in events] == [ResponseHead, bytes, EndOfMessage]


def test_informational_answers_in_a_row_are_skipped():
    rows = b"HTTP/1.1 102 X\r\n\r\n" * 20
    events = parse(rows + b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    assert [type(event) for event in events] == [ResponseHead, EndOfMessage]


@pytest.mark.parametrize("first", ["send", "recv", "poll"])
@pytest.mark.parametrize("part", [b"", b"4\r\nhalf\r\n"])
@pytest.mark.parametrize("head", EARLY_ANSWERS)
def test_early_answer_that_is_reset_is_not_whole(exchange, head, part, first):
    connection, call, server = exchange
    call.request.sent.is_written = False  # the upload is still being written
    send_and_read(connection, server, EARLY_ANSWERS[head] + part)
    reset(server)
    if first == "send":
        connection.write(b"more of the upload")
        connection.flush()
    events = READABLE | WRITABLE | ERROR_OR_HANGUP if first == "poll" else READABLE
    connection.handle_events(events)
    connection.write(b"still more of the upload")
    connection.flush()
    assert not call.ended
    assert call.lost is Reason.CONNECTION_LOST
    assert connection.closed


def test_early_answer_without_length_is_whole_at_an_orderly_end(exchange, forwarder):
    connection, call, server = exchange
    call.request.sent.is_written = False
    send_and_read(connection, server, UNTIL_CLOSE)
    server.shutdown(socket.SHUT_WR)
    connection.handle_events(READABLE)
    assert call.ended
    assert forwarder.kept == []
