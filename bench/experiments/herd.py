"""Measure recovery when half of all nodes are killed and restarted at once."""

from __future__ import annotations

import threading
import time
from functools import partial
from random import Random
from typing import Any

from bench.experiments.versions import VersionWatcher, count_violations, start_fleet
from bench.faults import FaultRunner
from bench.fleet import Fleet, NodeHandle
from bench.options import Options
from bench.progress import show_progress

RESTART_DELAY_S = 0.5
RECOVERY_TIMEOUT_S = 30.0
SAMPLE_INTERVAL_S = 0.25
IDLE_S = 5.0
CALL_KINDS = ("read", "write", "watch")


class StoreSampler:
    """Thread that samples how many calls the store got in the last second."""

    def __init__(self, fleet: Fleet) -> None:
        self.peak = 0
        self._fleet = fleet
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start sampling."""
        self._thread.start()

    def stop(self) -> int:
        """Stop sampling and return the largest number of calls in a second."""
        self._stopped.set()
        self._thread.join()
        return self.peak

    def _run(self) -> None:
        while not self._stopped.wait(SAMPLE_INTERVAL_S):
            observed = self._fleet.get_json(self._fleet.store_address, "/observed")
            self.peak = max(self.peak, sum(observed["recent"].values()))


def measure_herd(options: Options) -> dict[str, Any]:
    """Return the recovery time of the nodes and the load on the store."""
    with Fleet() as fleet:
        start_fleet(fleet, options.nodes)
        runner = FaultRunner(fleet, options.faults, options.seed)
        watcher = VersionWatcher(fleet)
        watcher.start()
        watcher.wait_until_in_force(fleet.nodes, RECOVERY_TIMEOUT_S)
        idle_calls_per_s = measure_store_calls(fleet)
        runner.start()
        sampler = StoreSampler(fleet)
        sampler.start()
        killed = choose_half(fleet, options.seed)
        for node in killed:
            fleet.kill_node(node)
        show_progress(f"{len(killed)} nodes killed")
        time.sleep(RESTART_DELAY_S)
        reset_observations(watcher, killed)
        for node in killed:
            fleet.start_node(node)
        fleet.label_processes()
        restarted_at = time.monotonic()
        in_force_at = watcher.wait_until_in_force(killed, RECOVERY_TIMEOUT_S)
        all_alive_at = wait_until_all_alive(fleet, killed)
        peak = sampler.stop()
        watcher.propose()
        watcher.wait_until_in_force(fleet.nodes, RECOVERY_TIMEOUT_S)
        runner.stop()
        watcher.stop()
    return {
        "killed": len(killed),
        "version_s": round(in_force_at - restarted_at, 3),
        "recover_s": round(max(in_force_at, all_alive_at) - restarted_at, 3),
        "store_calls_idle_per_s": idle_calls_per_s,
        "store_calls_peak_per_s": peak,
        **count_violations(watcher.observations),
    }


def choose_half(fleet: Fleet, seed: int) -> list[NodeHandle]:
    """Return a random half of the nodes of each zone."""
    random = Random(seed)
    chosen: list[NodeHandle] = []
    for zone in sorted({node.zone for node in fleet.nodes}):
        members = [node for node in fleet.nodes if node.zone == zone]
        chosen += random.sample(members, len(members) // 2)
    return chosen


def reset_observations(watcher: VersionWatcher, nodes: list[NodeHandle]) -> None:
    """Remove the latest version from the observations of restarted nodes."""
    names = {node.name for node in nodes}
    for observation in watcher.observations:
        if observation.node.name in names:
            observation.in_force.pop(watcher.latest.number, None)


def measure_store_calls(fleet: Fleet) -> float:
    """Return how many calls a second the store gets while the fleet is idle."""
    before = fleet.get_json(fleet.store_address, "/observed")["counts"]
    time.sleep(IDLE_S)
    after = fleet.get_json(fleet.store_address, "/observed")["counts"]
    calls = sum(after.get(kind, 0) - before.get(kind, 0) for kind in CALL_KINDS)
    return round(calls / IDLE_S, 2)


def wait_until_all_alive(fleet: Fleet, nodes: list[NodeHandle]) -> float:
    """Wait until each restarted node sees all nodes alive; return that time."""
    node_count = len(fleet.nodes)

    def sees_all_alive(node: NodeHandle) -> bool:
        status = fleet.get_json(node.operator_address, "/status")
        if status is None:
            return False
        alive = [each for each in status["nodes"] if each["state"] == "alive"]
        return len(alive) == node_count

    for node in nodes:
        fleet.wait_for(
            partial(sees_all_alive, node),
            f"all nodes alive as seen by {node.name}",
            30.0,
        )
    return time.monotonic()
