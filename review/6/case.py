"""Clients pause for some seconds within an answer.

Each client keeps a connection and sends an order, and behind it requests that may be
repeated.
"""

from __future__ import annotations

import asyncio
import socket
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from harness_2 import (  # noqa: E402
    TROUBLE,
    CannotRunError,
    Deployment,
    Machine,
    build_configuration,
    build_route,
    encode,
    run_case,
)

CLIENTS = 12
FURTHER = 2  # idempotent requests that a client sends behind its order
ANSWER_BYTES = 30_000  # the largest answers on the sheets
RECEIVE_BUFFER_BYTES = 4_096  # small windows: the system doubles it
PAUSE_S = 2.5
WORK_S = 0.1
DEADLINE_MS = 8_000
MAX_CLOSED = 3  # "more than three times" breaks the rule


class Client:
    """A client that keeps its connection and reads as it likes."""

    def __init__(self, name: str, machine: Machine, deployment: Deployment) -> None:
        self.name = name
        self.machine = machine
        self.record = deployment.record
        self.lost: list[str] = []  # requests that got no whole answer
        self.silent: list[str] = []  # those of them that got no byte of one
        self._loop = asyncio.get_running_loop()
        self._data = b""
        self._is_ended = False
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._sock.setblocking(False)

    async def run(self, pause_s: float) -> None:
        """Send one request, then an order and others, and pause in its answer."""
        with self._sock:
            address = self.machine.get_address("outbound")
            await self._loop.sock_connect(self._sock, address)
            first, order = f"{self.name}-first", f"{self.name}-order"
            await self._send("GET /read/x", first)
            if not await self._read(first, 0.0):
                raise CannotRunError("a first request was not answered")
            await self._send("POST /order/x", order)
            further = [f"{self.name}-read-{number + 1}" for number in range(FURTHER)]
            for name in further:
                await self._send("GET /read/x", name)
            for name in (order, *further):
                if not await self._read(name, pause_s if name == order else 0.0):
                    self.lost.append(name)

    async def _send(self, start: str, name: str) -> None:
        headers = {
            "Host": "mesh.example",
            "X-Request-Id": name,
            "X-Deadline-Ms": str(DEADLINE_MS),
        }
        body = b"one board" if start.startswith("POST") else b""
        data = encode(f"{start} HTTP/1.1", headers, body)
        await self._loop.sock_sendall(self._sock, data)
        self.record.add(f"{name} sent to {self.machine.name}")

    async def _read(self, name: str, pause_s: float) -> bool:
        """Read one answer; return whether it came whole."""
        was_ended = self._is_ended
        while b"\r\n\r\n" not in self._data or self._is_ended:
            if self._is_ended or not await self._receive(name):
                self.record.add(f"{name}: no answer")
                if was_ended or not self._data:
                    self.silent.append(name)
                return False
        head = self._data.partition(b"\r\n\r\n")[0]
        start, *lines = head.decode("latin-1").lower().split("\r\n")
        length = next(x for x in lines if x.startswith("content-length:"))
        due = len(head) + 4 + int(length.partition(":")[2])
        if pause_s:
            self.record.add(f"{name}: {start}; reads on in {pause_s} s")
            await asyncio.sleep(pause_s)
        while len(self._data) < due:
            if not await self._receive(name):
                self.record.add(f"{name}: {len(self._data)} of {due} bytes came")
                return False
        self._data = self._data[due:]
        self.record.add(f"{name}: {start}, whole")
        return True

    async def _receive(self, name: str) -> bool:
        try:
            part = await self._loop.sock_recv(self._sock, 2_048)
        except OSError as error:
            self.record.add(f"{name}: {error}")
            part = b""
        self._data += part
        self._is_ended = not part
        return bool(part)


async def run(deployment: Deployment) -> bool:
    """Return whether the rule held."""
    record = deployment.record
    await deployment.start_store()
    times = {"timeout_s": 8.0, "target_latency_s": 2.0}
    routes = [
        build_route("/read/", "orders", "idempotent", **times),
        build_route("/order/", "orders", "non_idempotent", **times),
    ]
    configuration = build_configuration(3, routes)
    deployment.store.write_as_operator("op/config", configuration)
    for _ in range(3):
        machine = deployment.add_machine("orders", WORK_S, slots=12)
        machine.backend.answer_bytes = ANSWER_BYTES
    await deployment.start()
    machines = deployment.machines
    clients = [
        Client(f"c{number}", machines[number % 3], deployment)
        for number in range(CLIENTS)
    ]
    pause_s = PAUSE_S if TROUBLE else 0.0
    await asyncio.gather(*(client.run(pause_s) for client in clients))
    outcomes = {
        each.request_id: each.outcome
        for machine in machines
        for each in machine.backend.runs
    }
    closed = 0
    for client in clients:
        for name in client.lost:
            record.add(f"{name}: no whole answer; its back end: {outcomes.get(name)}")
        closed += any(outcomes.get(name) == "answered" for name in client.silent)
    record.add(
        f"{closed} kept connections were closed without a byte of the answer to a "
        f"request that a back end had answered; {MAX_CLOSED} are allowed"
    )
    return closed <= MAX_CLOSED


sys.exit(run_case(HERE, "LOST", run))
