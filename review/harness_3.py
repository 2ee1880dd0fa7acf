"""Machines, clients, servers and the platform of a small deployment, for scripts.

The nodes are the project's own program, started as separate processes by the command
of the deploy file. Everything else is a stand-in of this file, on loopback addresses.
"""

from __future__ import annotations

import asyncio
import base64
import gc
import itertools
import json
import math
import os
import random
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(os.environ.get("MESH_ROOT") or Path(__file__).resolve().parent.parent)
HELD, BROKEN, NOT_RUN = 0, 1, 2
HISTORY_S = 20.0  # of the store
STORE_ANSWER_S = 0.004
TICK_S = 0.004  # of a server's timers, as of a system with 250 ticks a second
BEAT_INTERVAL_S = 1.5
RESTART_DELAY_S = 0.3  # until the platform starts a process again that has ended
#: Bounds of the small deployments.
BOUNDS = {
    "stable_window_s": 3,
    "drain_s": 2,
    "grace_s": 6,
    "config_apply_s": 2,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_slack": 58,
    "exposure_share": 0.1,
    "exposure_slack": 50,
    "cold_factor": 1.5,
    "cold_slack": 5,
}


def has_trouble() -> bool:
    """Return whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


class Message:
    """A request or a response that was read from a connection."""

    def __init__(self, start: str, headers: dict[str, str], body: bytes) -> None:
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers: dict[str, str] = {}
        for line in lines[1:]:
            name, separator, value = line.partition(":")
            if separator:
                headers[name.strip().lower()] = value.strip()
        body = b""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = await _read_chunks(reader)
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    return Message(lines[0], headers, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return body


def build_response(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Record:
    """Log of a run, written to the folder of the case at its end."""

    def __init__(self, path: Path) -> None:
        self._started_at = time.monotonic()
        self._path = path
        self._lines: list[str] = []

    def write(self, text: str) -> None:
        """Add a line with the seconds since the start."""
        self._lines.append(f"{time.monotonic() - self._started_at:8.3f} {text}\n")

    def close(self) -> None:
        """Write the file."""
        self._path.write_text("".join(self._lines))


class Store:
    """The platform's key-value store."""

    def __init__(self) -> None:
        self.address = ""
        self.revision = 100
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[tuple[float, dict[str, Any]]] = []
        self.compacted = 0
        self.leases: dict[int, tuple[float, float]] = {}
        self._lease_ids = itertools.count(1)
        self._changed = asyncio.Event()
        self.writes = 0
        #: Returns how long a write is put off whose answer is lost, or None.
        self.choose_late: Callable[[dict[str, Any]], float | None] = lambda write: None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str) -> None:
        """Listen, and let leases end."""
        server = await asyncio.start_server(self._serve, host, 0)
        self.address = f"{host}:{server.sockets[0].getsockname()[1]}"
        self._tasks.add(asyncio.create_task(self._expire_leases()))

    def put(self, key: str, value: object) -> int:
        """Write a key as the operator; return the revision."""
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        return self._apply({"puts": [{"key": key, "value": encoded}]})

    def find(self, key: str) -> Any:
        """Return the value of a key, or None."""
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [i for i, (end, _) in self.leases.items() if end <= now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self._apply({"remove": keys})

    def _apply(self, write: dict[str, Any]) -> int:
        self.revision += 1
        now = time.monotonic()
        for put in write.get("puts", ()):
            key = put["key"]
            known = self.items.get(key)
            item = {
                "key": key,
                "value": put["value"],
                "revision": self.revision,
                "created": self.revision if known is None else known["created"],
                "lease": put.get("lease", 0),
            }
            self.items[key] = item
            self.history.append((now, item))
        for key in write.get("remove", ()):
            if self.items.pop(key, None) is not None:
                event = {"key": key, "revision": self.revision, "removed": True}
                self.history.append((now, event))
        while self.history and self.history[0][0] < now - HISTORY_S:
            self.compacted = self.history.pop(0)[1]["revision"]
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    def _refuse(self, write: dict[str, Any]) -> tuple[int, object] | None:
        for put in write.get("puts", ()):
            if put.get("lease", 0) and put["lease"] not in self.leases:
                return 404, {}
        for row in write.get("expect", ()):
            item = self.items.get(row["key"])
            if (0 if item is None else item["revision"]) != row["revision"]:
                keys = [each["key"] for each in write["expect"]]
                found = [self.items[key] for key in keys if key in self.items]
                return 412, {"items": found}
        return None

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(ConnectionError, OSError, asyncio.CancelledError):
            while (request := await read_message(reader)) is not None:
                await asyncio.sleep(STORE_ANSWER_S)
                answer = await self._answer(request)
                if answer is None:  # the answer is lost, the connection stays silent
                    await reader.read()
                    break
                status, body = answer
                writer.write(build_response(status, json.dumps(body).encode()))
                await writer.drain()
        writer.close()

    async def _answer(self, request: Message) -> tuple[int, object] | None:
        method, target, _ = request.start.split(" ")
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        path, tail = url.path, url.path.rpartition("/")[2]
        if path == "/kv-key":
            item = self.items.get(query["key"])
            as_of = {"as_of": self.revision}
            return (404, as_of) if item is None else (200, {**item, **as_of})
        if path == "/kv-range":
            keys = [
                key
                for key in sorted(self.items)
                if key.startswith(query.get("prefix", ""))
                and key > query.get("after", "")
            ]
            items = [self.items[key] for key in keys[:500]]
            page = {"items": items, "truncated": len(keys) > len(items)}
            return 200, {**page, "as_of": self.revision}
        if path == "/kv-watch":
            return await self._watch(query)
        body = json.loads(request.body) if request.body else {}
        if path == "/kv-txn":
            return await self._write(body)
        if path == "/kv-lease":
            lease, ttl_s = next(self._lease_ids), float(body["ttl_s_time"])
            self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"lease": lease, "ttl_s_time": ttl_s}
        if path.startswith("/kv-keep/"):
            known = self.leases.get(int(tail))
            if known is None:
                return 404, {}
            self.leases[int(tail)] = (time.monotonic() + known[1], known[1])
            return 200, {"ttl_s_time": known[1]}
        if method == "DELETE" and int(tail) in self.leases:
            self._end_lease(int(tail))
            return 200, {}
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, object]:
        after = int(query["after"])
        deadline = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if not self.compacted <= after <= self.revision:
                return 410, {}
            events = [
                event
                for _, event in self.history
                if event["revision"] > after
                and event["key"].startswith(query.get("prefix", ""))
            ]
            left_s = deadline - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "as_of": self.revision}
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    async def _write(self, write: dict[str, Any]) -> tuple[int, object] | None:
        keys = [put["key"] for put in write.get("puts", ())] + write.get("remove", [])
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        self.writes += 1
        late_s = self.choose_late(write)
        if late_s is not None:
            self._tasks.add(asyncio.create_task(self._write_late(write, late_s)))
            return None
        refusal = self._refuse(write)
        return refusal or (200, {"revision": self._apply(write)})

    async def _write_late(self, write: dict[str, Any], late_s: float) -> None:
        await asyncio.sleep(late_s)
        if self._refuse(write) is None:
            self._apply(write)


