"""Send malformed requests through real nodes to a server with another HTTP parser.

This guards against request smuggling, where a node and the server behind it read the
same bytes differently, for example as one request and as two.
"""

from __future__ import annotations

import socket
import threading
from dataclasses import dataclass, field

import h11
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from bench.fleet import Fleet
from tests.fleets import FAST_START, TOKEN, start_single_server_fleet

EXAMPLES = 1_000
HEAD = (
    b"POST /catalogue/x HTTP/1.1\r\nHost: shop\r\n"
    b"Authorization: Bearer " + TOKEN.encode() + b"\r\n"
)
SMUGGLED = b"GET /catalogue/smuggled HTTP/1.1\r\nHost: shop\r\n\r\n"


@dataclass(slots=True)
class Received:
    """Requests that arrived at the server, as parsed by h11."""

    requests: int = 0
    faults: list[str] = field(default_factory=list)


class StrictServer:
    """An HTTP server that answers requests h11 accepts, and records parse errors."""

    def __init__(self) -> None:
        self.received = Received()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        while True:
            try:
                sock, _address = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        connection = h11.Connection(h11.SERVER)
        try:
            while self.serve_one(sock, connection):
                connection.start_next_cycle()
        except h11.RemoteProtocolError as error:
            self.received.faults.append(str(error))
        except OSError:
            pass
        finally:
            sock.close()

    def serve_one(self, sock: socket.socket, connection: h11.Connection) -> bool:
        length = 0
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                part = sock.recv(65_536)
                if not part:
                    return False
                connection.receive_data(part)
            elif isinstance(event, h11.Request):
                self.check(event)
            elif isinstance(event, h11.Data):
                length += len(event.data)
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return False
        self.received.requests += 1
        body = str(length).encode()
        headers = [("content-length", str(len(body)))]
        sent = connection.send(h11.Response(status_code=200, headers=headers))
        sent += connection.send(h11.Data(data=body))
        sent += connection.send(h11.EndOfMessage())
        sock.sendall(sent)
        return connection.our_state is h11.DONE

    def check(self, request: h11.Request) -> None:
        names = [name for name, _value in request.headers]
        if request.target.startswith(b"/catalogue/smuggled"):
            self.received.faults.append("smuggled")
        if b"content-length" in names and b"transfer-encoding" in names:
            self.received.faults.append("two framings")
        for name in (b"host", b"monsoontray-call-id", b"monsoontray-customer"):
            if names.count(name) != 1:
                self.received.faults.append(
                    f"{name!r} appears {names.count(name)} times"
                )


@pytest.fixture(scope="module")
def strict():
    """Start an entry and a guard with short timeouts before a strict server."""
    with Fleet(node_settings=dict(FAST_START)) as fleet:
        entry, _guard = start_single_server_fleet(
            fleet, head_timeout_ms=100, idle_timeout_ms=120, call_timeout_ms=1_000
        )
        fleet.backends[0].process.kill()
        server = StrictServer()
        announcement = {
            "server": "one",
            "service": "catalogue",
            "version": "1",
            "address": server.address,
            "slots": 64,
            "connections": 130,
        }
        fleet.post_json(fleet.nodes[1].operator_address, "/announce", announcement)
        stop = threading.Event()

        def repeat_announcement() -> None:
            while not stop.wait(1.0):
                fleet.post_json(
                    fleet.nodes[1].operator_address, "/announce", announcement
                )

        announcer = threading.Thread(target=repeat_announcement, daemon=True)
        announcer.start()
        fleet.wait_for(
            lambda: (
                send_and_read_statuses(
                    entry.entry_address, HEAD + b"Content-Length: 0\r\n\r\n"
                )
                == [200]
            ),
            "the strict server",
        )
        yield entry.entry_address, server
        stop.set()
        announcer.join()
        server.listener.close()


