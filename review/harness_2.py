"""Stand-ins and a small deployment for the scripts of the second review.

Store, back ends and machines on loopback addresses; the standard library alone.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any
from urllib.parse import parse_qsl, urlsplit

# Small HTTP/1.1 helpers on asyncio streams

MAX_HEAD_BYTES = 131_072


@dataclass(slots=True)
class Message:
    """A request or a response; names of headers are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes = b""
    received_at: float = 0.0

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split(" ", 2)[1])

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start.split(" ", 2)[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.start.split(" ", 2)[1]


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the head of a message; None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    start, *lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    now = asyncio.get_running_loop().time()
    return Message(start, headers, received_at=now)


async def read_body(reader: asyncio.StreamReader, message: Message) -> bool:
    """Read the body of a message; return whether it was complete."""
    headers = message.headers
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            parts = []
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                parts.append(await reader.readexactly(size))
                await reader.readexactly(2)
                if not size:
                    break
            message.body = b"".join(parts)
        else:
            length = int(headers.get("content-length", "0"))
            message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        return False
    return True


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message with a length."""
    fields = {**headers, "Content-Length": str(len(body))}
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{start}\r\n{head}\r\n".encode("latin-1") + body


@dataclass(slots=True)
class Server:
    """A listening socket whose connections are ended together with it."""

    server: asyncio.Server | None = None
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self, host: str, port: int, handle) -> None:
        """Listen on an address; ``handle`` serves one connection."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            task = asyncio.current_task()
            assert task is not None
            self.tasks.add(task)
            try:
                await handle(reader, writer)
            except (ConnectionError, OSError, asyncio.CancelledError):
                pass
            finally:
                self.tasks.discard(task)
                with contextlib.suppress(Exception):
                    writer.close()

        self.server = await asyncio.start_server(
            serve, host, port, limit=MAX_HEAD_BYTES, backlog=512
        )

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.sleep(0)


async def fetch(
    address: tuple[str, int], data: bytes, timeout_s: float = 5.0
) -> Message | None:
    """Send one request on a new connection; return the whole response, if any."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                *address, limit=MAX_HEAD_BYTES
            )
            try:
                writer.write(data)
                response = await read_head(reader)
                if response is None or not await read_body(reader, response):
                    return None
                return response
            finally:
                writer.close()
    except (TimeoutError, ConnectionError, OSError):
        return None


# Stand-in of the platform's key-value store, as PROTOCOL.md describes it

HISTORY_S = 20.0
ANSWER_S = 0.004
PAGE_ITEMS = 500


class Store:
    """Keys with revisions, leases and watches; loses nothing that it acknowledged."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.leases: dict[int, tuple[float, float]] = {}  # lifetime and deadline
        self.history: list[tuple[float, dict]] = []
        self.compacted = 0  # the history after this revision is kept
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.server = Server()
        self.address = ("", 0)

    async def start(self, host: str, port: int) -> None:
        """Serve on an address."""
        self.address = (host, port)
        await self.server.start(host, port, self._serve)

    def write_as_operator(self, key: str, value: object) -> int:
        """Write a key; the return acknowledges it."""
        self.revision += 1
        self._put(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)
        self._notify()
        return self.revision

    def remove_as_operator(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        self._remove(key)
        self._notify()

    def read(self, key: str) -> object:
        """Return the value of a key, or None."""
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    async def _serve(self, reader, writer) -> None:
        while True:
            request = await read_head(reader)
            if request is None or not await read_body(reader, request):
                return
            await asyncio.sleep(ANSWER_S)
            status, body = await self._handle(request)
            data = json.dumps(body).encode()
            headers = {"Content-Type": "application/json"}
            writer.write(encode(f"HTTP/1.1 {status} Answer", headers, data))
            await writer.drain()

    async def _handle(self, request: Message) -> tuple[int, object]:
        url = urlsplit(request.target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        self._expire()
        parts = url.path.strip("/").split("/")
        if parts[0] == "kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"as_of": self.revision}
            return 200, {**item, "as_of": self.revision}
        if parts[0] == "kv-range":
            return 200, self._list(query)
        if parts[0] == "kv-watch":
            return await self._watch(query)
        if parts[0] == "kv-txn":
            return self._commit(json.loads(request.body))
        if parts[0] == "kv-lease":
            lifetime_s = float(json.loads(request.body)["ttl_s_time"])
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (lifetime_s, _now() + lifetime_s)
            return 200, {"lease": lease, "ttl_s_time": lifetime_s}
        lease = int(parts[1])
        if lease not in self.leases:
            return 404, {"error": "no such lease"}
        lifetime_s = self.leases[lease][0]
        if parts[0] == "kv-lease-end":
            del self.leases[lease]
            self._expire()
            return 200, {}
        self.leases[lease] = (lifetime_s, _now() + lifetime_s)
        return 200, {"ttl_s_time": lifetime_s}

    def _list(self, query: dict[str, str]) -> object:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return {
            "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
            "truncated": len(keys) > PAGE_ITEMS,
            "as_of": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, object]:
        prefix, after = query.get("prefix", ""), int(query["after"])
        deadline = _now() + int(query["wait_ms"]) / 1000
        while True:
            if after < self.compacted or after > self.revision:
                return 410, {"error": "the history is gone"}
            events = [
                event
                for _, event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            wait_s = deadline - _now()
            if events or wait_s <= 0:
                return 200, {"events": events, "as_of": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), min(wait_s, 0.2))
            except TimeoutError:
                self._expire()

    def _commit(self, body: dict) -> tuple[int, object]:
        for row in body.get("expect", ()):
            item = self.items.get(row["key"])
            if (0 if item is None else item["revision"]) != row["revision"]:
                keys = [each["key"] for each in body["expect"]]
                current = [self.items[key] for key in keys if key in self.items]
                return 412, {"items": current}
        puts, removed = body.get("puts", ()), body.get("remove", ())
        keys = [each["key"] for each in puts] + list(removed)
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {"error": "read-only"}
        for put in puts:
            lease = put.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, {"error": "no such lease"}
        self.revision += 1
        for put in puts:
            self._put(put["key"], put["value"], put.get("lease", 0))
        for key in removed:
            self._remove(key)
        self._notify()
        return 200, {"revision": self.revision}

    def _put(self, key: str, value: str, lease: int) -> None:
        known = self.items.get(key)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": self.revision if known is None else known["created"],
            "lease": lease,
        }
        self.items[key] = item
        self._add_event(item)

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self._add_event({"key": key, "revision": self.revision, "removed": True})

    def _add_event(self, event: dict) -> None:
        now = _now()
        self.history.append((now, event))
        while self.history[0][0] < now - HISTORY_S:
            self.compacted = self.history.pop(0)[1]["revision"]

    def _expire(self) -> None:
        now = _now()
        for lease in [i for i, (_, due) in self.leases.items() if due <= now]:
            del self.leases[lease]
        lapsed = [
            key
            for key, item in self.items.items()
            if item["lease"] and item["lease"] not in self.leases
        ]
        for key in lapsed:
            self.revision += 1
            self._remove(key)
        if lapsed:
            self._notify()

    def _notify(self) -> None:
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


def _now() -> float:
    return asyncio.get_running_loop().time()


# Stand-in of a sound back end, as PROTOCOL.md describes it

BEAT_INTERVAL_S = 0.87
IDLE_CLOSE_S = 10
COLD_FACTOR = 2.0  # how much longer a cold back end takes


@dataclass(slots=True)
class Run:
    """A request that reached a back end; times are of the event loop."""

    server: str
    request_id: str
    method: str
    target: str
    reached_at: float  # its head was received
    started_at: float | None = None  # the back end began to work on it
    ended_at: float | None = None
    outcome: str = "waiting"  # answered, failed, dropped, rejected or misdirected


class Backend:
    """A back end with slots and a queue; it drops requests whose connection closes."""

    def __init__(self, name: str, service: str, control: tuple[str, int]) -> None:
        self.name = name
        self.service = service
        self.control = control
        self.version = "v1"
        self.zone = "zone-a"
        self.slots = 6
        self.queue_length = 24
        self.work_s = 0.05
        self.answer_bytes = 0  # least size of an answer's body
        self.answer_sizes: dict[str, int] = {}  # the same by target
        self.bad_share = 0.0  # of the requests that are run and answered with 500
        self.state = "ready"
        self.beat_interval_s = BEAT_INTERVAL_S
        self.beat_at = 0.0  # when the latest heartbeat was acknowledged
        self.cold_until = 0.0  # of the event loop's clock
        self._random = Random(name)
        self.runs: list[Run] = []
        self.server = Server()
        self.address = ("", 0)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(self.slots)
        self._beats: asyncio.Task[None] | None = None

    async def start(self, host: str, port: int) -> None:
        """Serve on an address and send heartbeats."""
        self.address = (host, port)
        self.free = asyncio.Semaphore(self.slots)
        await self.server.start(host, port, self._serve)
        self._beats = asyncio.create_task(self._send_beats())

    async def drain(self) -> bool:
        """Say that it leaves; return whether that was acknowledged."""
        self.state = "draining"
        return await self.send_beat()

    async def deregister(self) -> bool:
        """Say that it has left, though it serves on; return whether it was heard."""
        if self._beats is not None:
            self._beats.cancel()
        target = f"/rpc?call=instances.deregister&of={self.name}"
        headers = {"Host": "control", "Content-Type": "application/json"}
        body = json.dumps({"born": self.born}).encode()
        data = encode(f"POST {target} HTTP/1.1", headers, body)
        response = await fetch(self.control, data, 1.0)
        return response is not None and 200 <= response.status < 300

    async def stop(self) -> None:
        """End like a process that is killed."""
        if self._beats is not None:
            self._beats.cancel()
        await self.server.stop()

    async def send_beat(self) -> bool:
        """Send one heartbeat; return whether it was acknowledged."""
        self.sequence += 1
        body = {
            "service": self.service,
            "addr": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_left_s": round(self.get_cold_left(), 3),
            "seq": self.sequence,
            "born": self.born,
        }
        target = f"/rpc?call=instances.heartbeat&of={self.name}"
        headers = {"Host": "control", "Content-Type": "application/json"}
        data = encode(f"POST {target} HTTP/1.1", headers, json.dumps(body).encode())
        response = await fetch(self.control, data, 1.0)
        is_known = response is not None and 200 <= response.status < 300
        if is_known:
            self.beat_at = asyncio.get_running_loop().time()
        return is_known

    def get_cold_left(self) -> float:
        """Return how much longer the back end is cold, in seconds."""
        return max(0.0, self.cold_until - asyncio.get_running_loop().time())

    async def _send_beats(self) -> None:
        while True:
            is_known = await self.send_beat()
            await asyncio.sleep(self.beat_interval_s if is_known else 0.2)

    async def _serve(self, reader, writer) -> None:
        while True:
            request = await read_head(reader)
            if request is None:
                return
            if not await self._answer(request, reader, writer):
                return

    async def _answer(self, request: Message, reader, writer) -> bool:
        """Answer one request; return whether the connection stays open."""
        headers = request.headers
        request_id = headers.get("x-request-id", "")
        if request.target == "/health":
            if not await read_body(reader, request):
                return False
            health = {"X-Instance-Id": self.name}
            if self.get_cold_left():
                health["X-Cold-Ms"] = str(int(self.get_cold_left() * 1000))
            writer.write(encode("HTTP/1.1 200 OK", health))
            return True
        run = Run(
            self.name,
            request_id,
            request.method,
            request.target,
            request.received_at,
        )
        self.runs.append(run)
        if not await read_body(reader, request):
            run.outcome = "dropped"
            return False
        if headers.get("x-expect-instance", self.name) != self.name:
            return self._reject(writer, run, "421 Misdirected Request")
        if not request_id:
            return self._reject(writer, run, "400 Bad Request")
        if self.waiting >= self.slots + self.queue_length:
            return self._reject(writer, run, "503 Service Unavailable")
        # A connection carries one request at a time: what is read now is its end.
        closed = asyncio.create_task(reader.read(1))
        work = asyncio.create_task(self._work(run))
        await asyncio.wait((closed, work), return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
            run.ended_at = asyncio.get_running_loop().time()
            run.outcome = "dropped"
            return False
        is_bad = self._random.random() < self.bad_share
        status = "500 Internal Server Error" if is_bad else "200 OK"
        size = self.answer_sizes.get(request.target, self.answer_bytes)
        body = f"{self.name} ran {request_id}".encode().ljust(size, b".")
        answer = {
            "X-Request-Id": request_id,
            "X-Response-Seal": f"seal-{self.name}-{request_id}",
            "X-Instance-Id": self.name,
            "Keep-Alive": f"timeout={IDLE_CLOSE_S}",
        }
        writer.write(encode(f"HTTP/1.1 {status}", answer, body))
        await writer.drain()
        run.outcome = "failed" if is_bad else "answered"
        if not closed.done():
            closed.cancel()
            await asyncio.wait((closed,))
            return True
        return False

    async def _work(self, run: Run) -> None:
        self.waiting += 1
        try:
            async with self.free:
                loop = asyncio.get_running_loop()
                run.started_at = loop.time()
                factor = COLD_FACTOR if self.get_cold_left() else 1.0
                await asyncio.sleep(self.work_s * factor)
                run.ended_at = loop.time()
        finally:
            self.waiting -= 1

    def _reject(self, writer, run: Run, status: str) -> bool:
        run.outcome = "misdirected" if status.startswith("421") else "rejected"
        headers = {"X-Not-Executed": "1", "X-Request-Id": run.request_id}
        headers["X-Instance-Id"] = self.name
        writer.write(encode(f"HTTP/1.1 {status}", headers))
        return True


# A small deployment on loopback addresses: nodes as processes, stand-ins beside them

ROOT = Path(__file__).resolve().parents[1]
BOUNDS = {
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_slack": 58,
    "cold_factor": 1.5,
    "cold_slack": 5,
    "exposure_share": 0.1,
    "exposure_slack": 50,
    "grace_s": 6,
}
START_LIMIT_S = 25.0
SETTLE_S = 3.0


class CannotRunError(Exception):
    """The deployment did not come up, so that the case proves nothing."""


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._begin = time.monotonic()

    def add(self, text: str) -> None:
        """Add a line."""
        print(f"{time.monotonic() - self._begin:8.3f}  {text}", file=self._file)
        self._file.flush()


class Machine:
    """A machine with its addresses, node and back end."""

    def __init__(self, name: str, service: str, host: str, directory: Path) -> None:
        self.name = name
        self.service = service
        self.host = host
        self.settings_file = directory / f"{name}.json"
        self.log_file = directory / f"{name}.log"
        names = ("outbound", "inbound", "ready", "control", "app", "peer", "metrics")
        ports = find_free_ports(host, len(names))
        self.ports = dict(zip(names, ports, strict=True))
        self.process: subprocess.Popen[bytes] | None = None
        self.backend = Backend(f"i-{name}", service, self.get_address("control"))

    def get_address(self, name: str) -> tuple[str, int]:
        """Return an address of this machine."""
        return self.host, self.ports[name]


class Deployment:
    """Store, machines and what was recorded."""

    def __init__(self, folder: Path) -> None:
        self.directory = Path(tempfile.mkdtemp(prefix="mesh-"))
        self.record = Record(folder / "record.txt")
        self.store = Store()
        self.machines: list[Machine] = []
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())

    async def start_store(self) -> None:
        """Start the store."""
        host = "127.0.0.1"
        await self.store.start(host, find_free_ports(host, 1)[0])

    def add_machine(self, service: str, work_s: float, slots: int = 6) -> Machine:
        """Add a machine; ``start`` starts it."""
        number = len(self.machines) + 1
        host = f"127.0.{os.getpid() % 200 + 20}.{number}"
        machine = Machine(f"sidecar-{number}", service, host, self.directory)
        machine.backend.work_s = work_s
        machine.backend.slots = slots
        self.machines.append(machine)
        return machine

    async def start(self, machines: list[Machine] | None = None) -> None:
        """Start machines, all by default, and wait until all nodes know all servers."""
        machines = self.machines if machines is None else machines
        for machine in machines:
            self.start_node(machine)
        for machine in machines:
            host, port = machine.get_address("app")
            await machine.backend.start(host, port)
        deadline = time.monotonic() + START_LIMIT_S
        for machine in machines:
            while not await self.is_ready(machine):
                if time.monotonic() > deadline:
                    raise CannotRunError(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)
        while not all(f"nodes/{each.name}" in self.store.items for each in machines):
            if time.monotonic() > deadline:
                raise CannotRunError("not all nodes are listed")
            await asyncio.sleep(0.1)
        # All nodes have read of all servers, and no server counts as cold.
        await asyncio.sleep(SETTLE_S)

    def start_node(self, machine: Machine) -> None:
        """Start the node of a machine as the deploy file says."""
        role = self.deploy["roles"]["node"]
        template = (ROOT / role["template"]).read_text()
        settings = render(template, self._build_fields(machine))
        json.loads(settings)
        machine.settings_file.write_text(settings)
        program, *words = role["run"].split()
        arguments = [
            str(machine.settings_file) if word.startswith("/etc/") else word
            for word in words
        ]
        names = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in names if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["MONSOONTRAY_SETTINGS"] = str(machine.settings_file)
        with machine.log_file.open("ab") as log:
            machine.process = subprocess.Popen(
                [program, *arguments],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.add(f"{machine.name}: node started")

    async def is_ready(self, machine: Machine) -> bool:
        """Return whether a node says that it is ready."""
        data = encode("GET /readiness HTTP/1.1", {"Host": "ready"})
        response = await fetch(machine.get_address("ready"), data, 1.0)
        return response is not None and response.status == 200

    async def stop(self) -> None:
        """End all processes that were started, and what they wrote."""
        for machine in self.machines:
            await machine.backend.stop()
            process = machine.process
            if process is not None:
                if process.poll() is None:
                    process.kill()
                process.wait()
        await self.store.server.stop()
        shutil.rmtree(self.directory, ignore_errors=True)

    def _build_fields(self, machine: Machine) -> dict[str, Any]:
        host, ports = machine.host, machine.ports
        listen = {
            name: f"{host}:{ports[name]}"
            for name in ("outbound", "inbound", "ready", "control")
        }
        store_host, store_port = self.store.address
        return {
            "node_name": machine.name,
            "region": "region-a",
            "zone": machine.backend.zone,
            "service": machine.service,
            "app_addr": f"{host}:{ports['app']}",
            "listen": listen,
            "ip": host,
            "port_range": [ports["peer"], ports["peer"] + 15],
            "bounds": BOUNDS,
            "limits": {"link_mbps": 1000.0, "memory_mb": 300, "max_fds": 4100},
            "platform": {"addr": f"{store_host}:{store_port}"},
        }


_TAG = re.compile(r"\{\{(?P<name>[a-z_0-9.]+)(?P<form>\|json)?\}\}")
_SECTION = re.compile(r"\{\{#([a-z_0-9.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template of settings, as far as the deploy file's template needs it."""

    def find(name: str) -> Any:
        value: Any = fields
        for part in name.split("."):
            if isinstance(value, list) and part.isdigit():
                value = value[int(part)]
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                return None
        return value

    def fill_section(match: re.Match[str]) -> str:
        is_shown = find(match[1]) not in (None, False)
        return render(match[2], fields) if is_shown else ""

    def fill_tag(match: re.Match[str]) -> str:
        value = find(match["name"])
        return json.dumps(value) if match["form"] else str(value)

    return _TAG.sub(fill_tag, _SECTION.sub(fill_section, template))


def find_free_ports(host: str, count: int) -> list[int]:
    """Return ports of a loopback address that nothing listens on."""
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((host, 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def build_configuration(version: int, routes: list[dict], **limits: Any) -> dict:
    """Return a configuration as the operator writes it."""
    names = sorted({route["service"] for route in routes})
    services = [
        {"name": name, "health_path": "/health", "max_conns": 110} for name in names
    ]
    usual = {
        "max_header_bytes": 16_384,
        "max_body_bytes": 67_108_864,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
    }
    return {
        "version": f"{version:08x}",
        "routes": routes,
        "services": services,
        "limits": {**usual, **limits},
    }


def build_route(prefix: str, service: str, kind: str, **changes: Any) -> dict:
    """Return a route as the operator writes it."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "host": "mesh.example",
        "prefix": prefix,
        "kind": kind,
        "timeout_s": 3.0,
        "target_latency_s": 1.0,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        **changes,
    }


# Run a case and end with its exit code

#: Whether the disruption takes place.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TIME_LIMIT_S = 100.0
#: Exit codes of the Python program; ``run.sh`` turns the first into 1, others into 2.
BROKEN, HELD, NOT_RUN = 11, 0, 12

CaseRun = Callable[[Deployment], Awaitable[bool]]


def run_case(folder: Path, rule: str, run: CaseRun) -> int:
    """Run a case, which returns whether the rule held; return the exit code."""
    return asyncio.run(_run(folder, rule, run))


async def _run(folder: Path, rule: str, run: CaseRun) -> int:
    deployment = Deployment(folder)
    deployment.record.add(f"begins, {'with' if TROUBLE else 'without'} the disruption")
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(TIME_LIMIT_S):
            holds = await run(deployment)
    except (CannotRunError, TimeoutError, OSError, asyncio.CancelledError) as error:
        deployment.record.add(f"could not run: {error!r}")
        return NOT_RUN
    finally:
        await deployment.stop()
    deployment.record.add(f"{rule} {'held' if holds else 'is broken'}")
    return HELD if holds else BROKEN
