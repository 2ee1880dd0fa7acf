"""Random exchanges through a real forwarding task, against a plain model of framing.

The caller and the server are scripts on loopback sockets. They send pieces of any size,
answer early, pause, reset and end at any byte, while the node may be paused. What is
checked is derived from the bytes that both of them sent and received, not from the
state of the node.
"""

from __future__ import annotations

import os
import socket
import struct
from random import Random

import msgspec
import pytest

from bench.mesh import (
    HOST,
    build_chunked_request,
    build_configuration,
    build_route,
)
from monsoontray.decisions.routing import RouteTable
from monsoontray.decisions.servers import (
    Endpoint,
    ServerRecord,
    ServerState,
    ServerTable,
)
from monsoontray.forwarding import upstream as upstream_module
from monsoontray.forwarding.forwarder import Forwarder, handle_message
from monsoontray.forwarding.listener import configure_socket
from monsoontray.forwarding.messages import (
    LocalServer,
    UpdateLocalServers,
    UpdateRoutes,
    UpdateServers,
)
from monsoontray.kernel.clock import ManualClock
from monsoontray.metrics.service import Metrics
from monsoontray.platform.routes import decode_routes
from monsoontray.settings.settings import Address
from tests.fakes import FakeKernel

#: 10,000 and more are run by hand.
SEQUENCES = int(os.environ.get("EXCHANGE_SEQUENCES", "400"))
MAX_SEQUENCES_UNTIL_FOUND = 20_000
STEPS = 60
ACTION_WEIGHTS = (6, 2, 3, 5, 1, 1, 3)
DEADLINE_S = 1.0
BODY_SIZES = (0, 1, 500, 20_000, 150_000, 150_000)
RESPONSE_SIZES = (0, 1, 500, 20_000, 100_000)
PIECE_SIZES = (1, 100, 5_000, 70_000, 70_000, 200_000)
ROUTES = (build_route("/read/", "one"),
          build_route("/order/", "one", kind="non_idempotent"))  # fmt: skip


class NodeKernel(FakeKernel):
    """Kernel with real counters."""

    def __init__(self):
        super().__init__(service="one")
        self.clock = ManualClock(100.0)
        self.metrics = Metrics(self)

    def find(self, name):
        return self.metrics if name == "metrics" else self

    def post(self, name, message):
        pass