class Server:
    """A backend server: slots, a queue, heartbeats, one request at a time each way."""

    def __init__(
        self, name: str, service: str, zone: str, record: Record, slots: int = 6
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.record = record
        self.slots = slots
        self.work_s = 0.05
        self.answer_bytes = 200
        self.host, self.port, self.control = "", 0, ""
        self.state = "ready"
        self.runs: Counter[str] = Counter()  # by request id
        self.run_at: dict[str, float] = {}  # when a request began to run
        self.running: dict[str, float] = {}
        self.born = int(time.time() * 1000)
        self._sequence = itertools.count(1)
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._has_beaten = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str, port: int, control: str) -> None:
        """Listen, and send heartbeats to the node of the machine."""
        self.host, self.port, self.control = host, port, control
        await asyncio.start_server(self._serve, host, port)
        self._tasks.add(asyncio.create_task(self._beat()))

    async def _beat(self) -> None:
        while True:
            body = {
                "service": self.service,
                "addr": f"{self.host}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "cold_left_s": 0,
                "seq": next(self._sequence),
                "born": self.born,
            }
            target = f"/rpc?call=instances.heartbeat&of={self.name}"
            with suppress(ConnectionError, OSError, TimeoutError):
                await asyncio.wait_for(self._post(target, body), 1.0)
            self._has_beaten.set()
            self._has_beaten = asyncio.Event()
            await asyncio.sleep(BEAT_INTERVAL_S)

    async def wait_for_beat(self) -> None:
        """Wait until the next heartbeat was answered."""
        await self._has_beaten.wait()

    async def _post(self, target: str, body: object) -> int:
        host, _, port = self.control.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = json.dumps(body).encode()
            head = (
                f"POST {target} HTTP/1.1\r\nHost: {self.control}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
            )
            writer.write(head.encode() + data)
            answer = await read_message(reader)
            return 0 if answer is None else answer.status
        finally:
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        is_last = False
        with suppress(ConnectionError, OSError, asyncio.CancelledError):
            while not is_last and (request := await read_message(reader)) is not None:
                answer, is_last = await self._answer(request)
                writer.write(answer)
                await writer.drain()
        writer.close()

    async def _answer(self, request: Message) -> tuple[bytes, bool]:
        target = request.start.split(" ")[1]
        if target == "/health":
            return build_response(200, headers={"X-Instance-Id": self.name}), False
        call_id = request.headers.get("x-request-id", "")
        headers = {"X-Request-Id": call_id}
        if request.headers.get("x-expect-instance", self.name) != self.name:
            return build_response(421, headers=headers), False
        if self._free.locked() and self._waiting >= 4 * self.slots:
            headers["X-Not-Executed"] = "1"
            return build_response(503, headers=headers), False
        self._waiting += 1
        await self._free.acquire()
        self._waiting -= 1
        try:
            self.runs[call_id] += 1
            self.run_at[call_id] = self.running[call_id] = time.monotonic()
            self.record.write(f"{self.name} runs {call_id} {request.start}")
            end = time.monotonic() + self.work_s
            end = math.ceil(end / TICK_S) * TICK_S
            await asyncio.sleep(end - time.monotonic())
        finally:
            self._free.release()
            self.running.pop(call_id, None)
        return self.build_answer(request, call_id)

    def build_answer(self, request: Message, call_id: str) -> tuple[bytes, bool]:
        """Return the answer, and whether the connection ends behind it."""
        body = (f"{self.name} {call_id}\n".encode() * self.answer_bytes)[
            : self.answer_bytes
        ]
        headers = {"X-Request-Id": call_id, "X-Response-Seal": f"seal-{call_id}"}
        return build_response(200, body, headers), False


