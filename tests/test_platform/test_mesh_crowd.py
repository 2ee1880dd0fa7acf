"""Crowds of clients that send legal requests in forms that take much memory."""

from __future__ import annotations

import os
import resource
import socket
from contextlib import ExitStack, contextmanager, suppress

import pytest

from bench.caller import CutResponseError, Router
from bench.mesh import HOST, build_mesh_request
from bench.processes import read_peak_rss_mb
from tests.meshes import call, start_mesh

#: Limits of the machine, in the settings that the product has for them.
MEMORY_MB = 80
MAX_DESCRIPTORS = 160
#: Connections of a crowd, and of one that takes all descriptors.
CROWD, LARGE_CROWD = 300, 400
CONNECT_TIMEOUT_S = 0.5
START = f"GET /read/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: crowd\r\n".encode()
CHUNKED = (
    f"POST /order/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: crowd\r\n"
    "X-Deadline-Ms: 60000\r\nTransfer-Encoding: chunked\r\n\r\n"
).encode()
HEAD_BYTES = 16_000  # of the 16,384 that clients may send
ORDER = build_mesh_request("/order/1", "crowd", "POST", X_Deadline_Ms="60000")
SMALL_REQUEST = b"GET /none HTTP/1.1\r\nHost: a\r\n\r\n"


def fill(start, line):
    return start + line * ((HEAD_BYTES - len(start)) // len(line))


#: What each client of a crowd sends, and leaves without an end.
FORMS = {
    "short-lines": fill(START, b"a:\r\n"),
    "empty-values": fill(START, b"a: \t \r\n"),
    "one-name": fill(START, b"connection:a\r\n"),
    "node-names": fill(START, b"monsoontray-a:\r\n"),
    "distinct-names": START + b"".join(b"%x:\r\n" % i for i in range(2_200)),
    "no-colon": fill(START, b"a\r\n"),
    "only-colons": fill(START, b":\r\n"),
    "folded": fill(START + b"a: b\r\n", b" c\r\n"),
    "whole-heads": (fill(START, b"a:\r\n") + b"\r\n") * 4,
    "pipelined": ORDER + SMALL_REQUEST * 1_000,
    "unread-responses": SMALL_REQUEST * 1_000,
    "small-chunks": CHUNKED + b"1\r\na\r\n" * 12_000,
    "chunk-extensions": CHUNKED + b"1;a\r\nb\r\n" * 8_000,
    "trailers": CHUNKED + b"1\r\na\r\n0\r\n" + b"a:\r\n" * 4_000,
}


#: Forms of which a crowd takes less than the limit by itself.
CHEAP_FORMS = {
    "chunk-extensions",
    "distinct-names",
    "empty-values",
    "folded",
    "no-colon",
    "node-names",
    "one-name",
    "only-colons",
}
#: Headers of one request that needs nearly the bytes that clients may send.
LARGE_HEADERS = {f"A{i}": "a" * 155 for i in range(100)}


@contextmanager
def gather(address, count, data):
    """Connect many clients that send the same and read nothing.

    The system sends what the node takes; the clients don't wait for it.
    """
    host, port = address.split(":")
    with ExitStack() as stack:
        for _ in range(count):
            sock = stack.enter_context(socket.socket())
            sock.settimeout(CONNECT_TIMEOUT_S)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * len(data))
            # A node may refuse a client or close its connection.
            with suppress(OSError):
                sock.connect((host, int(port)))
                sock.setblocking(False)
                sock.send(data)
        yield


def start_limited_node(mesh, **limits):
    start_mesh(mesh, 1, memory_mb=MEMORY_MB, **limits)
    (node,) = mesh.nodes
    assert call(node, "/read/1", "before").status == 200
    return node


def is_served(node):
    with suppress(CutResponseError, OSError):
        return call(node, "/read/1", "ordinary").status == 200
    return False


def check_node(mesh, node):
    """Check that the process serves an ordinary request within its limits."""
    mesh.fleet.wait_for(lambda: is_served(node), "an answer to an ordinary request")
    assert node.handle.process.poll() is None
    assert read_peak_rss_mb(node.handle.process.pid) < MEMORY_MB


def send_crowd(mesh, node, side, form):
    mesh.set_server_behaviour(node, silent=True)
    address = getattr(node.handle, f"{side}_address")
    with gather(address, CROWD, FORMS[form]):
        mesh.set_server_behaviour(node)
        check_node(mesh, node)
    check_node(mesh, node)


@pytest.mark.parametrize("side", ["entry", "guard"])
@pytest.mark.parametrize("form", sorted(FORMS.keys() - CHEAP_FORMS))
def test_crowd_leaves_a_node_alive_within_its_memory(mesh, form, side):
    node = start_limited_node(mesh)
    send_crowd(mesh, node, side, form)


@pytest.mark.parametrize("side", ["entry", "guard"])
def test_crowds_one_after_another_leave_a_node_alive(mesh, side):
    node = start_limited_node(mesh)
    for form in sorted(CHEAP_FORMS):
        send_crowd(mesh, node, side, form)


def test_crowd_of_open_connections_leaves_descriptors_for_ordinary_callers(mesh):
    node = start_limited_node(mesh, max_descriptors=MAX_DESCRIPTORS)
    pid = node.handle.process.pid
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, MAX_DESCRIPTORS))
    with gather(node.handle.entry_address, LARGE_CROWD, START):
        check_node(mesh, node)
        assert len(os.listdir(f"/proc/{pid}/fd")) < MAX_DESCRIPTORS
    check_node(mesh, node)


def test_single_large_head_is_served_through_another_node(mesh):
    start_mesh(mesh, 2)
    for i, node in enumerate(mesh.nodes * 4):
        request = build_mesh_request("/read/1", f"large-{i}", **LARGE_HEADERS)
        router = Router(node.handle.entry_address)
        assert router.call(request).status == 200
        router.close()
