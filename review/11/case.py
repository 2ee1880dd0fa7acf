"""Clients leave while a second idempotent request waits on their connection."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins2.case import TROUBLE, run_case  # noqa: E402
from standins2.deployment import (  # noqa: E402
    CannotRunError,
    Deployment,
    Machine,
    build_configuration,
    build_route,
)
from standins2.http import MAX_HEAD_BYTES, encode, read_body, read_head  # noqa: E402

GONE_S = 0.5  # the rule's time after the client has closed its connection
MAX_LATE = 3  # "more than a few"
CLIENTS = 24
WORK_S = 1.2
LEAVE_AFTER_S = 0.4


async def ask_two(number: int, machine: Machine, deployment: Deployment) -> float:
    """Send two idempotent requests at once; return when the connection was closed."""
    record = deployment.record
    loop = asyncio.get_running_loop()
    reader, writer = await asyncio.open_connection(
        *machine.get_address("outbound"), limit=MAX_HEAD_BYTES
    )
    for part in ("a", "b"):
        request_id = f"c{number}-{part}"
        headers = {
            "Host": "mesh.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "5000",
        }
        writer.write(encode("POST /search/x HTTP/1.1", headers, b"words to look for"))
        record.add(f"{request_id} sent to {machine.name}")
    if TROUBLE:
        await asyncio.sleep(LEAVE_AFTER_S)
    else:
        for part in ("a", "b"):
            response = await read_head(reader)
            if response is None or not await read_body(reader, response):
                raise CannotRunError(f"c{number}-{part} was not answered")
            record.add(f"c{number}-{part} answered {response.status}")
    writer.close()
    record.add(f"c{number} closed its connection")
    return loop.time()


async def run(deployment: Deployment) -> bool:
    """Return whether the rule held."""
    record = deployment.record
    await deployment.start_store()
    routes = [build_route("/search/", "orders", "idempotent", timeout_s=5.0)]
    deployment.store.write_as_operator("op/config", build_configuration(3, routes))
    for _ in range(3):
        deployment.add_machine("orders", WORK_S, slots=9)
    await deployment.start()
    closed_at = await asyncio.gather(
        *(
            ask_two(number, deployment.machines[number % 3], deployment)
            for number in range(CLIENTS)
        )
    )
    await asyncio.sleep(4.0)
    late = working = 0
    for machine in deployment.machines:
        for run in machine.backend.runs:
            number = int(run.request_id[1:].partition("-")[0])
            after_s = run.reached_at - closed_at[number]
            end_s = (run.ended_at or run.reached_at) - closed_at[number]
            late += after_s > GONE_S
            working += after_s <= 0 and end_s > GONE_S
            record.add(
                f"{run.request_id} reached {run.server} {after_s:+.3f} s after its "
                f"client had left; {run.outcome} at {end_s:+.3f} s"
            )
    record.add(f"{late} requests reached a back end over {GONE_S} s after the close")
    record.add(f"{working} of {CLIENTS} requests were still worked on {GONE_S} s after")
    return late <= MAX_LATE and working <= CLIENTS / 4


sys.exit(run_case(HERE, "GONE", run))
