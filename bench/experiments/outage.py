"""Measure service during a store outage and the delay of changes after it."""

from __future__ import annotations

import time
from typing import Any

from bench.experiments.traffic import BackgroundRouter, compute_served_fraction
from bench.experiments.versions import (
    TOKENS,
    ZONES,
    VersionWatcher,
    count_violations,
    start_fleet,
)
from bench.faults import FaultRunner
from bench.fleet import Fleet
from bench.options import Options
from bench.progress import show_progress

CATCH_UP_TIMEOUT_S = 20.0
PATH = "/catalogue/item"


def measure_outage(options: Options) -> dict[str, Any]:
    """Return the share of calls served and the time to the next change in force."""
    with Fleet() as fleet:
        start_fleet(fleet, options.nodes)
        runner = FaultRunner(fleet, options.faults, options.seed)
        watcher = VersionWatcher(fleet)
        watcher.start()
        watcher.wait_until_in_force(fleet.nodes, CATCH_UP_TIMEOUT_S)
        traffic = start_traffic(fleet)
        runner.start()
        fleet.post_json(fleet.store_address, "/control", {"out": True})
        show_progress("the store is unavailable")
        time.sleep(options.duration_s)
        fleet.post_json(fleet.store_address, "/control", {})
        restored_at = time.monotonic()
        while (
            not watcher.propose()
            and time.monotonic() < restored_at + CATCH_UP_TIMEOUT_S
        ):
            time.sleep(0.05)
        in_force_at = watcher.wait_until_in_force(fleet.nodes, CATCH_UP_TIMEOUT_S)
        runner.stop()
        all_counts = [router.stop() for router in traffic]
        watcher.stop()
    show_progress(f"not served: {[counts.failures for counts in all_counts]}")
    return {
        "calls": sum(counts.calls for counts in all_counts),
        "served_fraction": compute_served_fraction(all_counts),
        "catch_up_s": round(in_force_at - restored_at, 3),
        **count_violations(watcher.observations),
    }


def start_traffic(fleet: Fleet) -> list[BackgroundRouter]:
    """Start one router in each zone that has nodes."""
    traffic = []
    for zone in ZONES:
        nodes = [node for node in fleet.nodes if node.zone == zone]
        if nodes:
            traffic.append(BackgroundRouter(nodes, PATH, TOKENS[0]))
    for router in traffic:
        router.start()
    return traffic
