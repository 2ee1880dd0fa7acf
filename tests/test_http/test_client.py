"""The blocking HTTP client against a server that misbehaves."""

from __future__ import annotations

import contextlib
import socket
import threading
import time

import pytest

from monsoontray.http import client as client_module
from monsoontray.http.client import HttpClient, HttpRequest, ResponseReceiver
from monsoontray.http.errors import (
    ConnectError,
    ConnectionLostError,
    InvalidResponseError,
    ResponseTimeoutError,
)
from monsoontray.kernel.clock import SystemClock
from monsoontray.settings.settings import Address

CLOCK = SystemClock()
OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class ScriptedServer:
    """Server that sends a script's bytes for each request; None closes."""

    def __init__(self, *script, pause_s=0.0):
        self.script = list(script)
        self.pause_s = pause_s
        self.requests = []
        self.connections = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = Address("127.0.0.1", self._listener.getsockname()[1])
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while self.script:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            with sock, contextlib.suppress(OSError):
                self._serve(sock)

    def _serve(self, sock):
        while self.script:
            request = sock.recv(65_536)
            if not request:
                return
            self.requests.append(request)
            for part in self.script.pop(0):
                if part is None:
                    return
                sock.sendall(part)
                time.sleep(self.pause_s)
        sock.recv(1)

    def close(self):
        self._listener.close()


@pytest.fixture
def client():
    client = HttpClient(CLOCK, 2)
    yield client
    client.close()


def send(client, server, timeout_s=1.0, method="GET", body=b""):
    now = CLOCK.now()
    request = HttpRequest(method, server.address, "/x?y=1", now + timeout_s,
                          now + timeout_s, body)  # fmt: skip
    return client.send(request)


def receives_to_the_end(sock):
    """Return whether the other side ends its half only after all its bytes."""
    try:
        while sock.recv(65_536):
            pass
    except ConnectionResetError:
        return False
    return True


def test_connection_is_kept_for_the_next_request(client):
    server = ScriptedServer([OK], [OK[:20], OK[20:]])
    assert send(client, server).body == b"ok"
    assert send(client, server, method="POST", body=b"{}").status == 200
    assert server.connections == 1
    assert server.requests[0].startswith(b"GET /x?y=1 HTTP/1.1\r\n")
    assert server.requests[1].endswith(b"content-length: 2\r\n\r\n{}")
    server.close()


def test_connection_that_ended_meanwhile_is_replaced(client):
    server = ScriptedServer([OK, None], [OK])
    assert send(client, server).body == b"ok"
    time.sleep(0.05)
    assert send(client, server).body == b"ok"
    assert server.connections == 2
    server.close()


def test_second_copy_of_a_response_is_not_read_as_the_next_one(client):
    copy = OK.replace(b"ok", b"no")
    server = ScriptedServer([OK + copy], [OK], [OK, copy], [OK])
    for _ in range(2):
        assert send(client, server).body == b"ok"
    assert send(client, server).body == b"ok"
    time.sleep(0.05)
    assert send(client, server).body == b"ok"
    server.close()


@pytest.mark.parametrize(
    ("parts", "error"),
    [
        ([OK[:-1], None], ConnectionLostError),
        ([b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n", None],
         ConnectionLostError),
        ([None], ConnectionLostError),
        ([OK[:30]], ResponseTimeoutError),
        ([], ResponseTimeoutError),
        ([b"no http\r\n\r\n"], InvalidResponseError),
    ],
)  # fmt: skip
def test_incomplete_response_is_an_error(client, parts, error):
    server = ScriptedServer(parts, [OK])
    with pytest.raises(error):
        send(client, server, 0.2)
    server.close()


def test_unreachable_address_proves_that_nothing_was_received(client):
    server = ScriptedServer()
    server.close()
    with pytest.raises(ConnectError):
        send(client, server)


def test_response_that_trickles_takes_bounded_time(client, monkeypatch):
    monkeypatch.setattr(client_module, "MAX_RECEIVE_S", 0.3)
    head = b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n"
    server = ScriptedServer([head, *[b"a"] * 999], pause_s=0.01)
    started_at = CLOCK.now()
    with pytest.raises(ResponseTimeoutError):
        send(client, server, 0.2)
    assert CLOCK.now() - started_at < 1.0
    server.close()


def test_response_without_end_takes_bounded_memory(monkeypatch):
    monkeypatch.setattr(client_module, "MAX_DOCUMENT_BYTES", 1_000)
    receiver = ResponseReceiver("GET")
    receiver.receive(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
    chunk = b"200\r\n" + b"a" * 512 + b"\r\n"
    receiver.receive(chunk)
    with pytest.raises(InvalidResponseError):
        receiver.receive(chunk)
    assert not receiver.is_complete


def test_request_that_nobody_waits_for_is_not_sent_any_further(client):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        address = Address("127.0.0.1", listener.getsockname()[1])
        now = CLOCK.now()
        body = bytes(1_000_000)
        request = HttpRequest("POST", address, "/x", now + 0.3, now + 0.3, body)
        with pytest.raises(ResponseTimeoutError):
            client.send(request)
        accepted, _ = listener.accept()
        accepted.settimeout(5.0)
        with accepted:
            assert not receives_to_the_end(accepted)