def send_and_read_statuses(address: str, data: bytes) -> list[int]:
    """Send bytes, read until the connection ends and return the response statuses."""
    host, _, port = address.rpartition(":")
    received = b""
    with socket.create_connection((host, int(port)), 10.0) as sock:
        try:
            sock.sendall(data)
            while part := sock.recv(65_536):
                received += part
        except ConnectionError:
            pass
    return read_statuses(received)


def read_statuses(received: bytes) -> list[int]:
    statuses = []
    while received:
        head, separator, rest = received.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 ")
        if not separator:
            break
        status = int(head[9:12])
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line[15:])
        if status >= 200:
            statuses.append(status)
        received = rest[length:]
    return statuses


FRAMINGS = [
    b"Content-Length: 5\r\n",
    b"Content-Length: 5\r\nContent-Length: 6\r\n",
    b"Content-Length: 5, 5\r\n",
    b"Content-Length: -5\r\n",
    b"Content-Length: +5\r\n",
    b"Content-Length: 0x5\r\n",
    b"Content-Length: 5 5\r\n",
    b"Content-Length:\r\n",
    b"Content-Length: 99999999999999999999\r\n",
    b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: xchunked\r\n",
    b"Transfer-Encoding: chunked, chunked\r\n",
    b"Transfer-Encoding: gzip, chunked\r\n",
    b"Transfer-Encoding: identity\r\n",
    b"Transfer-Encoding : chunked\r\n",
    b"Transfer-Encoding:\x0bchunked\r\n",
    b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
    b"X-A: b\r\n Transfer-Encoding: chunked\r\n",
    b"X-A: b\nTransfer-Encoding: chunked\r\n",
    b"\xff: b\r\n",
    b"X-A: \x00\r\n",
    b": empty\r\n",
    b"Expect: 100-continue\r\nContent-Length: 5\r\n",
    b"Connection: host, authorization\r\nContent-Length: 5\r\n",
    b"Monsoontray-Server: forged\r\nContent-Length: 5\r\n",
    b"X-A: " + b"a" * 40_000 + b"\r\n",
    b"X-A: b\r\n" * 200,
]
BODIES = [
    b"hello",
    b"",
    SMUGGLED,
    b"0\r\n\r\n" + SMUGGLED,
    b"5\r\nhello\r\n0\r\n\r\n",
    b"5;x=\r\nhello\r\n0\r\nTrailer: x\r\n\r\n",
    b"5\nhello\n0\n\n",
    b"0x5\r\nhello\r\n0\r\n\r\n",
    b"-1\r\nhello\r\n0\r\n\r\n",
    b"fffffffffffffffff\r\nhello\r\n0\r\n\r\n",
    b"5\r\nhelloXX0\r\n\r\n",
    b"6\r\nhello\r\n0\r\n\r\n",
]

edits = st.lists(
    st.tuples(
        st.sampled_from(["delete", "insert", "replace"]),
        st.floats(0.0, 1.0),
        st.binary(min_size=1, max_size=3),
    ),
    max_size=3,
)


def apply_edits(data: bytes, changes) -> bytes:
    for kind, position, piece in changes:
        at = int(position * len(data))
        if kind == "insert":
            data = data[:at] + piece + data[at:]
        else:
            rest = data[at + len(piece) :]
            data = data[:at] + (piece if kind == "replace" else b"") + rest
    return data


@settings(
    max_examples=EXAMPLES,
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(st.sampled_from(FRAMINGS), st.sampled_from(BODIES), edits)
def test_malformed_requests_reach_the_server_unambiguously_or_not_at_all(
    strict, framing, body, changes
):
    address, server = strict
    before = server.received.requests
    data = apply_edits(HEAD + framing + b"\r\n", changes) + body
    statuses = send_and_read_statuses(address, data)
    served = statuses.count(200)
    for status in statuses:
        assert status == 200 or 400 <= status < 500 or status in (501, 504)
    assert server.received.faults == []
    # The server received exactly the requests that the node answered with 200.
    assert server.received.requests - before == served
