"""Requests as they are sent to another node, without sockets."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from monsoontray.forwarding.heads import Framing, RequestHead
from monsoontray.forwarding.http_profile import OWN_PROFILE
from monsoontray.forwarding.routes import EntryRoute, Hop
from monsoontray.forwarding.sending import RequestSender

HOP = Hop(("127.0.0.1", 9), True, ())
SERVER_HOP = Hop(("127.0.0.1", 9), False, ())
DEADLINE = 9.0


class FakeUpstream:
    """Connection to another node that records what is written."""

    def __init__(self):
        self.call = None
        self.sent_calls = []  # as the guard of a local server counts them
        self.connected = True
        self.unsent_bytes = 0
        self.written = b""

    def begin_call(self, call, method):
        self.call = call

    def write(self, data):
        self.written += data


@pytest.fixture
def upstream():
    return FakeUpstream()


def start_request(upstream, framing, length, hop=HOP):
    forwarder = SimpleNamespace(
        now=0.0,
        pool=SimpleNamespace(acquire=lambda address: upstream),
        guards=SimpleNamespace(record_sent=upstream.sent_calls.append),
        http_profile=OWN_PROFILE,
        limits=SimpleNamespace(replay_buffer_bytes=1_000, stream_buffer_bytes=1_000),
    )
    transaction = SimpleNamespace(resume_reading=lambda: None)
    head = RequestHead("POST", b"/x", [], {}, "h", b"", framing, length, True, False)
    route = EntryRoute("one", "", "", "route", 1, False, 2, DEADLINE)
    sender = RequestSender(forwarder, transaction, head, route, b"", b"one")
    sender.start("call", hop)
    return sender


# The body of an order in chunks was sent to a node that had not asked for it, so the
# order counted as run when that node was lost.
@pytest.mark.parametrize("framing", [Framing.LENGTH, Framing.CHUNKED])
def test_body_of_an_order_is_sent_to_another_node_when_it_asks(upstream, framing):
    sender = start_request(upstream, framing, 5 if framing is Framing.LENGTH else 0)
    sender.send_body(b"order")
    sender.send_end()
    assert b"expect: 100-continue" in upstream.written
    assert upstream.written.endswith(b"\r\n\r\n")
    assert b"order" not in upstream.written
    assert not sender.may_run
    assert upstream.sent_calls == []
    sender.handle_continue()
    assert b"order" in upstream.written
    assert sender.may_run
    assert sender.sent.is_written


# After a pause of the node, the rest of an upload was not sent, but its connection was
# kept: the server read the next requests as that rest.
@pytest.mark.parametrize("framing", [Framing.LENGTH, Framing.CHUNKED])
def test_request_whose_rest_came_after_the_deadline_is_not_counted_as_written(
    upstream, framing
):
    length = 10 if framing is Framing.LENGTH else 0
    sender = start_request(upstream, framing, length, SERVER_HOP)
    sender.send_body(b"first")
    sender._forwarder.now = DEADLINE
    sender.send_body(b"later")
    sender.send_end()
    assert sender.is_received
    assert b"later" not in upstream.written
    assert not sender.sent.is_written


@pytest.mark.parametrize(
    ("framing", "length", "parts"),
    [
        (Framing.EMPTY, 0, ()),
        (Framing.LENGTH, 0, ()),
        (Framing.LENGTH, 10, (b"first", b"later")),
        (Framing.CHUNKED, 0, ()),
        (Framing.CHUNKED, 0, (b"first", b"later")),
    ],
)
def test_request_is_written_after_its_last_byte(upstream, framing, length, parts):
    sender = start_request(upstream, framing, length, SERVER_HOP)
    for part in parts:
        assert not sender.sent.is_written
        sender.send_body(part)
    if framing is Framing.CHUNKED:
        assert not sender.sent.is_written
    sender.send_end()
    assert sender.sent.is_written
    assert upstream.sent_calls == ["call"]