class Machine:
    """A machine with a node beside a backend server."""

    def __init__(self, deployment: Deployment, name: str, zone: str, ip: str) -> None:
        self.deployment = deployment
        self.name, self.zone, self.ip = name, zone, ip
        self.server: Server | None = None
        self.process: subprocess.Popen[bytes] | None = None
        self.ends: list[int] = []  # statuses of processes that ended by themselves
        self.is_supervised = True

    def get_address(self, port: str) -> str:
        """Return the address of one of the machine's ports."""
        return f"{self.ip}:{self.deployment.ports[port]}"

    def build_fields(self, service: str) -> dict[str, Any]:
        """Return the platform's settings of the process."""
        return {
            "node_name": self.name,
            "ip": self.ip,
            "zone": self.zone,
            "region": "hwh",
            "service": service,
            "app_addr": self.get_address("app"),
            "listen": {
                name: self.get_address(name)
                for name in ("inbound", "outbound", "ready", "control")
            },
            "port_range": [self.deployment.ports["peer"]],
            "limits": {"memory_mb": 300, "max_fds": 4100, "link_mbps": 1000.0},
            "platform": {"addr": self.deployment.store.address},
            "bounds": BOUNDS,
        }

    def start(self) -> None:
        """Start the node's process."""
        deployment = self.deployment
        arguments = shlex.split(deployment.command)
        path = deployment.folder / f"{self.name}.json"
        arguments[-1] = str(path)
        environment = {"PATH": os.environ["PATH"], "HOME": str(deployment.folder)}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["MONSOONTRAY_SETTINGS"] = str(path)
        with (deployment.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                arguments, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send_signal(self, number: int) -> None:
        """Send a signal to the node's process."""
        assert self.process is not None
        self.process.send_signal(number)

    async def supervise(self) -> None:
        """Start the process again when it has ended, as the platform does."""
        while True:
            await asyncio.sleep(0.02)
            if self.process is None or self.process.poll() is None:
                continue
            if not self.is_supervised:
                return
            status = self.process.returncode
            self.ends.append(status)
            self.deployment.record.write(f"{self.name} ended with status {status}")
            await asyncio.sleep(RESTART_DELAY_S)
            self.start()

    async def is_ready(self) -> bool:
        """Return whether the node says that it is ready."""
        host, _, port = self.get_address("ready").rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        try:
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: node\r\n\r\n")
            answer = await asyncio.wait_for(read_message(reader), 1.0)
            return answer is not None and answer.status == 200
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()


class Deployment:
    """A store, and machines on loopback addresses of their own."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = Store()
        self.machines: list[Machine] = []
        self.server_class = Server
        self.folder = Path(tempfile.mkdtemp(prefix="mesh-"))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command: str = deploy["roles"]["node"]["run"]
        self._template = (ROOT / deploy["roles"]["node"]["template"]).read_text()
        self._net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        names = ("app", "inbound", "outbound", "ready", "control", "peer")
        self.ports = dict(
            zip(names, _reserve_ports(self._net, len(names)), strict=True)
        )
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, services: list[tuple[str, str]], **server: Any) -> None:
        """Start the store and a machine for each pair of a zone and a service."""
        await self.store.start(f"{self._net}.1")
        for number, (zone, service) in enumerate(services, start=2):
            machine = Machine(self, f"side-{number}", zone, f"{self._net}.{number}")
            self.machines.append(machine)
            text = render(self._template, machine.build_fields(service))
            (self.folder / f"{machine.name}.json").write_text(text)
            machine.server = self.server_class(
                f"i-{number}{service}", service, zone, self.record, **server
            )
            port = self.ports["app"]
            control = machine.get_address("control")
            await machine.server.start(machine.ip, port, control)
            machine.start()
            self._tasks.add(asyncio.create_task(machine.supervise()))

    async def wait_until_ready(self, limit_s: float = 20.0) -> bool:
        """Wait until all nodes are ready and list all servers."""
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            ready = [await machine.is_ready() for machine in self.machines]
            listed = [self.store.find(f"nodes/{m.name}") for m in self.machines]
            if all(ready) and all(each and each[7] for each in listed):
                await asyncio.sleep(1.5)
                return True
            await asyncio.sleep(0.1)
        return False

    def stop(self) -> None:
        """End all processes."""
        for machine in self.machines:
            machine.is_supervised = False
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()


def _reserve_ports(net: str, count: int) -> list[int]:
    """Return ports that are free at the addresses of the machines."""
    taken = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((f"{net}.2", 0))
        taken.append(sock)
    ports = [sock.getsockname()[1] for sock in taken]
    for sock in taken:
        sock.close()
    return ports


def render(template: str, fields: dict[str, Any]) -> str:
    """Return a template of settings that is filled in as the platform does."""

    def find(name: str) -> Any:
        value: Any = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def fill(match: re.Match[str]) -> str:
        name, _, form = match[1].partition("|")
        value = find(name)
        return json.dumps(value) if form == "json" else str(value)

    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
    while section.search(template):
        template = section.sub(lambda m: m[2] if find(m[1]) else "", template)
    return re.sub(r"\{\{([^#/}]+)\}\}", fill, template)


def build_route(name: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": "plant.example",
        "prefix": f"/{name}/",
        "kind": "idempotent",
        "timeout_s": 2.0,
        "target_latency_s": 0.25,
        "priority": 1,
        "max_attempts": 2,
        "service": service,
        **changes,
    }


def build_configuration(
    version: int, routes: list[dict[str, Any]], **limits: Any
) -> dict[str, Any]:
    """Return a configuration as the operator writes it."""
    return {
        "version": f"{version:08x}",
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_conns": 110,
                "cold_start_s": 3.0,
                "cold_per_s": 21.0,
            }
            for name in sorted({route["service"] for route in routes})
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 1_048_576,
            "header_timeout_s": 3.0,
            "idle_timeout_s": 10.0,
            **limits,
        },
    }


class Client:
    """A client of a machine that keeps its connection for many requests."""

    _numbers = itertools.count(1)

    def __init__(self, machine: Machine, record: Record) -> None:
        self._machine = machine
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self.is_kept = False  # a request was answered on the connection

    async def send(
        self,
        method: str,
        path: str,
        deadline_s: float = 2.0,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> tuple[str, Message | None]:
        """Send a request; return its id, and the answer or None if there was none."""
        call_id, data = self._build(method, path, deadline_s, body, headers)
        answers = await self._exchange([call_id], data, deadline_s + 1.0)
        return call_id, answers[0]

    async def send_reads(
        self, paths: list[str], deadline_s: float = 2.0
    ) -> list[tuple[str, Message | None]]:
        """Send reads without waiting for answers; return their ids and answers."""
        built = [self._build("GET", path, deadline_s, b"", None) for path in paths]
        ids = [call_id for call_id, _ in built]
        data = b"".join(each for _, each in built)
        answers = await self._exchange(ids, data, deadline_s + 1.0)
        return list(zip(ids, answers, strict=True))

    def _build(
        self,
        method: str,
        path: str,
        deadline_s: float,
        body: bytes,
        headers: dict[str, str] | None,
    ) -> tuple[str, bytes]:
        call_id = f"{next(self._numbers):016x}"
        self._record.write(f"{self._machine.name} client sends {call_id} {path}")
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: plant.example",
            f"X-Request-Id: {call_id}",
            f"X-Deadline-Ms: {int(deadline_s * 1000)}",
        ]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        return call_id, "\r\n".join([*lines, "", ""]).encode("latin-1") + body

    async def _exchange(
        self, ids: list[str], data: bytes, limit_s: float
    ) -> list[Message | None]:
        """Send requests; return the answer to each, or None if there was none."""
        answers: list[Message | None] = []
        try:
            async with asyncio.timeout(limit_s):
                if self._writer is None:
                    address = self._machine.get_address("outbound")
                    host, _, port = address.rpartition(":")
                    connection = await asyncio.open_connection(host, int(port))
                    self._reader, self._writer = connection
                assert self._reader is not None
                self._writer.write(data)
                for _ in ids:
                    answers.append(await read_message(self._reader))
        except (OSError, TimeoutError) as error:
            self._record.write(f"{', '.join(ids)} failed: {error!r}")
        answers += [None] * (len(ids) - len(answers))
        for call_id, answer in zip(ids, answers, strict=True):
            status = "no answer" if answer is None else answer.status
            self._record.write(f"{call_id} answered: {status}")
        last = answers[-1]
        if last is None or last.headers.get("connection", "") == "close":
            self.close()
        else:
            self.is_kept = True
        return answers

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
        self.is_kept = False


def run_case(
    folder: Path, play: Callable[[Deployment, Record], Awaitable[int]], limit_s: float
) -> None:
    """Play a case within a time; end all processes; exit with its outcome."""
    record = Record(folder / "record.txt")

    async def run() -> int:
        deployment = Deployment(record)
        try:
            return await asyncio.wait_for(play(deployment, record), limit_s)
        except TimeoutError:
            record.write("the case took too long")
            return NOT_RUN
        finally:
            deployment.stop()
            for machine in deployment.machines:
                log = deployment.folder / f"{machine.name}.log"
                lines = log.read_text(errors="replace").splitlines()
                for line in [each for each in lines if '"level":"ERROR"' in each]:
                    record.write(f"log of {machine.name}: {line}")

    gc.disable()  # its pauses would delay the stand-ins
    outcome = asyncio.run(run())
    record.write(f"exit {outcome}")
    record.close()
    sys.exit(outcome)
