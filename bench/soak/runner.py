"""Run a soak: start the processes, inject the faults, check the guarantees."""

from __future__ import annotations

import contextlib
import json
import threading
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from pathlib import Path
from typing import Any

from loguru import logger
from urllib3.exceptions import HTTPError

from bench.caller import CutResponseError, Router
from bench.fleet import Fleet, FleetError
from bench.mesh import (
    Mesh,
    MeshNode,
    build_chunked_request,
    build_configuration,
    build_mesh_request,
    build_route,
)
from bench.soak.callers import CALL_INTERVAL_S, Caller, SlowReader, build_key
from bench.soak.checks import (
    COLD_FACTOR,
    COLD_SLACK,
    KEY_WITHDRAWAL_S,
    KEYED_PATH,
    check_cold_servers,
    check_keys,
    check_outcomes,
    check_reports,
)
from bench.soak.faults import begin_fault, finish_fault
from bench.soak.plan import (
    COLD_FAULT,
    KillNode,
    LeaveAndRestart,
    SoakFault,
    StopNode,
    draw_faults,
    has_customers,
    has_slow_readers,
)
from bench.soak.usage import UsageReport, record_reports

READ_ROUTE = build_route("/read/", "one")
ORDER_ROUTE = build_route("/order/", "one", kind="non_idempotent")
KEYED_ROUTE = build_route(KEYED_PATH, "one")
KEPT_KEYS = 2  # of the latest versions; older ones are withdrawn
USAGE_SETTINGS = {"usage_window_s": 1.0, "usage_late_s": 3.0, "usage_takeover_s": 2.0}
USUAL_NODES = 6  # a larger fleet gets as many calls in all as one of this size
CALLERS_PER_NODE = 2
PIPELINING_CALLERS_PER_NODE = 1
FATAL_PATH = "/read/fatal"
FATAL_BODY = b"fatal" * 5_000
FATAL_TIMEOUT_S = 0.5
LATE_ANNOUNCEMENT_S = 1.0
LATE_CALLS_S = 2.5  # time in which calls to a server that has left are recorded
COLD_CALLS = 10  # that a cold server has got when its node is killed
COLD_CALLS_TIMEOUT_S = 3.0
READY_TIMEOUT_S = 5.0  # of a restarted node, before a late heartbeat is sent
RECOVERY_TIMEOUT_S = 15.0  # after the last fault, as on the platform
PROBE_CALLS = 5  # consecutive calls that a recovered node must serve
STOP_NOTICE_MS = 1_000
BURST_CALLS = 60
BURST_TIMEOUT_S = 1.0
CAPACITY_MIN_SHARE = 0.5  # as deployed
STOP_TIMEOUT_S = 25.0  # the limit of a node's grace period plus a margin


@dataclass(slots=True, frozen=True)
class SoakResult:
    """Result of a soak."""

    seed: int
    broken: list[str]  # one line for each violation
    calls: int
    served: float  # share of calls with status 200
    faults: int
    directory: Path  # of the log files


