"""A complete answer is discarded when the answer behind it breaks off."""

from __future__ import annotations

import asyncio
import time

from harness import (
    TROUBLE,
    Connection,
    Deployment,
    Exchange,
    Node,
    Request,
    Server,
    build_answer_headers,
    build_configuration,
    build_route,
    connect,
    respond_ok,
    run_case,
)

CLIENTS = 10
DEADLINE_MS = 800
SLOW_WORK_S, FAST_WORK_S = 0.15, 0.01
LARGE_BYTES = 400_000
BROKEN_SHARE = 0.05  # of the large answers
TRAFFIC_S = 15.0
ALLOWED = 3


class Breaker:
    """Back end behaviour: a share of the large answers breaks off."""

    def __init__(self) -> None:
        self._count = 0

    def respond(self, request: Request, exchange: Exchange, server: Server) -> None:
        """Answer with a large body, part of which may be missing."""
        self._count += 1
        headers = build_answer_headers(request, server)
        if TROUBLE and self._count % round(1 / BROKEN_SHARE) == 0:
            lines = [f"{name}: {value}" for name, value in headers.items()]
            lines += [f"Content-Length: {LARGE_BYTES}", "", ""]
            head = "HTTP/1.1 200 OK\r\n" + "\r\n".join(lines)
            exchange.send(head.encode() + bytes(LARGE_BYTES // 2))
            assert exchange.transport is not None
            exchange.transport.close()
            server.node.deployment.record.write(
                f"{server.id} breaks off {headers['X-Request-Id']}"
            )
        else:
            exchange.respond(200, headers, bytes(LARGE_BYTES))


class Client:
    """Client that sends a small and a large request behind each other."""

    def __init__(self, deployment: Deployment, node: Node, number: int) -> None:
        self._record = deployment.record
        self._node = node
        self._number = number
        self.lost: list[str] = []  # small requests that got no answer

    async def run(self, deadline: float) -> None:
        """Send pairs of requests until the deadline."""
        connection: Connection | None = None
        count = 0
        while time.monotonic() < deadline:
            if connection is None:
                connection = await connect(self._node.outbound)
            count += 1
            small, large = (f"c{self._number}-{count}-{kind}" for kind in "sl")
            connection.send(f"/read/{count}", small, DEADLINE_MS)
            connection.send(f"/photo/{count}", large, DEADLINE_MS)
            answered: list[str] = []
            try:
                for _ in range(2):
                    async with asyncio.timeout(DEADLINE_MS / 1000 + 0.5):
                        _, headers, _ = await connection.receive()
                    answered.append(headers["x-request-id"])
            except (OSError, EOFError, TimeoutError):
                connection.close()
                connection = None
            if small not in answered:
                self.lost.append(small)
            self._record.write(f"sent {small}, {large}; answered: {answered}")


async def run(deployment: Deployment) -> list[str]:
    """Return the requests that a sound back end answered and whose client got none."""
    configuration = build_configuration(
        build_route("/read/", "recipes"), build_route("/photo/", "evidence")
    )
    await deployment.store.write("op/config", configuration)
    machines = (("a", "recipes"), ("b", "recipes"), ("b", "evidence"))
    servers = []
    for i, (zone, service) in enumerate(machines):
        node = deployment.add_node(f"sidecar-{i}", f"hwh-{zone}", service)
        work_s = SLOW_WORK_S if service == "recipes" else FAST_WORK_S
        server = Server(node, f"i-{i}", work_s=lambda _, work_s=work_s: work_s)
        server.respond = Breaker().respond if service == "evidence" else respond_ok
        servers.append(server)
    for server in servers:
        await server.start()
    await deployment.wait_until_ready()
    node = deployment.nodes[0]
    clients = [Client(deployment, node, i) for i in range(CLIENTS)]
    deadline = time.monotonic() + TRAFFIC_S
    await asyncio.gather(*(client.run(deadline) for client in clients))
    finished = {name for server in servers[:2] for name in server.finished}
    lost = [name for client in clients for name in client.lost if name in finished]
    if len(lost) <= ALLOWED:
        return []
    return [f"LOST {name} was answered by a sound back end" for name in lost]


if __name__ == "__main__":
    run_case(run)
