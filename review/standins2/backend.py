"""Stand-in of a sound back end, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass
from random import Random

from standins2.http import Message, Server, encode, fetch, read_body, read_head

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
    outcome: str = "waiting"  # answered, failed, dropped or rejected


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
        run.outcome = "rejected"
        headers = {"X-Not-Executed": "1", "X-Request-Id": run.request_id}
        headers["X-Instance-Id"] = self.name
        writer.write(encode(f"HTTP/1.1 {status}", headers))
        return True
