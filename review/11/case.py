"""Orders and reads at a steady rate; then more users come at once, for 3 s."""

from __future__ import annotations

import asyncio
import sys
import time
from collections import deque
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_3 import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    Client,
    Deployment,
    Machine,
    Record,
    build_configuration,
    build_route,
    has_trouble,
    run_case,
)

USUAL_S = 86.0
BURST_S = 3.0
AFTER_S = 2.0
INTERVAL_S = 0.036  # between two requests of the usual traffic
WORK_S = 0.14  # that the server takes for a request
SLOTS = 9
CLIENTS = 12
READERS = 4
SERVICES = tuple(f"line{number}" for number in range(1, 9))
#: In the burst, a further client sends so many reads at once with each so many usual
#: requests: 1.6 times the usual traffic.
EXTRA, EXTRA_EVERY = 5, 8
MAX_LOST = 3


class Site:
    """The clients of one machine, which call the service of its server."""

    def __init__(self, machine: Machine, record: Record) -> None:
        assert machine.server is not None
        self.machine = machine
        self.server = machine.server
        self.server.work_s = WORK_S
        self.answered = 0
        self.lost: list[str] = []
        self._record = record
        self._idle = deque(Client(machine, record) for _ in range(CLIENTS))
        self._readers = deque(Client(machine, record) for _ in range(READERS))

    async def play(self, started_at: float) -> None:
        """Send the usual requests and, if there is to be one, the burst."""
        for reader in self._readers:
            await reader.send("GET", f"/{self.server.service}/first")
        tasks = []
        number = 0
        while (at := number * INTERVAL_S) < USUAL_S + BURST_S + AFTER_S:
            await asyncio.sleep(max(0.0, started_at + at - time.monotonic()))
            tasks.append(asyncio.create_task(self._send(number)))
            is_burst = has_trouble() and USUAL_S <= at < USUAL_S + BURST_S
            if is_burst and number % EXTRA_EVERY == 0:
                tasks.append(asyncio.create_task(self._send_reads()))
            number += 1
        await asyncio.gather(*tasks)
        self._record.write(
            f"{self.machine.name}: answered {self.answered}; run and not answered on a "
            f"kept connection: {len(self.lost)} ({', '.join(self.lost)}); statuses of "
            f"ended nodes: {self.machine.ends}"
        )

    async def _send(self, number: int) -> None:
        idle = self._idle
        client = idle.popleft() if idle else Client(self.machine, self._record)
        is_kept = client.is_kept
        path = f"/{self.server.service}/{number}"
        if number % 2:
            path = f"/{self.server.service}-order/{number}"
            call_id, answer = await client.send("POST", path, body=b"a")
        else:
            call_id, answer = await client.send("GET", path)
        self._count(call_id, answer is not None, is_kept)
        idle.append(client)

    async def _send_reads(self) -> None:
        client = self._readers.popleft()
        is_kept = client.is_kept
        paths = [f"/{self.server.service}/a"] * EXTRA
        for call_id, answer in await client.send_reads(paths):
            self._count(call_id, answer is not None, is_kept)
        self._readers.append(client)

    def _count(self, call_id: str, is_answered: bool, is_kept: bool) -> None:
        self.answered += is_answered
        if not is_answered and is_kept and self.server.runs[call_id]:
            self.lost.append(call_id)


async def play(deployment: Deployment, record: Record) -> int:
    """Return whether a node closed kept connections without the answers."""
    routes = []
    for service in SERVICES:
        order = f"{service}-order"
        routes.append(build_route(service, service))
        routes.append(build_route(order, service, kind="non_idempotent"))
    deployment.store.put("op/config", build_configuration(12, routes))
    places = [("hwh-a", service) for service in SERVICES]
    await deployment.start(places, slots=SLOTS)
    if not await deployment.wait_until_ready():
        return NOT_RUN
    sites = [Site(machine, record) for machine in deployment.machines]
    now = time.monotonic() + 1.0
    starts = [now + number * INTERVAL_S / len(sites) for number in range(len(sites))]
    await asyncio.gather(*(s.play(at) for s, at in zip(sites, starts, strict=True)))
    if any(site.answered < USUAL_S / INTERVAL_S / 2 for site in sites):
        return NOT_RUN
    return BROKEN if any(len(site.lost) > MAX_LOST for site in sites) else HELD


if __name__ == "__main__":
    run_case(FOLDER, play, 115.0)
