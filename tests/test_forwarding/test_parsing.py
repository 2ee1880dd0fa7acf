from __future__ import annotations

import pytest

from monsoontray.decisions.outcomes import Reason
from monsoontray.forwarding.heads import (
    END_OF_MESSAGE,
    Framing,
    RequestHead,
    ResponseHead,
    encode_request,
)
from monsoontray.forwarding.parsing import (
    HeadLimits,
    Malformed,
    RequestParser,
    ResponseParser,
    is_delimited,
)

LIMITS = HeadLimits(header_count=20, head_bytes=2_000)
START = b"POST /orders HTTP/1.1\r\nHost: shop\r\n"


def parse(data: bytes):
    return RequestParser(LIMITS).feed(data)


def parse_response(data: bytes, method: str = "GET"):
    parser = ResponseParser(LIMITS)
    parser.expect_response(method)
    return parser.feed(data)


def test_a_parsed_request_is_encoded_in_normal_form():
    raw = START + b"X-A:  b \r\nContent-Length: 3\r\n\r\nabc"
    head, body, end = parse(raw)
    assert isinstance(head, RequestHead)
    assert (body, end) == (b"abc", END_OF_MESSAGE)
    written = encode_request(
        head.method, head.target, head.lines, head.framing, head.length
    )
    assert written == (
        b"POST /orders HTTP/1.1\r\nx-a: b\r\nhost: shop\r\ncontent-length: 3\r\n\r\n"
    )


def test_hop_by_hop_and_node_headers_are_not_forwarded():
    raw = START + (
        b"Connection: X-Secret, keep-alive\r\nX-Secret: 1\r\nKeep-Alive: 5\r\n"
        b"TE: trailers\r\nProxy-Authorization: x\r\nMonsoontray-Customer: forged\r\n"
        b"X-Kept: 1\r\n\r\n"
    )
    head = parse(raw)[0]
    assert head.lines == [b"x-kept: 1\r\n", b"host: shop\r\n"]
    assert head.node_headers == {b"monsoontray-customer": b"forged"}


# A request without Host was sent to the server, which refused it: the caller got 502.
def test_host_is_forwarded_though_the_connection_header_lists_it():
    head = parse(START + b"Connection: host, x-secret\r\nX-Secret: 1\r\n\r\n")[0]
    assert head.lines == [b"host: shop\r\n"]


def test_pipelined_requests_can_arrive_byte_by_byte():
    raw = START + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nT: x\r\n\r\n"
    parser = RequestParser(LIMITS)
    events = []
    for byte in raw + raw:
        events += parser.feed(bytes((byte,)))
    heads = [event for event in events if isinstance(event, RequestHead)]
    assert len(heads) == 2
    assert all(head.framing is Framing.CHUNKED for head in heads)
    assert all(head.lines == [b"host: shop\r\n"] for head in heads)
    assert events.count(END_OF_MESSAGE) == 2


@pytest.mark.parametrize(
    "raw",
    [
        START + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
        START + b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        START + b"Content-Length: 3, 3\r\n\r\nabc",
        START + b"Content-Length: +3\r\n\r\nabc",
        START + b"Content-Length: 0x3\r\n\r\nabc",
        START + b"Content-Length: 9999999999999999\r\n\r\n",
        START + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        START + b"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
        START + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        START + b"Transfer-Encoding: chunked, identity\r\n\r\n",
        START + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
        START + b"Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
        START + b"Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n",
        START + b"Transfer-Encoding: chunked\r\n\r\n-3\r\nabc\r\n0\r\n\r\n",
        START + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
        START + b"X-A: b\r\n c\r\n\r\n",
        START + b"X-A: b\n\r\n",
        START + b"X-A: b\x00c\r\n\r\n",
        START + b"X A: b\r\n\r\n",
        START + b"Host: other\r\n\r\n",
        b"POST /orders HTTP/1.1\r\n\r\n",
        b"POST /orders HTTP/1.1\nHost: shop\n\n",
    ],
)
def test_ambiguous_requests_are_refused(raw):
    events = parse(raw)
    assert events
    assert isinstance(events[-1], Malformed)
    assert events[-1].reason is Reason.BAD_REQUEST
    assert END_OF_MESSAGE not in events


