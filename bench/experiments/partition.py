"""Measure service inside and outside a zone that is cut off, and the healing."""

from __future__ import annotations

import time
from typing import Any

from bench.experiments.outage import start_traffic
from bench.experiments.traffic import compute_served_fraction
from bench.experiments.versions import (
    ZONES,
    Watch,
    count_broken_promises,
    start_fleet,
)
from bench.faults import FaultRunner
from bench.fleet import Fleet
from bench.options import Options
from bench.progress import show_progress

HEAL_LIMIT_S = 20.0
CUT_ZONE = ZONES[-1]


def measure_partition(options: Options) -> dict[str, Any]:
    """Return the shares of calls served and the time until the zone caught up."""
    with Fleet() as fleet:
        start_fleet(fleet, options.nodes)
        runner = FaultRunner(fleet, options.faults, options.seed)
        watch = Watch(fleet)
        watch.start()
        watch.wait_until_seen(fleet.nodes, HEAL_LIMIT_S)
        traffic = start_traffic(fleet)
        runner.start()
        set_cut(fleet, "silence")
        show_progress(f"{CUT_ZONE} is cut off")
        watch.propose_until(time.monotonic() + options.duration_s, 2.0)
        set_cut(fleet, "pass")
        healed_at = time.monotonic()
        inside = [node for node in fleet.nodes if node.zone == CUT_ZONE]
        seen_at = watch.wait_until_seen(inside, HEAL_LIMIT_S)
        runner.end()
        tallies = [each.end() for each in traffic]
        watch.end()
    show_progress(f"not served: {[tally.failures for tally in tallies]}")
    return {
        "calls": sum(tally.calls for tally in tallies),
        "served_fraction_inside": compute_served_fraction(tallies[-1:]),
        "served_fraction_outside": compute_served_fraction(tallies[:-1]),
        "changes_during_cut": len(watch.accepted) - 1,
        "heal_s": round(seen_at - healed_at, 3),
        **count_broken_promises(watch.sights),
    }


def set_cut(fleet: Fleet, action: str) -> None:
    """Silence or pass everything between the zone and the rest."""
    for other in (*ZONES[:-1], "store"):
        fleet.set_rule(CUT_ZONE, other, action)
        fleet.set_rule(other, CUT_ZONE, action)
