"""The HTTP endpoint under many connections, with a real process."""

from __future__ import annotations

import socket
import threading
import time

import pytest

from bench.caller import Router, build_request
from monsoontray.http.connection import ServerResponse
from monsoontray.http.server import EndpointServer
from monsoontray.http.workers import WorkerPool
from monsoontray.kernel.clock import SystemClock
from monsoontray.kernel.kernel import Kernel
from monsoontray.settings.settings import Address

NODES_IN_ZONE = 64  # twice those of the grown sites
POLL_TIMEOUT_S = 1.0  # after which nodes leave out a reader


@pytest.fixture
def node(mesh):
    node = mesh.add_node("node-0", "zone-0", "one")
    address = node.handle.operator_address
    mesh.fleet.wait_for(lambda: mesh.fleet.get_json(address, "/status"), "the node")
    return node


def test_stop_ends_at_its_deadline_although_a_server_takes_longer():
    """A node whose calls take the whole grace period must end before it is killed."""
    may_end, has_begun = threading.Event(), threading.Event()

    def handle(request):
        has_begun.set()
        may_end.wait(30.0)
        return ServerResponse()

    address = Address("127.0.0.1", 0)
    pools = {address: WorkerPool("test", 1)}
    server = EndpointServer("test", Kernel(SystemClock()), handle, pools)
    server.start()
    (bound,) = server.get_addresses()
    with socket.create_connection((bound.host, bound.port)) as sock:
        sock.sendall(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        assert has_begun.wait(5.0)
        started_at = time.monotonic()
        server.stop(SystemClock().now() + 0.1)
        assert time.monotonic() - started_at < 5.0
    may_end.set()


def build_poll():
    return build_request("/mirror?known=-1&wait=0")


def test_reader_keeps_the_connections_of_all_nodes_of_its_zone(node):
    """A reader that closed them missed polls once its accept queue was full."""
    address = node.handle.peer_address
    connections = [Router(address) for _ in range(NODES_IN_ZONE)]
    for _ in range(3):
        for connection in connections:
            response = connection.call(build_poll())
            assert response.status == 200
            assert response.get_header(b"connection").lower() != b"close"
    for connection in connections:
        connection.close()


@pytest.mark.parametrize("name", ["peer_address", "operator_address"])
def test_connections_without_a_request_do_not_delay_the_requests_of_others(node, name):
    """Nodes behind a one-way cut connect, but their requests never arrive."""
    address = getattr(node.handle, name)
    host, _, port = address.rpartition(":")
    silent = [socket.create_connection((host, int(port))) for _ in range(NODES_IN_ZONE)]
    started_at = time.monotonic()
    connection = Router(address)
    assert connection.call(build_poll()).status == 200
    assert time.monotonic() - started_at < POLL_TIMEOUT_S
    connection.close()
    for sock in silent:
        sock.close()
