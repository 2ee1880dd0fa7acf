"""The connections and threads of the HTTP server."""

from __future__ import annotations

import socket
import threading

from monsoontray.http.client import HttpClient, HttpRequest
from monsoontray.http.connection import ServerResponse
from monsoontray.http.server import EndpointServer
from monsoontray.http.workers import WorkerPool
from monsoontray.kernel.clock import SystemClock
from monsoontray.kernel.kernel import Kernel
from monsoontray.settings.settings import Address

CLOCK = SystemClock()
MAX_THREADS = 3
REQUESTS = 8


def wait_for_spare_threads(pool):
    """Wait until no thread is occupied; a response is sent a little before that."""
    deadline = CLOCK.now() + 5.0
    while pool._spare < len(pool._threads):
        assert CLOCK.now() < deadline
        threading.Event().wait(0.001)


def start_server(handle, pool):
    address = Address("127.0.0.1", 0)
    server = EndpointServer("test", Kernel(CLOCK), handle, {address: pool})
    server.start()
    return server


def test_threads_start_when_others_are_occupied_up_to_a_limit():
    may_continue = threading.Event()
    occupied = threading.Semaphore(0)

    def handle(request):
        if request.path == "/wait":
            occupied.release()
            may_continue.wait(10.0)
        return ServerResponse(request.path.encode())

    pool = WorkerPool("test", MAX_THREADS)
    server = start_server(handle, pool)
    (address,) = server.get_addresses()

    def send(path):
        client, now = HttpClient(CLOCK, 1), CLOCK.now()
        return client.send(HttpRequest("GET", address, path, now + 9, now + 9)).body

    client = HttpClient(CLOCK, 1)
    for _ in range(5):
        now = CLOCK.now()
        request = HttpRequest("GET", address, "/a", now + 9, now + 9)
        assert client.send(request).body == b"/a"
        wait_for_spare_threads(pool)
    assert len(pool._threads) == 1
    bodies = []
    senders = [
        threading.Thread(target=lambda: bodies.append(send("/wait")))
        for _ in range(REQUESTS)
    ]
    for sender in senders:
        sender.start()
    for _ in range(MAX_THREADS):
        assert occupied.acquire(timeout=5.0)
    assert len(pool._threads) == MAX_THREADS
    may_continue.set()
    for sender in senders:
        sender.join(5.0)
    assert bodies == [b"/wait"] * REQUESTS
    server.stop(CLOCK.now() + 5.0)


def read_responses(sock):
    """Return all bytes until the server closes the connection."""
    sock.settimeout(5.0)
    received = b""
    while part := sock.recv(65_536):
        received += part
    return received


def test_requests_of_one_connection_are_answered_in_order():
    def handle(request):
        return ServerResponse(request.path.encode() + request.body)

    server = start_server(handle, WorkerPool("test", MAX_THREADS))
    (address,) = server.get_addresses()
    with socket.create_connection((address.host, address.port)) as sock:
        sock.sendall(
            b"POST /a?x=1 HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody"
            b"GET /b HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
        )
        received = read_responses(sock)
    assert received.count(b"HTTP/1.1 200 OK") == 2
    assert received.index(b"/abody") < received.index(b"/b")
    server.stop(CLOCK.now() + 5.0)


def test_requests_that_cannot_be_read_are_refused_and_later_ones_answered():
    server = start_server(lambda request: ServerResponse(), WorkerPool("test", 1))
    (address,) = server.get_addresses()
    refused = {
        b"nonsense\r\n\r\n": b" 400 ",
        b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 99999\r\n\r\n"
        + bytes(99_999): b" 413 ",
    }
    for sent, status in refused.items():
        with socket.create_connection((address.host, address.port)) as sock:
            sock.sendall(sent)
            assert status in sock.recv(65_536)
    now = CLOCK.now()
    request = HttpRequest("GET", address, "/", now + 9, now + 9)
    assert HttpClient(CLOCK, 1).send(request).status == 200
    server.stop(CLOCK.now() + 5.0)


def test_handler_that_raises_is_answered_with_an_error():
    def handle(request):
        raise ValueError(request.path)

    server = start_server(handle, WorkerPool("test", 1))
    (address,) = server.get_addresses()
    now = CLOCK.now()
    request = HttpRequest("GET", address, "/", now + 9, now + 9)
    assert HttpClient(CLOCK, 1).send(request).status == 500
    server.stop(CLOCK.now() + 5.0)


def test_odd_targets_are_refused_and_end_no_task():
    pool = WorkerPool("test", 1)
    server = start_server(lambda request: ServerResponse(b"served"), pool)
    (address,) = server.get_addresses()
    for target in ("//[", "//a]b", "http://[x]/"):
        with socket.create_connection((address.host, address.port), 5.0) as sock:
            sock.settimeout(5.0)
            sock.sendall(f"GET {target} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
            assert sock.recv(4_096).startswith(b"HTTP/1.1 400 "), target
    now = CLOCK.now()
    request = HttpRequest("GET", address, "/a", now + 9, now + 9)
    assert HttpClient(CLOCK, 1).send(request).body == b"served"
    server.stop(CLOCK.now() + 5.0)
