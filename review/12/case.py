"""All processes are killed; the store does one write late and answers nothing."""

from __future__ import annotations

import asyncio
import base64
import json
import signal
import sys
import time
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_3 import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    Client,
    Deployment,
    Record,
    build_configuration,
    build_route,
    has_trouble,
    run_case,
)

LATE_S = 3.0  # of the limit of 1 to 6 s
RECOVERY_S = 15.0
MEASURED_S = 15.0
PAUSE_S = 0.1  # between two requests of a client
MIN_SHARE = 0.25


class Traffic:
    """Clients at two machines that call the service of the third one."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self._record = record
        self._clients = [
            Client(machine, record) for machine in deployment.machines[:2] * 2
        ]

    async def measure(self, seconds: float) -> float:
        """Send requests; return the share that is served."""
        deadline = time.monotonic() + seconds
        statuses: list[int] = []

        async def send(client: Client) -> None:
            while time.monotonic() < deadline:
                _, answer = await client.send("GET", "/ledger/a", deadline_s=1.0)
                statuses.append(0 if answer is None else answer.status)
                await asyncio.sleep(PAUSE_S)

        await asyncio.gather(*(send(client) for client in self._clients))
        served = sum(status == 200 for status in statuses)
        self._record.write(f"served {served} of {len(statuses)}")
        return served / len(statuses)


class LateWrite:
    """The write that the store does late: the first record of one node's process."""

    def __init__(self, deployment: Deployment, record: Record, key: str) -> None:
        self._deployment = deployment
        self._record = record
        self._key = key
        self._first_write = deployment.store.writes
        self.is_done = False

    def choose(self, write: dict[str, Any]) -> float | None:
        """Return how late a write is done, or None if it is answered."""
        for put in write.get("puts", ()):
            if put["key"] != self._key or self.is_done:
                continue
            self.is_done = True
            value = json.loads(base64.b64decode(put["value"]))
            self._record.write(f"{self._key} is written {LATE_S} s late: {value}")
            return LATE_S
        return None

    def describe(self) -> str:
        """Return the share of the writes that were late."""
        return f"1 of {self._deployment.store.writes - self._first_write} writes late"


async def play(deployment: Deployment, record: Record) -> int:
    """Return whether less than a quarter is served after the recovery."""
    store = deployment.store
    routes = [build_route("portal", "portal"), build_route("ledger", "ledger")]
    store.put("op/config", build_configuration(12, routes))
    places = [("dub-a", "portal"), ("dub-b", "portal"), ("dub-a", "ledger")]
    await deployment.start(places)
    if not await deployment.wait_until_ready():
        return NOT_RUN
    await asyncio.sleep(3.0)
    traffic = Traffic(deployment, record)
    if await traffic.measure(5.0) < MIN_SHARE:
        return NOT_RUN
    ledger = deployment.machines[2]
    assert ledger.server is not None
    late = LateWrite(deployment, record, f"nodes/{ledger.name}")
    await ledger.server.wait_for_beat()
    record.write("all processes are killed")
    for machine in deployment.machines:
        machine.send_signal(signal.SIGKILL)
    if has_trouble():
        store.choose_late = late.choose
    await asyncio.sleep(1.0)
    if not await deployment.wait_until_ready(limit_s=10.0):
        record.write("some node isn't ready")
    await asyncio.sleep(RECOVERY_S)
    record.write(f"{late.describe()}; record: {store.find(f'nodes/{ledger.name}')}")
    share = await traffic.measure(MEASURED_S)
    return BROKEN if share < MIN_SHARE else HELD


if __name__ == "__main__":
    run_case(FOLDER, play, 100.0)
