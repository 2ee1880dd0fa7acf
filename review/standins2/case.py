"""Run a case and end with its exit code."""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins2.deployment import CannotRunError, Deployment

#: Whether the disruption takes place.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TIME_LIMIT_S = 100.0
#: Exit codes of the Python program; ``run.sh`` turns the first into 1, others into 2.
BROKEN, HELD, NOT_RUN = 11, 0, 12

Run = Callable[[Deployment], Awaitable[bool]]


def run_case(folder: Path, rule: str, run: Run) -> int:
    """Run a case, which returns whether the rule held; return the exit code."""
    return asyncio.run(_run(folder, rule, run))


async def _run(folder: Path, rule: str, run: Run) -> int:
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
