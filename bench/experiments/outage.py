"""Measure service through an outage of the store, and how soon changes go on."""

from __future__ import annotations

import time
from typing import Any

from bench.experiments.traffic import Traffic, compute_served_fraction
from bench.experiments.versions import (
    TOKENS,
    ZONES,
    Watch,
    count_broken_promises,
    start_fleet,
)
from bench.faults import FaultRunner
from bench.fleet import Fleet
from bench.options import Options
from bench.progress import show_progress

CATCH_UP_LIMIT_S = 20.0
PATH = "/catalogue/item"


def measure_outage(options: Options) -> dict[str, Any]:
    """Return the share of calls served and the time until a change is in force."""
    with Fleet() as fleet:
        start_fleet(fleet, options.nodes)
        runner = FaultRunner(fleet, options.faults, options.seed)
        watch = Watch(fleet)
        watch.start()
        watch.wait_until_seen(fleet.nodes, CATCH_UP_LIMIT_S)
        traffic = start_traffic(fleet)
        runner.start()
        fleet.post_json(fleet.store_address, "/control", {"out": True})
        show_progress("the store is out")
        time.sleep(options.duration_s)
        fleet.post_json(fleet.store_address, "/control", {})
        back_at = time.monotonic()
        while not watch.propose() and time.monotonic() < back_at + CATCH_UP_LIMIT_S:
            time.sleep(0.05)
        seen_at = watch.wait_until_seen(fleet.nodes, CATCH_UP_LIMIT_S)
        runner.end()
        tallies = [each.end() for each in traffic]
        watch.end()
    show_progress(f"not served: {[tally.failures for tally in tallies]}")
    return {
        "calls": sum(tally.calls for tally in tallies),
        "served_fraction": compute_served_fraction(tallies),
        "catch_up_s": round(seen_at - back_at, 3),
        **count_broken_promises(watch.sights),
    }


def start_traffic(fleet: Fleet) -> list[Traffic]:
    """Start one router in each zone."""
    traffic = []
    for zone in ZONES:
        nodes = [node for node in fleet.nodes if node.zone == zone]
        if nodes:
            traffic.append(Traffic(nodes, PATH, TOKENS[0]))
    for each in traffic:
        each.start()
    return traffic