@dataclass(slots=True)
class Soak:
    """Mesh and state of one soak; a single thread starts and ends all faults."""

    mesh: Mesh
    zones: int
    latest_version: list[int] = field(default_factory=lambda: [0])
    fault_periods: list[tuple[float, float]] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)  # seen by faults themselves
    has_customers: bool = False
    withdrawn_at: dict[int, float] = field(default_factory=dict)  # by number of the key
    thawed_at: list[float] = field(default_factory=list)
    _instance_numbers: Iterator[int] = field(default_factory=count)
    _bursts: list[Router] = field(default_factory=list)  # their open connections

    @property
    def runs_file(self) -> Path:
        """Return the file in which the back ends record the calls that they run."""
        return self.mesh.fleet.directory / "runs"

    def start(self, nodes: int, read_by_all: int, usage_address: str) -> None:
        """Start the store, the proxy, the nodes and their servers."""
        fleet = self.mesh.fleet
        fleet.start_store()
        fleet.start_proxy()
        self.publish_configuration()
        for i in range(nodes):
            settings: dict[str, Any] = {
                "read_by_all": read_by_all,
                "stop_notice_ms": STOP_NOTICE_MS,
                "cold_factor": COLD_FACTOR,
                "cold_slack": COLD_SLACK,
                "capacity_min_share": CAPACITY_MIN_SHARE,
            }
            if self.has_customers:
                settings["key_withdrawal_s"] = KEY_WITHDRAWAL_S
                settings |= {"usage_address": usage_address, **USAGE_SETTINGS}
            zone = f"zone-{i % self.zones}"
            self.start_server(self.mesh.add_node(f"node-{i}", zone, "one", **settings))
        fleet.label_processes()
        self.mesh.wait_for_servers(nodes)
        for node in self.mesh.nodes:
            self.wait_until_serving(node)

    def build_callers(self, seed: int) -> list[Caller]:
        """Return the callers of each node: usual ones, a pipelining and a slow one."""
        interval_s = CALL_INTERVAL_S * max(1.0, len(self.mesh.nodes) / USUAL_NODES)
        callers = [
            Caller(
                node,
                f"{node.handle.name}-{i}",
                self.latest_version,
                seed * 1000 + i,
                interval_s,
                pipelines=i >= CALLERS_PER_NODE,
                has_keys=self.has_customers,
            )
            for node in self.mesh.nodes
            for i in range(CALLERS_PER_NODE + PIPELINING_CALLERS_PER_NODE)
        ]
        if has_slow_readers(seed):
            callers += [
                SlowReader(node, f"{node.handle.name}-slow", self.latest_version, seed)
                for node in self.mesh.nodes
            ]
        return callers

    def start_server(
        self, node: MeshNode, cold_s: float = 0.0, announce_after_s: float = 0.0
    ) -> None:
        """Start a new incarnation of a node's server."""
        name = f"i-{next(self._instance_numbers)}"
        flags = (
            f"--runs_file={self.runs_file}",
            f"--cold_s={cold_s}",
            f"--announce_after_s={announce_after_s}",
        )
        self.mesh.start_server(node, name, "v1", *flags)

    def wait_for_calls(self, node: MeshNode) -> None:
        """Wait until a node's server has got some calls, for a limited time."""
        with contextlib.suppress(FleetError):
            self.mesh.fleet.wait_for(
                lambda: len(self.mesh.get_observed(node)["arrivals"]) >= COLD_CALLS,
                "calls of a cold server",
                COLD_CALLS_TIMEOUT_S,
            )

    def kill_server(self, node: MeshNode) -> None:
        """Kill a node's server."""
        assert node.backend is not None
        node.backend.process.kill()
        node.backend.process.wait()

    def set_server_behaviour(self, node: MeshNode, **behaviour: Any) -> None:
        """Replace the behaviour of a node's server, unless the server has ended."""
        assert node.backend is not None
        try:
            self.mesh.set_server_behaviour(node, **behaviour)
        except HTTPError:
            if node.backend.process.poll() is None:
                raise

    def send_fatal_requests(self) -> None:
        """Send a request to all nodes that ends the servers that run it."""
        number = next(self._instance_numbers)
        path = f"{FATAL_PATH}-{number}"
        for node in self.mesh.nodes:
            call_id = f"fatal-{node.handle.name}"
            request = build_mesh_request(path, call_id)
            if number % 2:
                request = build_chunked_request(path, call_id, "POST", FATAL_BODY)
            try:
                router = Router(node.handle.entry_address, FATAL_TIMEOUT_S)
            except OSError:
                continue
            try:
                router.call(request)
            except (OSError, CutResponseError, ValueError):
                logger.info("no response to a fatal request")
            finally:
                router.close()

    def send_burst(self, node: MeshNode) -> None:
        """Send equal reads to a node at once; nobody waits for their responses."""
        name = f"burst-{next(self._instance_numbers)}"
        calls = (f"{name}-{number}" for number in range(BURST_CALLS))
        requests = [build_mesh_request(f"/read/{call}", call) for call in calls]
        with contextlib.suppress(OSError):
            self._bursts.append(Router(node.handle.entry_address, BURST_TIMEOUT_S))
            self._bursts[-1].send(b"".join(requests))

    def close_bursts(self) -> None:
        """Close the connections of all bursts."""
        for router in self._bursts:
            router.close()

    def announce(self, node: MeshNode, call: str, **fields: Any) -> bool:
        """Send an announcement for a node's server; return whether it was accepted."""
        assert node.backend is not None
        address = node.handle.operator_address
        url = f"http://{address}/rpc?call=instances.{call}&of={node.backend.name}"
        try:
            response = self.mesh.fleet.http.request(
                "POST", url, body=json.dumps(fields).encode(), timeout=1.0
            )
        except HTTPError:
            return False
        return bool(response.status == 200)

    def send_odd_heartbeat(self, node: MeshNode) -> None:
        """Send a heartbeat without an address, of another service."""
        fields = {"service": "other", "version": "v1", "slots": 4, "state": "ready"}
        if self.announce(node, "heartbeat", **fields, seq=10**9, cold_left_s=0):
            self.broken.append(f"ROUTE: {node.handle.name} used an odd heartbeat")

    def deregister_server(self, node: MeshNode) -> None:
        """Let a server leave without notice; it goes on serving for a while."""
        self.set_server_behaviour(node, silence=True)
        if self.announce(node, "deregister"):
            self.set_server_behaviour(node, silence=True, left=True)

    def send_late_heartbeat(self, node: MeshNode) -> None:
        """Send a heartbeat from before the server left, and wait for its effect."""
        with contextlib.suppress(FleetError):
            self.mesh.fleet.wait_for(
                lambda: self.mesh.is_ready(node), "readiness", READY_TIMEOUT_S
            )
        assert node.backend is not None
        fields = {"service": "one", "addr": node.backend.address, "zone": "zone"}
        fields |= {"version": "v1", "state": "ready"}
        self.announce(node, "heartbeat", **fields, slots=4, seq=1, cold_left_s=0,
                      born=1)  # fmt: skip
        threading.Event().wait(LATE_CALLS_S)

    def start_ended_servers(self) -> None:
        """Start new incarnations of the servers that have ended.

        Their first heartbeats come later than the first requests.
        """
        for node in self.mesh.nodes:
            if node.backend is not None and node.backend.process.poll() is not None:
                self.start_server(node, announce_after_s=LATE_ANNOUNCEMENT_S)

    def restart_node(self, node: MeshNode) -> None:
        """Restart a node once its process has ended."""
        assert node.handle.process is not None
        node.handle.process.wait(STOP_TIMEOUT_S)
        self.mesh.fleet.start_node(node.handle)
        self.mesh.fleet.label_processes()

    def publish_configuration(self) -> None:
        """Write a configuration with one more route.

        Its routes show which version serves a call: version n has ``/v1/`` to ``/vn/``.
        """
        number = self.latest_version[0] + 1
        routes = [build_route(f"/v{n + 1}/", "one") for n in range(number)]
        routes = [READ_ROUTE, ORDER_ROUTE, *routes]
        configuration = build_configuration(number, *routes)
        if self.has_customers:
            routes = [{**route, "public": True} for route in routes]
            configuration = build_configuration(number, *routes, KEYED_ROUTE)
            keys = [build_key(number - n) for n in range(min(KEPT_KEYS, number))]
            configuration["tenants"] = [{"name": "customer", "api_keys": keys}]
        self.mesh.write_key("op/config", configuration)
        self.latest_version[0] = number
        self.withdrawn_at[number - KEPT_KEYS] = time.monotonic()

    def set_store_behaviour(self, **behaviour: Any) -> None:
        """Replace the behaviour of the store."""
        fleet = self.mesh.fleet
        fleet.post_json(fleet.store_address, "/control", behaviour)

    def set_zone_rule(self, zone: str, rule: str) -> None:
        """Set the rule for traffic between a zone, the other zones and the store."""
        for other in (*(f"zone-{i}" for i in range(self.zones)), "store"):
            if other != zone:
                self.mesh.fleet.set_rule(zone, other, rule)
                self.mesh.fleet.set_rule(other, zone, rule)

    def run_faults(self, faults: tuple[SoakFault, ...], duration_s: float) -> None:
        """Start and end each fault at its time."""
        started_at = time.monotonic()
        steps: list[tuple[float, int, SoakFault, bool]] = []
        tie_breaker = count()
        for fault in faults:
            heappush(steps, (fault.at_s, next(tie_breaker), fault, True))
        active_keys: set[tuple[str, int]] = set()
        timer = threading.Event()
        while steps:
            at_s, _, fault, is_begin = heappop(steps)
            timer.wait(max(0.0, started_at + at_s - time.monotonic()))
            if is_begin and not active_keys.isdisjoint(fault.conflict_keys):
                continue
            logger.info("{} {} {}", "begin" if is_begin else "end", at_s, fault)
            node = self.mesh.nodes[fault.node_index]
            if is_begin:
                active_keys |= fault.conflict_keys
                begun_at = time.monotonic()
                begin_fault(fault.action, self, node)
                end_s = at_s + fault.for_s
                heappush(steps, (end_s, next(tie_breaker), fault, False))
                if not fault.is_planned:
                    self.fault_periods.append((begun_at, begun_at + fault.for_s))
            else:
                finish_fault(fault.action, self, node)
                active_keys -= fault.conflict_keys
        timer.wait(max(0.0, started_at + duration_s - time.monotonic()))

    def wait_until_serving(self, node: MeshNode) -> None:
        """Wait until a node serves calls on the newest route."""
        name = node.handle.name
        self.mesh.fleet.wait_for(
            lambda: self._serves_calls(node), name, RECOVERY_TIMEOUT_S
        )

    def _serves_calls(self, node: MeshNode) -> bool:
        path = f"/v{self.latest_version[0]}/probe"
        try:
            router = Router(node.handle.entry_address, 1.0)
            try:
                calls = range(PROBE_CALLS)
                requests = [build_mesh_request(path, f"probe-{n}") for n in calls]
                return all(router.call(each).status == 200 for each in requests)
            finally:
                router.close()
        except (OSError, CutResponseError):
            return False

    def find_hidden_servers(self) -> list[str]:
        """Return the first node that does not list all servers in time, if any."""
        try:
            self.mesh.wait_for_servers(len(self.mesh.nodes), RECOVERY_TIMEOUT_S)
        except FleetError as error:
            return [f"RECOVER: {error}"]
        return []

    def find_crashed_nodes(self, faults: tuple[SoakFault, ...]) -> list[str]:
        """Return the nodes whose processes ended although no fault stopped them."""
        stopped_by_fault = {
            f.node_index
            for f in faults
            if f.action in (KillNode(), StopNode(), LeaveAndRestart(), COLD_FAULT)
        }
        return [
            f"ENDED: {node.handle.name} ended by itself"
            for i, node in enumerate(self.mesh.nodes)
            if i not in stopped_by_fault
            and node.handle.process is not None
            and node.handle.process.poll() is not None
        ]


