"""Measure calls per second and CPU time per call through two nodes."""

from __future__ import annotations

import subprocess
import sys
import time
from typing import Any

import msgspec

from bench.experiments.paths import build_measured_request, start_two_nodes
from bench.fleet import Fleet
from bench.options import Options
from bench.processes import read_cpu_seconds
from bench.progress import show_progress

CALLERS = (1, 2, 4)
US_PER_S = 1_000_000


def measure_throughput(options: Options) -> dict[str, Any]:
    """Return calls per second and CPU microseconds per call."""
    measurements: dict[str, Any] = {}
    run_s = options.duration_s / len(CALLERS)
    with Fleet() as fleet:
        addresses = start_two_nodes(fleet, slots=16)
        for callers in CALLERS:
            cpu_seconds_before = _read_node_seconds(fleet)
            calls = _run_callers(addresses.two_nodes, callers, run_s)
            cpu_seconds = _read_node_seconds(fleet) - cpu_seconds_before
            measurements[f"calls_per_s_{callers}"] = round(calls / run_s, 1)
            measurements[f"cpu_us_per_call_{callers}"] = round(
                cpu_seconds * US_PER_S / calls, 1
            )
            show_progress(f"{callers} callers: {calls / run_s:.0f} calls/s")
    return measurements


def _read_node_seconds(fleet: Fleet) -> float:
    pids = [node.process.pid for node in fleet.nodes if node.process is not None]
    return sum(read_cpu_seconds(pid) for pid in pids)


def _run_callers(address: str, callers: int, duration_s: float) -> int:
    """Run each caller in its own process and return the total number of calls."""
    command = [sys.executable, "-m", "bench.load", address, str(duration_s)]
    processes = [
        subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        for _ in range(callers)
    ]
    total = 0
    for process in processes:
        assert process.stdin is not None
        process.stdin.write(build_measured_request())
        process.stdin.close()
    deadline = time.monotonic() + duration_s + 30.0
    for process in processes:
        assert process.stdout is not None
        total += msgspec.json.decode(process.stdout.read(), type=int)
        process.wait(max(0.1, deadline - time.monotonic()))
    return total
