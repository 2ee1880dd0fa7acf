"""Schedules of faults and the injection of each fault."""

from __future__ import annotations

import math
import signal
import threading
import time
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import urllib3
from loguru import logger

from bench.caller import Router, build_request
from bench.fleet import BackendHandle, Fleet, NodeHandle

RESTART_DELAY_S = 0.5  # of killed nodes, unless the fault states a duration
DEFAULT_STORE_LATENCY_MS = 500.0
DEFAULT_SLOW_FACTOR = 10.0
FAULT_NAMES = (
    "kill_nodes",
    "pause_nodes",
    "store_out",
    "store_slow",
    "store_lose_answers",
    "store_lapse_leases",
    "cut_zone",
    "silence_connections",
    "backend_crash",
    "backend_cold",
    "backend_slow",
    "backend_error",
    "poison_request",
)


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One fault: its kind, target, start time and duration."""

    at_s: float
    fault: str
    target: str = "all"
    for_s: float | None = None  # None: until the end of the run
    fraction: float = 1.0
    factor: float = DEFAULT_SLOW_FACTOR
    latency_ms: float = DEFAULT_STORE_LATENCY_MS
    share: float = 1.0  # fraction of calls that fail


def read_faults(path: Path) -> tuple[Fault, ...]:
    """Read and check a schedule; a ValueError names the key and its value."""
    faults = msgspec.json.decode(path.read_bytes(), type=list[Fault])
    for fault in faults:
        if fault.fault not in FAULT_NAMES:
            raise ValueError(
                f"'fault' must be one of {', '.join(FAULT_NAMES)}, not {fault.fault!r}"
            )
        if not 0.0 <= fault.fraction <= 1.0:
            raise ValueError(f"'fraction' must be 0 to 1, not {fault.fraction}")
        _check_target(fault.target)
    return tuple(sorted(faults, key=lambda each: each.at_s))


def _check_target(target: str) -> None:
    kind, _, index = target.partition(":")
    needs_no_index = target in ("store", "all")
    if not needs_no_index and not (
        kind in ("zone", "node", "server") and index.isdecimal()
    ):
        raise ValueError(
            f"'target' must be store, all, zone:I, node:I or server:I, not {target!r}"
        )


class FaultRunner:
    """Injects the faults of a schedule while an experiment runs."""

    def __init__(self, fleet: Fleet, faults: tuple[Fault, ...], seed: int) -> None:
        self._fleet = fleet
        self._random = Random(seed)
        self._steps: list[tuple[float, Any, Fault, Any]] = []
        for fault in faults:
            self._schedule(fault)
        self._steps.sort(key=lambda step: step[0])
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._started_at = 0.0
        self._store_faults: dict[str, Any] = {}

    def start(self) -> None:
        """Start the schedule; the times of the faults count from now."""
        self._started_at = time.monotonic()
        self._thread.start()

    def stop(self) -> None:
        """Stop the schedule; active faults stay."""
        self._stopped.set()
        if self._thread.is_alive():
            self._thread.join()

    def _schedule(self, fault: Fault) -> None:
        begin = getattr(self, f"begin_{fault.fault}")
        finish = getattr(self, f"finish_{fault.fault}", None)
        targets = self._find_targets(fault)
        self._steps.append((fault.at_s, begin, fault, targets))
        for_s = fault.for_s
        if for_s is None and fault.fault == "kill_nodes":
            for_s = RESTART_DELAY_S
        if for_s is not None and finish is not None:
            self._steps.append((fault.at_s + for_s, finish, fault, targets))

    def _run(self) -> None:
        for at_s, handler, fault, targets in self._steps:
            if self._stopped.wait(max(0.0, self._started_at + at_s - time.monotonic())):
                return
            logger.info("{:.1f} s: {} {}", at_s, handler.__name__, fault.target)
            try:
                handler(fault, targets)
            except (OSError, urllib3.exceptions.HTTPError) as error:
                logger.info("fault {} failed: {}", fault.fault, error)

    def _find_targets(self, fault: Fault) -> Any:
        if fault.fault.startswith("backend_"):
            return self._find_backends(fault.target)
        nodes = self._find_nodes(fault.target)
        if fault.fault not in ("kill_nodes", "pause_nodes") or fault.fraction >= 1.0:
            return nodes
        chosen: list[NodeHandle] = []
        for zone in sorted({node.zone for node in nodes}):
            members = [node for node in nodes if node.zone == zone]
            count = math.ceil(len(members) * fault.fraction)
            chosen += self._random.sample(members, count)
        return chosen

    def _find_nodes(self, target: str) -> list[NodeHandle]:
        kind, _, index = target.partition(":")
        nodes = self._fleet.nodes
        if kind == "node":
            return nodes[int(index) : int(index) + 1]
        if kind == "zone":
            zones = sorted({node.zone for node in nodes})
            return [node for node in nodes if node.zone == zones[int(index)]]
        return list(nodes)

    def _find_backends(self, target: str) -> list[BackendHandle]:
        kind, _, index = target.partition(":")
        backends = self._fleet.backends
        if kind == "server":
            return backends[int(index) : int(index) + 1]
        return list(backends)

    def begin_kill_nodes(self, fault: Fault, nodes: list[NodeHandle]) -> None:
        """Kill node processes."""
        for node in nodes:
            self._fleet.kill_node(node)

    def finish_kill_nodes(self, fault: Fault, nodes: list[NodeHandle]) -> None:
        """Restart the killed nodes."""
        for node in nodes:
            self._fleet.start_node(node)
        self._fleet.label_processes()

    def begin_pause_nodes(self, fault: Fault, nodes: list[NodeHandle]) -> None:
        """Pause node processes with SIGSTOP."""
        self._send_signal(nodes, signal.SIGSTOP)

    def finish_pause_nodes(self, fault: Fault, nodes: list[NodeHandle]) -> None:
        """Resume the paused nodes."""
        self._send_signal(nodes, signal.SIGCONT)

    def begin_store_out(self, fault: Fault, targets: Any) -> None:
        """Make the store close every connection without a response."""
        self._set_store_faults(out=True)

    def finish_store_out(self, fault: Fault, targets: Any) -> None:
        """Let the store respond again."""
        self._set_store_faults(out=False)

    def begin_store_slow(self, fault: Fault, targets: Any) -> None:
        """Delay every response of the store."""
        self._set_store_faults(latency_ms=fault.latency_ms)

    def finish_store_slow(self, fault: Fault, targets: Any) -> None:
        """Remove the delay of the store."""
        self._set_store_faults(latency_ms=0.0)

    def begin_store_lose_answers(self, fault: Fault, targets: Any) -> None:
        """Make the store apply writes without responding to them."""
        self._set_store_faults(lose_answers=True)

    def finish_store_lose_answers(self, fault: Fault, targets: Any) -> None:
        """Let the store respond to writes again."""
        self._set_store_faults(lose_answers=False)

    def begin_store_lapse_leases(self, fault: Fault, targets: Any) -> None:
        """Expire every lease in the store once."""
        self._set_store_faults(lapse=True)
        self._store_faults.pop("lapse")

    def begin_cut_zone(self, fault: Fault, nodes: list[NodeHandle]) -> None:
        """Silence traffic between a zone and the other zones and the store."""
        self._set_zone_rule(nodes, "silence")

    def finish_cut_zone(self, fault: Fault, nodes: list[NodeHandle]) -> None:
        """Let traffic between the zone and the rest pass again."""
        self._set_zone_rule(nodes, "pass")

    def begin_silence_connections(self, fault: Fault, nodes: list[NodeHandle]) -> None:
        """Silence the established connections to nodes permanently."""
        for node in nodes:
            for name in (f"{node.name}-peer", f"{node.name}-guard"):
                self._fleet.set_rule("*", name, "silence-established")

    def begin_backend_crash(self, fault: Fault, backends: list[BackendHandle]) -> None:
        """Kill backend servers."""
        for backend in backends:
            backend.process.kill()

    def begin_backend_cold(self, fault: Fault, backends: list[BackendHandle]) -> None:
        """Make backend servers cold, as after a restart."""
        self._set_behaviour(backends, turn_cold=True)

    def begin_backend_slow(self, fault: Fault, backends: list[BackendHandle]) -> None:
        """Slow backend servers down."""
        self._set_behaviour(backends, slow_factor=fault.factor)

    def finish_backend_slow(self, fault: Fault, backends: list[BackendHandle]) -> None:
        """Restore the speed of backend servers."""
        self._set_behaviour(backends, slow_factor=1.0)

    def begin_backend_error(self, fault: Fault, backends: list[BackendHandle]) -> None:
        """Make backend servers fail a share of their calls."""
        self._set_behaviour(backends, error_share=fault.share)

    def finish_backend_error(self, fault: Fault, backends: list[BackendHandle]) -> None:
        """Stop the failures of backend servers."""
        self._set_behaviour(backends, error_share=0.0)

    def begin_poison_request(self, fault: Fault, nodes: list[NodeHandle]) -> None:
        """Send one node a request that crashes every server that runs it."""
        request = build_request(
            self._fleet.probe_path,
            self._fleet.probe_token,
            "POST",
            b"poison",
            X_Poison="1",
        )
        for node in nodes[:1]:
            router = Router(node.entry_address)
            router.call(request)
            router.close()

    def _send_signal(
        self, nodes: list[NodeHandle], signal_number: signal.Signals
    ) -> None:
        for node in nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal_number)

    def _set_store_faults(self, **changes: Any) -> None:
        self._store_faults.update(changes)
        address = self._fleet.store_address
        self._fleet.post_json(address, "/control", self._store_faults)

    def _set_zone_rule(self, nodes: list[NodeHandle], action: str) -> None:
        inside = {node.zone for node in nodes}
        outside = {node.zone for node in self._fleet.nodes} - inside
        for zone in inside:
            for other in (*outside, "store"):
                self._fleet.set_rule(zone, other, action)
                self._fleet.set_rule(other, zone, action)

    def _set_behaviour(self, backends: list[BackendHandle], **changes: Any) -> None:
        for backend in backends:
            self._fleet.post_json(backend.address, "/_control", changes)
