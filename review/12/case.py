"""A crowd sends legal heads of very many short lines."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins2.case import TROUBLE, run_case  # noqa: E402
from standins2.deployment import (  # noqa: E402
    Deployment,
    build_configuration,
    build_route,
)
from standins2.http import encode, fetch  # noqa: E402

CROWD, REQUESTS, LINES = 150, 4, 3_900
TIMEOUT_S, LATER_S = 0.5, 0.5
SECONDS, CROWD_AFTER_S, INTERVAL_S = 8.0, 2.0, 0.05


async def run(deployment: Deployment) -> bool:
    """Return whether the rule held."""
    record = deployment.record
    await deployment.start_store()
    route = build_route(
        "/read/", "pages", "idempotent", timeout_s=TIMEOUT_S, target_latency_s=0.2
    )
    deployment.store.write_as_operator("op/config", build_configuration(3, [route]))
    for _ in range(3):
        deployment.add_machine("pages", 0.05)
    await deployment.start()
    address = deployment.machines[0].get_address("outbound")
    loop = asyncio.get_running_loop()
    taken: list[float] = []

    async def ask(number: int) -> None:
        headers = {"Host": "mesh.example", "X-Request-Id": f"usual{number}"}
        headers["X-Deadline-Ms"] = "500"
        sent_at = loop.time()
        response = await fetch(address, encode("GET /read/x HTTP/1.1", headers), 20.0)
        taken.append(loop.time() - sent_at if response is not None else 99.0)
        record.add(f"usual{number}: {taken[-1]:.3f} s")

    async def crowd(number: int) -> None:
        head = b"GET /read/x HTTP/1.1\r\nHost: mesh.example\r\nX-Request-Id: c%d-%d\r\n"
        data = b"".join(
            head % (number, each) + b"a:\r\n" * LINES + b"\r\n"
            for each in range(REQUESTS)
        )
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            await asyncio.wait_for(reader.read(100), 20.0)
            writer.close()

    tasks, begin = [], loop.time()
    while loop.time() - begin < SECONDS:
        tasks.append(asyncio.create_task(ask(len(tasks))))
        if TROUBLE and loop.time() - begin > CROWD_AFTER_S and len(taken) < 1_000:
            members = [asyncio.create_task(crowd(n)) for n in range(CROWD)]
            tasks += members
            record.add(f"{CROWD} clients send {REQUESTS} heads of {LINES} lines each")
            begin -= SECONDS  # the usual requests go on below
        await asyncio.sleep(INTERVAL_S)
    for _ in range(int(6.0 / INTERVAL_S)):
        tasks.append(asyncio.create_task(ask(len(tasks))))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)
    late = sum(each > TIMEOUT_S for each in taken)
    later = sum(each > TIMEOUT_S + LATER_S for each in taken)
    record.add(f"{late} had no answer at their timeout, {later} {LATER_S} s later")
    return later * 2 <= late


sys.exit(run_case(HERE, "CONFIG", run))
