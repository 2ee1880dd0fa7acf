"""Measure service inside and outside a zone that is cut off, and its recovery."""

from __future__ import annotations

import time
from typing import Any

from bench.experiments.outage import start_traffic
from bench.experiments.traffic import compute_served_fraction
from bench.experiments.versions import (
    ZONES,
    VersionWatcher,
    count_violations,
    start_fleet,
)
from bench.faults import FaultRunner
from bench.fleet import Fleet
from bench.options import Options
from bench.progress import show_progress

HEAL_TIMEOUT_S = 20.0
CUT_ZONE = ZONES[-1]


def measure_partition(options: Options) -> dict[str, Any]:
    """Return the shares of calls served and the time until the zone has caught up."""
    with Fleet() as fleet:
        start_fleet(fleet, options.nodes)
        runner = FaultRunner(fleet, options.faults, options.seed)
        watcher = VersionWatcher(fleet)
        watcher.start()
        watcher.wait_until_in_force(fleet.nodes, HEAL_TIMEOUT_S)
        traffic = start_traffic(fleet)
        runner.start()
        set_zone_action(fleet, "silence")
        show_progress(f"{CUT_ZONE} is cut off")
        watcher.propose_until(time.monotonic() + options.duration_s, 2.0)
        set_zone_action(fleet, "pass")
        healed_at = time.monotonic()
        inside = [node for node in fleet.nodes if node.zone == CUT_ZONE]
        in_force_at = watcher.wait_until_in_force(inside, HEAL_TIMEOUT_S)
        runner.stop()
        all_counts = [router.stop() for router in traffic]
        watcher.stop()
    show_progress(f"not served: {[counts.failures for counts in all_counts]}")
    return {
        "calls": sum(counts.calls for counts in all_counts),
        "served_fraction_inside": compute_served_fraction(all_counts[-1:]),
        "served_fraction_outside": compute_served_fraction(all_counts[:-1]),
        "changes_during_cut": len(watcher.accepted_at) - 1,
        "heal_s": round(in_force_at - healed_at, 3),
        **count_violations(watcher.observations),
    }


def set_zone_action(fleet: Fleet, action: str) -> None:
    """Set what happens to traffic between the cut zone and the rest."""
    for other in (*ZONES[:-1], "store"):
        fleet.set_rule(CUT_ZONE, other, action)
        fleet.set_rule(other, CUT_ZONE, action)
