"""Peers that are unreachable, and peers that only don't read."""

from __future__ import annotations

import ctypes
import select
import socket
import time
from types import SimpleNamespace

import pytest

from monsoontray.forwarding.windows import (
    USER_TIMEOUT_MS,
    SendQueue,
    SilenceLimit,
)
from monsoontray.kernel.timers import Timers

SO_ATTACH_FILTER = 26
#: A filter of one instruction, "return 0 bytes": the socket receives nothing any more.
DROP_ALL = ctypes.create_string_buffer(b"\x06\0\0\0\0\0\0\0")
RECEIVE_BUFFER_BYTES = 4_096
SENT = b"b" * 30_000


class Owner:
    """Task that owns one connection."""

    def __init__(self):
        self.timers = Timers()
        self.now = time.monotonic()

    def run_until(self, deadline, sock=None):
        """Run the timers until a deadline, or until the system ends the connection."""
        poll = select.poll()
        if sock is not None:
            poll.register(sock, 0)
        while (left_s := deadline - time.monotonic()) > 0.0:
            if poll.poll(min(left_s, 0.05) * 1_000):
                return
            self.now = time.monotonic()
            self.timers.run_due(self.now)


@pytest.fixture
def exchange():
    """Return a task, its connection, the peer's side, and the windows that closed."""
    owner, closed = Owner(), []
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        ours = socket.create_connection(listener.getsockname())
        peer, _ = listener.accept()
    ours.setblocking(False)
    limit = SilenceLimit(ours, owner, lambda: closed.append(owner.now))
    yield SimpleNamespace(owner=owner, sock=ours, peer=peer, limit=limit, closed=closed)
    limit.stop()
    ours.close()
    peer.close()


def send(exchange, data=SENT):
    assert exchange.sock.send(data) == len(data)
    exchange.limit.record_sent()


def get_timeout_ms(sock):
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)


def drop_all(sock):
    program = (ctypes.c_ushort * 8)()
    ctypes.memset(program, 0, 16)
    program[0] = 1  # instructions
    ctypes.c_void_p.from_buffer(program, 8).value = ctypes.addressof(DROP_ALL)
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, bytes(program))


def read_error(sock):
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)


def test_peer_that_reads_nothing_for_longer_than_the_limit_gets_everything(exchange):
    """LOST: the system ended such connections after 1.7 to 2 s."""
    send(exchange)
    exchange.owner.run_until(exchange.owner.now + 3.0, exchange.sock)
    assert len(exchange.closed) == 1
    exchange.sock.shutdown(socket.SHUT_WR)
    received = b""
    while part := exchange.peer.recv(65_536):
        received += part
    assert received == SENT


def test_peer_that_acknowledges_nothing_is_found_by_the_limit(exchange):
    drop_all(exchange.peer)
    send(exchange, b"head")
    began_at = exchange.owner.now
    exchange.owner.run_until(began_at + 10.0, exchange.sock)
    assert read_error(exchange.sock)
    assert not exchange.closed


def test_limit_is_restored_when_the_peer_reads_on(exchange):
    send(exchange)
    exchange.owner.run_until(exchange.owner.now + 1.2)
    assert get_timeout_ms(exchange.sock) == 0
    received = 0
    while received < len(SENT):
        received += len(exchange.peer.recv(65_536))
    exchange.owner.run_until(exchange.owner.now + 1.2)
    assert get_timeout_ms(exchange.sock) == USER_TIMEOUT_MS
    assert exchange.owner.timers.find_next_deadline() is None


@pytest.mark.parametrize(
    ("queue", "is_closed"),
    [
        (SendQueue(unacknowledged=0, unsent=9, backoff=1), True),
        (SendQueue(unacknowledged=2, unsent=9, backoff=3), False),  # retransmitted
        (SendQueue(unacknowledged=0, unsent=9, backoff=0), False),  # not probed yet
        (SendQueue(unacknowledged=0, unsent=0, backoff=0), False),
    ],
)
def test_window_is_closed_if_all_that_it_took_was_acknowledged(queue, is_closed):
    assert queue.is_window_closed is is_closed