@pytest.mark.parametrize(
    "raw",
    [
        START + b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
        START + b"Upgrade: h2c\r\n\r\n",
        b"CONNECT shop:443 HTTP/1.1\r\nHost: shop\r\n\r\n",
        b"POST /orders HTTP/2.0\r\nHost: shop\r\n\r\n",
        b"POST /orders\r\n\r\n",
        b"GET /orders HTTP/1.0\r\nHost: shop\r\n\r\n",
    ],
)
def test_upgrades_tunnels_and_other_http_versions_are_refused(raw):
    events = parse(raw)
    assert isinstance(events[-1], Malformed)
    assert events[-1].reason is Reason.UNSUPPORTED


@pytest.mark.parametrize(
    "raw",
    [
        START + b"".join(b"X-%d: 1\r\n" % i for i in range(30)) + b"\r\n",
        START + b"X-A: " + b"a" * 3_000 + b"\r\n\r\n",
        START + b"X-A: " + b"a" * 3_000,
        b"GET /" + b"a" * 3_000 + b" HTTP/1.1\r\nHost: shop\r\n\r\n",
    ],
)
def test_the_head_size_is_limited(raw):
    events = parse(raw)
    assert isinstance(events[-1], Malformed)
    assert events[-1].reason is Reason.HEAD_TOO_LARGE


def test_the_size_of_a_head_in_many_pieces_is_limited():
    parser = RequestParser(LIMITS)
    events = parser.feed(START)
    for _ in range(300):
        events += parser.feed(b"X-A: aaaa\r\n")
    assert isinstance(events[0], Malformed)


def test_the_size_of_trailers_and_chunk_extensions_is_limited():
    for tail in (b"0\r\nT: ", b"3;x="):
        parser = RequestParser(LIMITS)
        parser.feed(START + b"Transfer-Encoding: chunked\r\n\r\n")
        events = []
        for _ in range(300):
            events += parser.feed(tail)
            tail = b"a" * 100
        assert any(isinstance(event, Malformed) for event in events)


def test_informational_responses_are_dropped():
    raw = b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"
    head, end = parse_response(raw)
    assert (head.status, head.lines, end) == (204, [], END_OF_MESSAGE)


def test_small_chunks_of_one_read_are_forwarded_as_one_part():
    """Chunks of one byte, forwarded one by one, delayed all other calls by 0.3 s."""
    raw = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    parser = ResponseParser(LIMITS)
    events = parser.feed(raw + b"1\r\na\r\n" * 1_000)
    assert events[1:] == [b"a" * 1_000]
    assert parser.feed(b"1\r\nb\r\n0\r\n\r\n") == [b"b", END_OF_MESSAGE]


def test_body_before_a_malformed_chunk_is_emitted_first():
    raw = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\nzz\r\n"
    _head, body, malformed = parse_response(raw)
    assert body == b"a"
    assert isinstance(malformed, Malformed)


def test_start_of_a_further_response_is_noticed():
    parser = ResponseParser(LIMITS)
    events = parser.feed(b"HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 500 ")
    assert events[-1] == END_OF_MESSAGE
    assert parser.head_in_progress


def test_a_response_to_head_has_no_body():
    parser = ResponseParser(LIMITS)
    raw = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
    for method, rest, count in (("HEAD", b"", 2), ("GET", b"hello", 3)):
        parser.expect_response(method)
        events = parser.feed(raw + rest)
        assert len(events) == count
        assert events[-1] == END_OF_MESSAGE


def test_a_response_without_a_length_is_not_delimited():
    head = parse_response(b"HTTP/1.1 200 OK\r\n\r\nhello")[0]
    assert isinstance(head, ResponseHead)
    assert not is_delimited(head)


@pytest.mark.parametrize(
    "raw",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nhello",
        b"garbage\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX: " + b"a" * 3_000,
    ],
)
def test_malformed_responses_are_refused(raw):
    events = parse_response(raw)
    assert isinstance(events[-1], Malformed)
    assert events[-1].reason is Reason.BAD_RESPONSE
