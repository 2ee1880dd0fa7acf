"""Measure the return of half of all nodes, killed and restarted at once."""

from __future__ import annotations

import threading
import time
from functools import partial
from random import Random
from typing import Any

from bench.experiments.versions import Watch, count_broken_promises, start_fleet
from bench.faults import FaultRunner
from bench.fleet import Fleet, NodeHandle
from bench.options import Options
from bench.progress import show_progress

RESTART_DELAY_S = 0.5
RECOVER_LIMIT_S = 30.0
SAMPLE_S = 0.25
IDLE_S = 5.0
KINDS = ("read", "write", "watch")


class StoreSampler:
    """Own a thread that reads the store's calls of the last second."""

    def __init__(self, fleet: Fleet) -> None:
        self.peak = 0
        self._fleet = fleet
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start to read."""
        self._thread.start()

    def end(self) -> int:
        """Stop reading and return the largest number of calls in a second."""
        self._ended.set()
        self._thread.join()
        return self.peak

    def _run(self) -> None:
        while not self._ended.wait(SAMPLE_S):
            seen = self._fleet.get_json(self._fleet.store_address, "/observed")
            self.peak = max(self.peak, sum(seen["recent"].values()))


def measure_herd(options: Options) -> dict[str, Any]:
    """Return the time until all are back and the calls that the store got."""
    with Fleet() as fleet:
        start_fleet(fleet, options.nodes)
        runner = FaultRunner(fleet, options.faults, options.seed)
        watch = Watch(fleet)
        watch.start()
        watch.wait_until_seen(fleet.nodes, RECOVER_LIMIT_S)
        idle = measure_store_calls(fleet)
        runner.start()
        sampler = StoreSampler(fleet)
        sampler.start()
        killed = choose_half(fleet, options.seed)
        for node in killed:
            fleet.kill_node(node)
        show_progress(f"{len(killed)} nodes killed")
        time.sleep(RESTART_DELAY_S)
        forget_sights(watch, killed)
        for node in killed:
            fleet.start_node(node)
        fleet.label_processes()
        restarted_at = time.monotonic()
        seen_at = watch.wait_until_seen(killed, RECOVER_LIMIT_S)
        knows_at = wait_for_knowledge(fleet, killed)
        peak = sampler.end()
        watch.propose()
        watch.wait_until_seen(fleet.nodes, RECOVER_LIMIT_S)
        runner.end()
        watch.end()
    return {
        "killed": len(killed),
        "version_s": round(seen_at - restarted_at, 3),
        "recover_s": round(max(seen_at, knows_at) - restarted_at, 3),
        "store_calls_idle_per_s": idle,
        "store_calls_peak_per_s": peak,
        **count_broken_promises(watch.sights),
    }


def choose_half(fleet: Fleet, seed: int) -> list[NodeHandle]:
    """Choose half of the nodes of each zone."""
    random = Random(seed)
    chosen: list[NodeHandle] = []
    for zone in sorted({node.zone for node in fleet.nodes}):
        members = [node for node in fleet.nodes if node.zone == zone]
        chosen += random.sample(members, len(members) // 2)
    return chosen


def forget_sights(watch: Watch, nodes: list[NodeHandle]) -> None:
    """Let probers see the latest version at restarted nodes anew."""
    names = {node.name for node in nodes}
    for sight in watch.sights:
        if sight.node.name in names:
            sight.in_force.pop(watch.target.number, None)


def measure_store_calls(fleet: Fleet) -> float:
    """Return the calls a second that the store gets at rest."""
    before = fleet.get_json(fleet.store_address, "/observed")["counts"]
    time.sleep(IDLE_S)
    after = fleet.get_json(fleet.store_address, "/observed")["counts"]
    made = sum(after.get(kind, 0) - before.get(kind, 0) for kind in KINDS)
    return round(made / IDLE_S, 2)


def wait_for_knowledge(fleet: Fleet, nodes: list[NodeHandle]) -> float:
    """Return when every restarted node knew all nodes to be alive."""
    expected = len(fleet.nodes)

    def knows_all(node: NodeHandle) -> bool:
        status = fleet.get_json(node.operator, "/status")
        if status is None:
            return False
        alive = [each for each in status["nodes"] if each["state"] == "alive"]
        return len(alive) == expected

    for node in nodes:
        fleet.wait_for(partial(knows_all, node), f"all at {node.name}", 30.0)
    return time.monotonic()