def run_soak(
    seed: int, nodes: int = 6, duration_s: float = 15.0, zones: int = 3
) -> SoakResult:
    """Run the soak of a seed and return its result."""
    faults = draw_faults(seed, duration_s, nodes)
    reports: list[UsageReport] = []
    with Fleet() as fleet, record_reports(reports) as usage_address:
        soak = Soak(Mesh(fleet), min(zones, nodes), has_customers=has_customers(seed))
        # With even seeds the fleet is larger than ``read_by_all``, so that, as in a
        # large fleet, only a few nodes read the store and the others read from them.
        soak.start(nodes, 24 if seed % 2 else 2, usage_address)
        callers = soak.build_callers(seed)
        for caller in callers:
            caller.start()
        broken = []
        soak.run_faults(faults, duration_s)
        for node in soak.mesh.nodes:
            try:
                soak.wait_until_serving(node)
            except FleetError as error:
                broken.append(f"RECOVER: {error}")
        broken += soak.find_hidden_servers()
        for caller in callers:
            caller.stop()
        soak.close_bursts()
        broken += soak.broken + soak.find_crashed_nodes(faults)
        runs, late_calls, cold_arrivals = read_runs(soak.runs_file)
    outcomes = [each for caller in callers for each in caller.outcomes]
    broken += check_outcomes(outcomes, runs, late_calls, soak.fault_periods)
    broken += check_cold_servers(outcomes, cold_arrivals)
    broken += check_keys(outcomes, runs, soak.withdrawn_at)
    broken += check_reports(reports, soak.thawed_at)
    served = sum(each.status == 200 for each in outcomes) / max(1, len(outcomes))
    return SoakResult(
        seed, broken, len(outcomes), round(served, 3), len(faults), fleet.directory
    )


def read_runs(
    path: Path,
) -> tuple[Counter[str], list[str], dict[str, list[tuple[float, str]]]]:
    """Return how often each call ran, and the calls that arrived too late.

    The third value has the times and calls that cold servers got, by server.
    """
    runs: Counter[str] = Counter()
    late_calls = []
    cold_arrivals: dict[str, list[tuple[float, str]]] = {}
    for line in path.read_text().splitlines() if path.exists() else ():
        event, call_id, *details = line.split(" ")
        if event == "run":
            runs[call_id] += 1
        elif event == "late":
            late_calls.append(call_id)
        else:
            server, seconds = details
            cold_arrivals.setdefault(server, []).append((float(seconds), call_id))
    return runs, late_calls, cold_arrivals
