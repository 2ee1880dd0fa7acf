"""Measure how long an accepted version takes to be in force everywhere."""

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
SETTLE_S = 3.0  # before what control costs is measured
IDLE_S = 5.0  # time over which it is measured, without calls
LAST_VERSION_TIMEOUT_S = 15.0  # for the last version to be seen


def measure_convergence(options: Options) -> dict[str, Any]:
    """Return convergence times, what control costs, and broken promises."""
    with Fleet() as fleet:
        start_fleet(fleet, options.nodes)
        runner = FaultRunner(fleet, options.faults, options.seed)
        idle = measure_idle(fleet)
        watcher = VersionWatcher(fleet)
        watcher.start()
        runner.start()
        watcher.propose_until(time.monotonic() + options.duration_s, CHANGE_INTERVAL_S)
        runner.stop()
        watcher.wait_until_in_force(fleet.nodes, LAST_VERSION_TIMEOUT_S)
        watcher.end()
    return {**watcher.summarize(), **idle}


def measure_idle(fleet: Fleet) -> dict[str, Any]:
    """Return what control costs while nothing happens."""
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
    # Each byte between nodes is counted once, at the node that is called.
    per_node = (bytes_after - bytes_before) / len(pids) / IDLE_S
    return {
        "control_bytes_per_node_s": round(per_node, 1),
        "control_core_percent": round(100 * statistics.mean(cpu_seconds) / IDLE_S, 2),
        "rss_mb_max": round(max(read_rss_mb(pid) for pid in pids), 1),
        "store_reads_per_s": round((calls["read"] + calls["watch"]) / IDLE_S, 2),
        "store_writes_per_s": round(calls["write"] / IDLE_S, 2),
    }
