"""A chunked request that ends every back end is sent to back ends again and again."""

from __future__ import annotations

import asyncio
import os
import time

from harness import (
    BOUNDS,
    HOST,
    TROUBLE,
    Deployment,
    Exchange,
    Node,
    Request,
    Server,
    build_configuration,
    build_route,
    connect,
    run_case,
    serve,
)

MACHINES = 6
DEADLINE_MS = 800
WORK_S = 0.03
DOWN_S = 2.0  # a back end that ended is back after this time
COLD_START_S = 3.0
FATAL_GAP_S = 0.7  # time until the fatal request comes again
SEND_GAP_S = 0.05  # between two other uploads
TRAFFIC_S = 40.0
ALLOWED_RETRIES = 3
#: To compare: "length" for bodies with a length, "long" for bodies with a length that
#: differ only after 20 kB.
BODIES = os.environ.get("BODIES", "chunked")
COMMON_PART = bytes(20_000) if BODIES == "long" else b""
FATAL_BODY = COMMON_PART + b"fatal-" * 200


class MortalServer(Server):
    """Back end that ends when it begins to run the fatal request."""

    def __init__(self, node: Node, number: int, fatal_runs: list) -> None:
        super().__init__(node, f"i-{number}-0", work_s=lambda _: WORK_S)
        self._number = number
        self._starts = 0
        self._fatal_runs = fatal_runs
        self._exchanges: set[Exchange] = set()
        self._cold_until = 0.0
        self._is_down = False
        self._return: asyncio.Task[None] | None = None

    async def handle(self, request: Request, exchange: Exchange) -> None:
        """Run a request, or end."""
        if self._is_down:
            exchange.abort()
            return
        self._exchanges.add(exchange)
        is_expected = request.headers.get("x-expect-instance", self.id) == self.id
        if request.body == FATAL_BODY and is_expected:
            request_id = request.headers["x-request-id"]
            self._fatal_runs.append((time.monotonic(), request_id))
            self.node.deployment.record.write(f"{request_id} ends {self.id}")
            self._end()
            return
        await super().handle(request, exchange)

    def build_heartbeat(self):
        """Return the next heartbeat."""
        left_s = max(0.0, self._cold_until - time.monotonic())
        return {**super().build_heartbeat(), "cold_left_s": round(left_s, 3)}

    def _end(self) -> None:
        self._is_down = True
        self.is_beating = False
        assert self._listener is not None
        self._listener.close()
        exchanges, self._exchanges = self._exchanges, set()
        for each in exchanges:
            each.abort()
        self._return = asyncio.ensure_future(self._come_back())

    async def _come_back(self) -> None:
        await asyncio.sleep(DOWN_S)
        self._starts += 1
        self.id = f"i-{self._number}-{self._starts}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self._cold_until = time.monotonic() + COLD_START_S
        self._listener = await serve(self.node.app, self.handle)
        self._is_down = False
        self.is_beating = True
        self.node.deployment.record.write(f"{self.id} starts")


async def upload(
    deployment: Deployment, node: Node, request_id: str, body: bytes
) -> None:
    """Send an upload to the one path of the route, in chunks or with a length."""
    status = 0
    try:
        connection = await connect(node.outbound)
    except (OSError, TimeoutError):
        return
    lines = [
        "POST /photo/in HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {DEADLINE_MS}",
    ]
    if BODIES == "chunked":
        lines.append("Transfer-Encoding: chunked")
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    else:
        lines.append(f"Content-Length: {len(body)}")
    try:
        connection.send_raw(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        async with asyncio.timeout(DEADLINE_MS / 1000 + 0.5):
            status, _, _ = await connection.receive()
    except (OSError, EOFError, TimeoutError):
        status = 0
    finally:
        connection.close()
    deployment.record.write(f"sent {request_id} to {node.name}: {status}")


async def send_forever(
    deployment: Deployment, prefix: str, gap_s: float, sent: dict[str, float]
) -> None:
    """Send uploads to the machines in turn."""
    deadline = time.monotonic() + TRAFFIC_S
    tasks = []
    while time.monotonic() < deadline:
        number = len(sent)
        request_id = f"{prefix}{number:04}"
        body = COMMON_PART + f"photo {number}".encode() * 100
        if prefix == "fatal-":
            body = FATAL_BODY
        node = deployment.nodes[number % MACHINES]
        sent[request_id] = time.monotonic()
        tasks.append(asyncio.ensure_future(upload(deployment, node, request_id, body)))
        await asyncio.sleep(gap_s)
    await asyncio.gather(*tasks)


async def run(deployment: Deployment) -> list[str]:
    """Return the retries that reached back ends although the cause could be known."""
    await deployment.store.write(
        "op/config", build_configuration(build_route("/photo/", "evidence", "upload"))
    )
    fatal_runs: list[tuple[float, str]] = []
    for i in range(MACHINES):
        node = deployment.add_node(f"sidecar-{i}", f"hwh-{'abc'[i % 3]}", "evidence")
        await MortalServer(node, i, fatal_runs).start()
    await deployment.wait_until_ready()
    sent: dict[str, float] = {}
    tasks = [send_forever(deployment, "photo-", SEND_GAP_S, {})]
    if TROUBLE:
        tasks.append(send_forever(deployment, "fatal-", FATAL_GAP_S, sent))
    await asyncio.gather(*tasks)
    deployment.record.write(f"back ends that ended: {len(fatal_runs)}")
    if len(fatal_runs) < 3:
        return []
    since = fatal_runs[2][0] + BOUNDS["stable_window_s"]
    late = [(at, name) for at, name in fatal_runs if sent[name] > since]
    if len({name for _, name in late}) <= ALLOWED_RETRIES:
        return []
    return [
        f"BUDGET {name} reached a back end {at - fatal_runs[2][0]:.1f} s after the same"
        " request had ended three"
        for at, name in late
    ]


if __name__ == "__main__":
    run_case(run)