class Node:
    """Forwarding task with one local server, run step by step."""

    def __init__(self, max_body_bytes=1 << 26):
        self.kernel = NodeKernel()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.forwarder = Forwarder(self.kernel)
        address = Address(*self.listener.getsockname())
        configuration = build_configuration(1, *ROUTES)
        configuration["limits"]["max_body_bytes"] = max_body_bytes
        table = RouteTable(decode_routes(msgspec.json.encode(configuration)))
        record = ServerRecord("i-0", "one", "v1", (), 64, 130, ServerState.SERVING)
        endpoint = Endpoint("i-0", "one", "v1", 64, "node-0", "norte", "zone-a",
                            "127.0.0.1:9", frozenset())  # fmt: skip
        for message in (
            UpdateRoutes(table),
            UpdateServers(ServerTable((endpoint,))),
            UpdateLocalServers((LocalServer(record, address),)),
        ):
            handle_message(message, self.forwarder)

    def connect(self):
        """Return the caller's side of a new connection to the node."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            client = socket.create_connection(listener.getsockname())
            ours, _ = listener.accept()
        configure_socket(ours)
        client.setblocking(False)
        self.forwarder.accept_caller(ours, self.forwarder._interface.entry_side)
        return client

    def run(self):
        """Handle events until there are none."""
        forwarder = self.forwarder
        for _ in range(200):
            forwarder.now = self.kernel.clock.now()
            ready = forwarder._epoll.poll(0.0)
            for descriptor, events in ready:
                handle_events = forwarder._event_handlers.get(descriptor)
                if handle_events is not None:
                    handle_events(events)
                    forwarder.finish_event()
            forwarder.timers.run_due(forwarder.now)
            forwarder.finish_event()
            if not ready:
                return

    def end_sequence(self):
        """Let all calls and connections end."""
        self.kernel.clock.advance(60.0)
        self.run()
        self.forwarder.pool.close()
        for caller in list(self.forwarder._callers):
            caller.on_connection_lost()


class Message:
    """Request that the caller sends, or response that the server sends."""

    def __init__(self, data, name, body):
        self.unsent = data
        self.name = name
        self.body = body


class Peer:
    """Socket of a script, with what it still sends and what it received."""

    def __init__(self, sock):
        self.sock = sock
        self.received = b""
        self.has_ended = False  # by the node
        self.is_closed = False

    def receive(self):
        while not self.is_closed:
            try:
                part = self.sock.recv(1 << 20)
            except BlockingIOError:
                return
            except OSError:
                part = b""
            if not part:
                self.has_ended = True
                return
            self.received += part

    def send(self, message, size):
        """Send the next bytes of a message; return whether it is sent to its end."""
        if self.is_closed or self.has_ended:
            return False
        try:
            sent = self.sock.send(message.unsent[:size])
        except OSError:
            return False
        message.unsent = message.unsent[sent:]
        return not message.unsent

    def close(self, reset):
        if reset:
            option = struct.pack("ii", 1, 0)
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
        self.is_closed = True
        self.sock.close()


def read_message(data, has_ended):
    """Return the head, the body and the rest of a message; None if it is incomplete."""
    head, separator, rest = data.partition(b"\r\n\r\n")
    if not separator:
        return None
    headers = parse_headers(head)
    if headers.get(b"transfer-encoding") == b"chunked":
        body = b""
        while True:
            line, separator, rest = rest.partition(b"\r\n")
            if not separator:
                return None
            size = int(line, 16)
            if len(rest) < size + 2:
                return None
            body, rest = body + rest[:size], rest[size + 2 :]
            if not size:
                return head, body, rest
    if b"content-length" in headers:
        size = int(headers[b"content-length"])
        return None if len(rest) < size else (head, rest[:size], rest[size:])
    if head.startswith(b"HTTP/"):
        return (head, rest, b"") if has_ended else None
    return head, b"", rest


def parse_headers(head):
    lines = [line.partition(b":") for line in head.split(b"\r\n")[1:]]
    return {name.strip().lower(): value.strip() for name, _, value in lines}


class Sequence:
    """One caller's connection, and the server's connections that it leads to."""

    def __init__(self, node, seed):
        self.random = Random(seed)
        self.node = node
        self.caller = Peer(node.connect())
        self.servers = []
        self.pending = []  # responses that are being sent, by server
        self.bodies = {}  # of requests, by id
        self.responses = {}  # bodies of whole responses of the server, by id
        self.begun = set()  # ids that the server has answered, maybe in part
        self.requests = [self.build_request(seed, i) for i in range(3)]
        self.faults = []
        self.paused_steps = 0  # for which the node does not run yet

    def run(self):
        actions = (self.send_request, self.accept, self.answer, self.send_response,
                   self.break_server, self.pause_node, self.do_at_once)  # fmt: skip
        for _ in range(STEPS):
            (action,) = self.random.choices(actions, ACTION_WEIGHTS)
            action()
            if self.paused_steps:
                self.paused_steps -= 1
            elif self.random.random() < 0.8:
                self.node.run()
            if self.random.random() < 0.5:
                self.caller.receive()
        self.node.run()
        self.accept()
        self.check_requests()
        self.caller.receive()
        self.check_responses()
        for peer in (self.caller, *self.servers):
            if not peer.is_closed:
                peer.close(reset=True)
        self.node.end_sequence()
        self.accept()
        for server in self.servers:
            server.sock.close()
        return self.faults

    def build_request(self, seed, i):
        body = self.random.randbytes(self.random.choice(BODY_SIZES))
        name = b"%d-%d" % (seed, i)
        kind = self.random.choice((b"GET /read/", b"POST /order/"))
        if kind.startswith(b"GET"):
            body = b""
        lines = [kind + name + b" HTTP/1.1", b"Host: " + HOST.encode(),
                 b"X-Request-Id: " + name,
                 b"X-Deadline-Ms: %d" % (DEADLINE_S * 1000)]  # fmt: skip
        self.bodies[name] = body
        if kind.startswith(b"GET"):
            return Message(b"\r\n".join(lines) + b"\r\n\r\n", name, b"")
        return Message(self.frame(lines, body, until_close=False)[0], name, body)

    def frame(self, lines, body, until_close):
        """Return a message in a random framing, and whether its end is the close."""
        kind = self.random.randrange(3 if until_close else 2)
        if kind == 2:
            return b"\r\n".join(lines) + b"\r\n\r\n" + body, True
        if kind == 1:
            lines = [*lines, b"Content-Length: %d" % len(body)]
            return b"\r\n".join(lines) + b"\r\n\r\n" + body, False
        middle = self.random.randrange(len(body) + 1)
        chunks = b"".join(
            b"%x\r\n%b\r\n" % (len(each), each)
            for each in (body[:middle], body[middle:])
            if each
        )
        head = b"\r\n".join([*lines, b"Transfer-Encoding: chunked"]) + b"\r\n\r\n"
        return head + chunks + b"0\r\n\r\n", False

    def send_request(self):
        if self.requests and self.caller.send(
            self.requests[0], self.random.choice(PIECE_SIZES)
        ):
            self.requests.pop(0)

    def accept(self):
        while True:
            try:
                sock, _ = self.node.listener.accept()
            except BlockingIOError:
                break
            sock.setblocking(False)
            self.servers.append(Peer(sock))
        for server in self.servers:
            server.receive()

    def answer(self):
        """Begin to answer the last request of a connection, which may be incomplete."""
        for server in self.servers:
            is_busy = any(each is server for each, _, _ in self.pending)
            if is_busy or server.is_closed:
                continue
            heads = [head for head, _, _ in self.split_requests(server)]
            names = [parse_headers(head).get(b"x-request-id") for head in heads]
            if not names or names[-1] is None or names[-1] in self.begun:
                continue
            name = names[-1]
            self.begun.add(name)
            body = self.random.randbytes(self.random.choice(RESPONSE_SIZES))
            lines = [b"HTTP/1.1 200 OK", b"X-Request-Id: " + name,
                     b"X-Response-Seal: s"]  # fmt: skip
            data, is_until_close = self.frame(lines, body, until_close=True)
            self.pending.append((server, Message(data, name, body), is_until_close))

    def send_response(self):
        if not self.pending:
            return
        server, message, is_until_close = self.random.choice(self.pending)
        if not server.send(message, self.random.choice(PIECE_SIZES)):
            return
        self.pending.remove((server, message, is_until_close))
        self.responses[message.name] = message.body
        if is_until_close:
            server.close(reset=False)

    def break_server(self):
        if self.servers:
            server = self.random.choice(self.servers)
            if server.is_closed:
                return
            reset = self.random.random() < 0.7
            for each in [each for each in self.pending if each[0] is server]:
                self.pending.remove(each)
                _, message, is_until_close = each
                if is_until_close and not reset:
                    # An orderly end is that of the response, wherever it comes.
                    size = len(message.body) - len(message.unsent)
                    self.responses[message.name] = message.body[: max(0, size)]
            server.receive()
            server.close(reset)

    def pause_node(self):
        """Let time pass in which the node does nothing; the others go on."""
        if not self.paused_steps:
            self.paused_steps = self.random.randrange(10)
            self.node.kernel.clock.advance(self.random.choice((0.3, DEADLINE_S)))

    def do_at_once(self):
        """Let several things happen before the node sees any of them."""
        self.accept()
        actions = [self.answer, self.send_response, self.send_response]
        actions += self.random.choice(
            ([self.break_server], [self.pause_node], [self.send_response])
        )
        for action in actions:
            action()
        self.send_request()
        self.paused_steps = 0
        self.node.run()

    def split_requests(self, server):
        """Return heads, bodies and whether they are complete, of what was received."""
        found, data = [], server.received
        while data:
            try:
                message = read_message(data, False)
            except ValueError:
                self.faults.append("the server can't read a request")
                break
            if message is None:
                head, separator, _ = data.partition(b"\r\n\r\n")
                if separator:
                    found.append((head, data, False))
                break
            head, body, data = message
            found.append((head, body, True))
        return found

    def check_requests(self):
        """Check that the server received what the caller sent."""
        for server in self.servers:
            for head, body, is_complete in self.split_requests(server):
                name = parse_headers(head).get(b"x-request-id")
                if name not in self.bodies:
                    self.faults.append(f"the server reads a request {name!r}")
                elif is_complete and body != self.bodies[name]:
                    self.faults.append(f"the server reads another body of {name!r}")

    def check_responses(self):
        """Check that complete successes are whole answers, in order."""
        data, names = self.caller.received, list(self.bodies)
        while data:
            message = read_message(data, self.caller.has_ended)
            if message is None:
                return
            head, body, data = message
            name = parse_headers(head).get(b"x-request-id")
            if name in names:
                del names[: names.index(name) + 1]
            elif name is None and head.startswith(b"HTTP/1.1 408") and not data:
                continue  # its head was not received to the end
            else:
                self.faults.append(f"answer to {name!r} out of order")
            if head.startswith(b"HTTP/1.1 200") and body != self.responses.get(name):
                self.faults.append(f"answer to {name!r} is not the server's")


@pytest.fixture(scope="module")
def node():
    node = Node()
    yield node
    node.listener.close()


def find_faults(node, first_seed, count):
    """Return the seeds of sequences with faults, and these."""
    found = {}
    for seed in range(first_seed, first_seed + count):
        faults = Sequence(node, seed).run()
        if faults:
            found[seed] = faults
    return found


def test_random_exchanges_mix_nothing_and_complete_nothing_that_broke_off(node):
    assert find_faults(node, 0, SEQUENCES) == {}


def count_received(self, call):
    return (
        call.request.is_received and self._response.keeps_alive and not self.must_close
    )


def end_orderly(self):
    if self._response.is_whole_at_end(False) and self.call is not None:
        self.finish_response()
    else:
        self.on_connection_lost()


@pytest.mark.parametrize(
    ("name", "mistake", "fault"),
    [
        ("_may_be_reused", count_received, "the server"),
        ("on_eof", end_orderly, "is not the server's"),
    ],
)
def test_random_exchanges_find_planted_mistakes(
    node, monkeypatch, name, mistake, fault
):
    monkeypatch.setattr(upstream_module.UpstreamConnection, name, mistake)
    for seed in range(MAX_SEQUENCES_UNTIL_FOUND):
        if any(fault in text for text in Sequence(node, seed).run()):
            return
    raise AssertionError("no fault was found")


# A body in chunks has no length, so the limit of the configuration did not apply.
@pytest.mark.parametrize(("size", "status"), [(1_000, b""), (1_001, b"413")])
def test_chunked_body_beyond_the_limit_is_refused(size, status):
    node = Node(max_body_bytes=1_000)
    caller = Peer(node.connect())
    request = build_chunked_request("/order/1", "o1", "POST", bytes(size))
    caller.send(Message(request, b"o1", b""), len(request))
    node.run()
    caller.receive()
    assert caller.received[9:12] == status
    node.end_sequence()
    node.listener.close()
