"""The threads of the HTTP server."""

from __future__ import annotations

import threading

from monsoontray.http.client import HttpClient, HttpRequest
from monsoontray.http.server import EndpointServer, ServerResponse, WorkerPool
from monsoontray.kernel.clock import SystemClock
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


def test_threads_start_when_others_are_occupied_up_to_a_limit():
    may_continue = threading.Event()
    occupied = threading.Semaphore(0)

    def handle(request):
        if request.path == "/wait":
            occupied.release()
            may_continue.wait(10.0)
        return ServerResponse(request.path.encode())

    pool = WorkerPool("test", MAX_THREADS)
    server = EndpointServer(Address("127.0.0.1", 0), handle, pool)
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    address = Address(*server.socket.getsockname()[:2])

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
    server.stop()
