"""Requests that end a server, whose next incarnation responds before it announces."""

from __future__ import annotations

import re
from contextlib import suppress

import pytest

from monsoontray.containment.messages import ServerEnded
from monsoontray.decisions.servers import ServerRecord, ServerState
from monsoontray.forwarding.messages import LocalServer, UpdateLocalServers
from monsoontray.settings.settings import Address
from tests.test_forwarding.test_exchange_model import Node

REQUEST = (
    b"POST /order/%b HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %b\r\n"
    b"X-Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n"
)
WRONG_SERVER = b"HTTP/1.1 421 Wrong\r\nX-Request-Id: %b\r\nContent-Length: 0\r\n\r\n"
CALL_ID = re.compile(rb"x-request-id: (\w+)", re.IGNORECASE)


@pytest.fixture
def node():
    node = Node()
    node.clients, node.accepted = [], []
    node.posted = []
    node.kernel.post = lambda name, message: node.posted.append(message)
    yield node
    node.end_sequence()
    for sock in (*node.clients, *node.accepted, node.listener):
        sock.close()


def send_to_server(node, name):
    """Send a request; return the server's side of its connection, and the request.

    Other connections are checks whether the server has ended.
    """
    client = node.connect()
    client.sendall(REQUEST % (name, name))
    node.clients.append(client)
    for _ in range(10):
        node.run()
        with suppress(BlockingIOError):
            connection, _ = node.listener.accept()
            connection.setblocking(False)
            node.accepted.append(connection)
        for connection in node.accepted:
            with suppress(BlockingIOError):
                return connection, connection.recv(65_536)
    raise AssertionError("the server got no request")


# BUDGET: "wrong server", as a new incarnation says before its first heartbeat, counted
# as a response of the ended one, whose end was then never known.
def test_end_is_known_though_the_next_incarnation_responds_first(node):
    connection, request = send_to_server(node, b"fatal")
    assert b"/order/fatal" in request
    connection.close()  # the listening socket stays open: no connection is refused
    node.accepted.remove(connection)
    node.run()
    node.kernel.clock.advance(2.0)  # a server in doubt gets no request at once
    connection, request = send_to_server(node, b"next")
    assert b"/order/next" in request
    connection.sendall(WRONG_SERVER % CALL_ID.search(request)[1])
    node.run()
    record = ServerRecord(
        "i-1", "one", "v1", (), 64, 130, ServerState.SERVING, born=9_000
    )
    address = Address(*node.listener.getsockname())
    update = UpdateLocalServers((LocalServer(record, address),))
    node.forwarder.guards.update_servers(update)
    ends = [each.end for each in node.posted if isinstance(each, ServerEnded)]
    assert [(end.server, len(end.fingerprints)) for end in ends] == [("i-0", 1)]


# FAILBACK: a server that has just started was taken for one that responds, and was not
# treated as cold after a lost connection.
def test_response_of_the_next_incarnation_is_not_one_of_the_known_server(node):
    connection, request = send_to_server(node, b"first")
    connection.sendall(WRONG_SERVER % CALL_ID.search(request)[1])
    node.run()
    guard = node.forwarder.guards.find("i-0")
    assert not guard.responded_recently(node.forwarder.now)
