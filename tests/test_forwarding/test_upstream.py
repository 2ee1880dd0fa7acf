"""Connections to servers whose end is seen in different ways."""

from __future__ import annotations

import socket
import struct
from types import SimpleNamespace

import pytest

from monsoontray.decisions.outcomes import Ran, Reason
from monsoontray.forwarding import upstream as upstream_module
from monsoontray.forwarding.heads import NO_EXTRA_HEADERS
from monsoontray.forwarding.parsing import HeadLimits
from monsoontray.forwarding.upstream import UpstreamConnection
from monsoontray.kernel.sockets import READABLE, WRITABLE
from monsoontray.kernel.timers import Timers

UNTIL_CLOSE = b"HTTP/1.1 200 OK\r\n\r\nhalf"
SIZED = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhalf"


class FakeForwarder:
    """Owner of one connection, without an event loop."""

    def __init__(self):
        self.now = 0.0
        self.timers = Timers()
        self.dirty_connections = []
        self.account = SimpleNamespace(room=0)
        self.limits = SimpleNamespace(
            head=HeadLimits(100, 16_384), connect_timeout_s=1.0
        )
        self.http_profile = SimpleNamespace(
            get_response_headers=lambda: NO_EXTRA_HEADERS
        )
        self.kept = []
        self.pool = SimpleNamespace(add_idle=self.kept.append, remove=lambda each: None)

    def add_socket(self, descriptor, owner, events):
        pass

    def change_events(self, descriptor, events):
        pass

    def remove_socket(self, descriptor):
        pass

    def record_lost_connection(self, error):
        pass


class FakeCall:
    """Call whose request was or was not sent to its last byte."""

    def __init__(self):
        self.body = b""
        self.ended = False
        self.lost = None
        self.request = SimpleNamespace(
            sent=SimpleNamespace(is_written=True),
            on_connected=lambda: None,
            resume_request=lambda unsent_bytes: None,
        )

    def on_upstream_lost(self, reason):
        self.lost = reason


@pytest.fixture
def forwarder():
    return FakeForwarder()


@pytest.fixture
def exchange(forwarder, monkeypatch):
    """Return a connection, its call, and the server's side of its socket."""
    monkeypatch.setattr(upstream_module, "handle_response_head", lambda *_: True)
    monkeypatch.setattr(
        upstream_module,
        "handle_response_body",
        lambda call, part: setattr(call, "body", call.body + part),
    )
    monkeypatch.setattr(
        upstream_module,
        "handle_response_end",
        lambda call: setattr(call, "ended", True),
    )
    with socket.create_server(("127.0.0.1", 0)) as listener:
        sock = socket.create_connection(listener.getsockname())
        server, _ = listener.accept()
    connection = UpstreamConnection(sock, forwarder, listener)
    call = FakeCall()
    connection.begin_call(call, "GET")
    connection.handle_events(WRITABLE)
    yield connection, call, server
    connection.close()
    server.close()


def send_and_read(connection, server, data):
    server.sendall(data)
    connection.handle_events(READABLE)


def reset(server):
    server.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    server.close()


# A reset that the sending of a request reported was forgotten: the end of file that
# followed made half of a response look like the whole.
def test_response_without_length_is_not_whole_if_sending_reported_a_reset(exchange):
    connection, call, server = exchange
    send_and_read(connection, server, UNTIL_CLOSE)
    reset(server)
    connection.write(b"rest of the request")
    connection.flush()
    assert connection.is_reset
    connection.handle_events(READABLE)
    assert not call.ended
    assert call.lost is Reason.CONNECTION_LOST


def test_response_without_length_is_not_whole_if_reading_reports_a_reset(exchange):
    connection, call, server = exchange
    send_and_read(connection, server, UNTIL_CLOSE)
    reset(server)
    connection.handle_events(READABLE)
    assert not call.ended
    assert call.lost is Reason.CONNECTION_LOST


def test_response_without_length_is_whole_after_an_orderly_end(exchange):
    connection, call, server = exchange
    send_and_read(connection, server, UNTIL_CLOSE)
    server.close()
    connection.handle_events(READABLE)
    assert call.ended
    assert call.body == b"half"
    assert call.lost is None


def test_response_with_a_length_is_whole_though_sending_reported_a_reset(
    exchange, forwarder
):
    connection, call, server = exchange
    server.sendall(SIZED)
    reset(server)
    connection.write(b"rest of the request")
    connection.flush()
    connection.handle_events(READABLE)
    assert call.ended or call.lost is Reason.CONNECTION_LOST
    assert forwarder.kept == []


@pytest.mark.parametrize("obstacle", [None, "request", "output"])
def test_connection_is_kept_only_if_the_request_was_sent(exchange, forwarder, obstacle):
    connection, call, server = exchange
    if obstacle == "request":
        call.request.sent.is_written = False
    elif obstacle == "output":
        connection.write(b"not flushed yet")
    send_and_read(connection, server, SIZED)
    assert call.ended
    assert forwarder.kept == ([connection] if obstacle is None else [])
    assert connection.closed == (obstacle is not None)


class FakeWithdrawal:
    """Withdrawal that keeps what the guard says."""

    def __init__(self):
        self.events = []
        self.outcomes = []
        self.receive = self.events.extend
        self.settle = self.outcomes.append


def test_guard_reads_the_end_and_its_word_arrives(exchange):
    connection, call, server = exchange
    withdrawal = FakeWithdrawal()
    connection.withdraw(withdrawal)
    assert server.recv(1) == b""
    send_and_read(connection, server, SIZED)
    assert withdrawal.events[0].status == 200
    assert not call.ended
    assert withdrawal.outcomes == []


@pytest.mark.parametrize("end", [socket.socket.close, reset])
def test_guard_that_ends_without_a_word_leaves_the_outcome_unknown(exchange, end):
    connection, call, server = exchange
    withdrawal = FakeWithdrawal()
    connection.withdraw(withdrawal)
    end(server)
    connection.handle_events(READABLE)
    assert withdrawal.outcomes == [Ran.UNKNOWN]
    assert call.lost is None
