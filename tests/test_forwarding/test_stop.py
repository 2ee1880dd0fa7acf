"""Connections and requests that arrive while a node stops accepting."""

from __future__ import annotations

import socket
from types import SimpleNamespace

import pytest

from monsoontray.forwarding.caller import CallerConnection
from monsoontray.forwarding.listener import Listener
from monsoontray.forwarding.parsing import HeadLimits
from monsoontray.forwarding.sides import GuardSide
from monsoontray.kernel.listening import ACCEPT_BATCH
from monsoontray.kernel.timers import Timers
from monsoontray.settings.settings import Address


class FakeForwarder:
    """Forwarding task that records its connections."""

    def __init__(self):
        self.now = 0.0
        self.timers = Timers()
        self.limits = SimpleNamespace(head=HeadLimits(100, 16_384), idle_timeout_s=15.0)
        self.accepted = []
        self.removed = []
        self.dirty_connections = []

    def add_socket(self, descriptor, owner, events):
        pass

    def remove_socket(self, descriptor):
        pass

    def record_lost_connection(self, error):
        pass

    def accept_caller(self, sock, side):
        self.accepted.append(sock)

    def remove_caller(self, caller):
        self.removed.append(caller)


def test_connections_that_wait_are_accepted_before_the_node_stops_listening():
    """They were reset, although their callers had sent requests already."""
    forwarder = FakeForwarder()
    listener = Listener(Address("127.0.0.1", 0), None, forwarder)
    address = listener.get_address()
    callers = [socket.create_connection(address) for _ in range(3 * ACCEPT_BATCH)]
    for caller in callers:
        caller.sendall(b"GET / HTTP/1.1\r\n")
    listener.close()
    assert len(forwarder.accepted) == len(callers)
    for accepted in forwarder.accepted:
        accepted.close()
    for caller in callers:
        caller.close()


@pytest.fixture
def connection():
    forwarder = FakeForwarder()
    near, far = socket.socketpair()
    near.setblocking(False)
    caller = CallerConnection(near, forwarder, GuardSide())
    yield caller, far
    caller.close()
    far.close()


def test_idle_connection_is_closed(connection):
    caller, _ = connection
    caller.close_if_idle()
    assert caller.closed


def test_connection_with_an_unread_request_is_not_closed(connection):
    caller, far = connection
    far.sendall(b"GET / HTTP/1.1\r\n")
    caller.close_if_idle()
    assert not caller.closed
