"""Fingerprints of requests that are sent again."""

from __future__ import annotations

import pytest

from monsoontray.forwarding.fingerprint import (
    FINGERPRINT_HEADER,
    PREFIX_BODY_BYTES,
    RequestFingerprint,
)
from monsoontray.forwarding.heads import Framing, RequestHead
from monsoontray.forwarding.routes import EntryRoute, GuardRoute
from monsoontray.forwarding.sending import RequestSender


def build_head(framing, length, headers=None):
    return RequestHead(
        "POST", b"/x", [], headers or {}, "h", b"", framing, length, True, False
    )


def fingerprint(
    method="POST", target=b"/a/1", caller=b"one", given=b"", parts=(b"body",)
):
    result = RequestFingerprint(method, target, caller, given)
    for part in parts:
        result.add_body(part)
    result.end_body()
    return result


@pytest.mark.parametrize(
    "changes",
    [{"method": "PUT"}, {"target": b"/a/2"}, {"caller": b"two"}, {"parts": (b"x",)}],
)
def test_requests_that_differ_have_different_fingerprints(changes):
    assert fingerprint(**changes).value != fingerprint().value


def test_division_of_the_body_into_parts_does_not_matter():
    body = b"0123456789" * 5_000
    parts = (body[:1], body[1:20_000], body[20_000:])
    assert fingerprint(parts=parts).value == fingerprint(parts=(body,)).value
    assert fingerprint(parts=()).value == fingerprint(parts=(b"",)).value


def test_start_of_a_long_body_is_known_before_its_end():
    result = RequestFingerprint("POST", b"/a", b"one", b"")
    result.add_body(b"x" * PREFIX_BODY_BYTES)
    assert result.known == ""
    result.add_body(b"y")
    start = result.known
    assert start
    assert result.value == ""
    result.add_body(b"z" * 100_000)
    assert result.known == start
    result.end_body()
    assert result.value.startswith(start)
    assert len(result.value) > len(start)


# Requests whose bodies differed only after 16 KB were taken for the same one.
@pytest.mark.parametrize("length", [PREFIX_BODY_BYTES, PREFIX_BODY_BYTES + 1, 500_000])
def test_bodies_that_differ_in_the_last_byte_are_two_requests(length):
    body = bytes(length)
    values = {
        fingerprint(parts=(each,)).value
        for each in (body, body[:-1] + b"x", body[:-1], body + b"x")
    }
    assert len(values) == 4
    assert not any(
        one != other and one.startswith(other) for one in values for other in values
    )


# Requests with bodies in chunks all had the fingerprint of an empty body.
def test_body_in_chunks_is_part_of_the_fingerprint():
    head = build_head(Framing.CHUNKED, 0)
    route = EntryRoute("one", "", "", "route", 1, False, 2, 9.0)
    senders = [RequestSender(None, None, head, route, b"", b"one") for _ in range(2)]
    for sender, body in zip(senders, (b"first", b"second"), strict=True):
        assert sender.fingerprint.value == ""
        sender.identify(body)
        sender.fingerprint.end_body()
    assert senders[0].fingerprint.value != senders[1].fingerprint.value


def test_body_with_a_length_is_known_before_its_last_part_is_sent():
    head = build_head(Framing.LENGTH, 10)
    route = EntryRoute("one", "", "", "route", 1, False, 2, 9.0)
    sender = RequestSender(None, None, head, route, b"", b"one")
    sender.identify(b"12345")
    assert sender.fingerprint.value == ""
    sender.identify(b"67890")
    assert sender.fingerprint.value


def test_fingerprint_of_another_node_is_used_if_it_is_valid():
    given = fingerprint().value
    guard = RequestFingerprint("POST", b"/a/1", b"one", given.encode())
    assert (guard.value, guard.head) == (given, given[:16])
    long = fingerprint(parts=(bytes(20_000),)).value
    assert RequestFingerprint("POST", b"/", b"one", long.encode()).value == long
    for given in (b"no fingerprint", long.encode()[:-1], 2 * long.encode()):
        odd = RequestFingerprint("POST", b"/a/1", b"one", given)
        assert odd.value == ""
        assert odd.head == fingerprint().head


def test_fingerprint_is_taken_from_nodes_only_and_not_from_clients():
    given = fingerprint().value
    headers = {FINGERPRINT_HEADER: given.encode()}
    head = build_head(Framing.EMPTY, 0, headers)
    entry = EntryRoute("one", "", "", "route", 1, True, 2, 9.0)
    guard = GuardRoute("i-1", "", 1, True, 9.0, "route")
    senders = [RequestSender(None, None, head, r, b"", b"one") for r in (entry, guard)]
    assert [sender.fingerprint.value == given for sender in senders] == [False, True]
