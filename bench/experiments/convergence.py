"""Measure the time until an accepted version is in force at every node."""

from __future__ import annotations

import statistics
import time
from typing import Any

from bench.experiments.versions import VersionWatcher, start_fleet
from bench.faults import FaultRunner
from bench.fleet import Fleet
from bench.options import Options
from bench.processes import read_cpu_seconds, read_rss_mb
from bench.proxy import count_bytes

CHANGE_INTERVAL_S = 2.0
SETTLE_S = 3.0  # before the idle cost is measured
IDLE_S = 5.0  # measured interval without calls
LAST_VERSION_TIMEOUT_S = 15.0  # for the last version to be in force


def measure_convergence(options: Options) -> dict[str, Any]:
    """Return convergence times, the idle cost of the control plane, and violations."""
    with Fleet() as fleet:
        start_fleet(fleet, options.nodes)
        runner = FaultRunner(fleet, options.faults, options.seed)
        idle_cost = measure_idle(fleet)
        watcher = VersionWatcher(fleet)
        watcher.start()
        runner.start()
        watcher.propose_until(time.monotonic() + options.duration_s, CHANGE_INTERVAL_S)
        runner.stop()
        watcher.wait_until_in_force(fleet.nodes, LAST_VERSION_TIMEOUT_S)
        watcher.stop()
    return {**watcher.summarize(), **idle_cost}


def measure_idle(fleet: Fleet) -> dict[str, Any]:
    """Return the cost of the control plane while the fleet is idle."""
    time.sleep(SETTLE_S)
    pids = [node.process.pid for node in fleet.nodes if node.process is not None]
    links = [f"{node.name}-peer" for node in fleet.nodes]
    bytes_before = count_bytes(fleet.get_json(fleet.proxy_address, "/observed"), links)
    seconds_before = [read_cpu_seconds(pid) for pid in pids]
    counts_before = fleet.get_json(fleet.store_address, "/observed")["counts"]
    time.sleep(IDLE_S)
    bytes_after = count_bytes(fleet.get_json(fleet.proxy_address, "/observed"), links)
    seconds_after = [read_cpu_seconds(pid) for pid in pids]
    counts_after = fleet.get_json(fleet.store_address, "/observed")["counts"]
    calls = {
        kind: counts_after.get(kind, 0) - counts_before.get(kind, 0)
        for kind in ("read", "write", "watch")
    }
    cpu_seconds = [
        after - before
        for before, after in zip(seconds_before, seconds_after, strict=True)
    ]
    # Each byte between two nodes is counted once, on the link to the called node.
    bytes_per_node_s = (bytes_after - bytes_before) / len(pids) / IDLE_S
    return {
        "control_bytes_per_node_s": round(bytes_per_node_s, 1),
        "control_core_percent": round(100 * statistics.mean(cpu_seconds) / IDLE_S, 2),
        "rss_mb_max": round(max(read_rss_mb(pid) for pid in pids), 1),
        "store_reads_per_s": round((calls["read"] + calls["watch"]) / IDLE_S, 2),
        "store_writes_per_s": round(calls["write"] / IDLE_S, 2),
    }
