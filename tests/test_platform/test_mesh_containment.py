"""Requests that end the servers that run them, at nodes that are real processes."""

from __future__ import annotations

import re
import threading
import time
from functools import partial
from itertools import count
from pathlib import Path

import pytest

from bench.caller import CutResponseError
from bench.mesh import build_configuration
from tests.meshes import ORDER_ROUTE, READ_ROUTE, call

NODES = 6
ZONES = ("zone-0", "zone-1", "zone-2")
STABLE_S = 3.0  # from the third end until the request must be refused
MAX_LATE_ARRIVALS = 3  # that may still reach a server after that
RESTART_S = 0.5  # time until an ended server starts again
SLOW_RESTART_S = 2.0  # the same where the calls beside it need the servers
WATCHED_S = 6.0  # time for which the request keeps coming after that
PAUSE_S = 0.05  # between two arrivals of the request


class ServerRestarter:
    """Thread that starts ended servers again, as the platform does."""

    def __init__(self, mesh, runs_file, restart_s=RESTART_S):
        self.ended_at = []  # times at which ends were seen
        self._restart_s = restart_s
        self._mesh = mesh
        self._runs_file = runs_file
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        self._stopped.set()
        self._thread.join()

    def _run(self):
        due = {}
        while not self._stopped.wait(0.01):
            now = time.monotonic()
            for node in self._mesh.nodes:
                name = node.handle.name
                if node.backend is None or is_running(node.backend.process):
                    continue
                if name not in due:
                    due[name] = now + self._restart_s
                    self.ended_at.append(now)
                elif now >= due[name]:
                    node.backend.process.kill()
                    node.backend.process.wait()
                    launch_server(self._mesh, node, self._runs_file)
                    del due[name]


def is_running(process):
    """Return whether a process has neither ended nor been stopped."""
    if process.poll() is not None:
        return False
    stat = Path(f"/proc/{process.pid}/stat").read_text()
    return stat.rpartition(")")[2].split()[0] != "T"


INSTANCES = count()


def launch_server(mesh, node, runs_file):
    name = f"i-{next(INSTANCES)}"
    mesh.launch_server(node, name, "v1", f"--runs_file={runs_file}")


def start_fleet(mesh, runs_file, count=NODES, **settings):
    mesh.write_key("op/config", build_configuration(1, READ_ROUTE, ORDER_ROUTE))
    for i in range(count):
        node = mesh.add_node(f"node-{i}", f"zone-{i % 3}", "one", **settings)
        launch_server(mesh, node, runs_file)
    mesh.wait_for_servers(count)
    for node in mesh.nodes:
        mesh.fleet.wait_for(lambda node=node: mesh.is_ready(node), "readiness")


def read_runs(runs_file):
    if not runs_file.exists():
        return []
    return [line.split()[1] for line in runs_file.read_text().splitlines()]


def call_or_fail(node, path, call_id, method="GET", body=b"", **headers):
    """Return the status of a call, or 0 if its connection was cut."""
    try:
        return call(node, path, call_id, method, body, **headers).status
    except (CutResponseError, OSError):
        return 0


def send_until_contained(mesh, restarter, path, method, body):
    """Keep sending a request to all nodes in turn; return its ids after the bound."""
    late_ids, statuses, deadline = [], [], None
    for i in count():
        now = time.monotonic()
        if deadline is None and len(restarter.ended_at) >= 3:
            deadline = restarter.ended_at[2] + STABLE_S
        if deadline is not None and now > deadline + WATCHED_S:
            return late_ids, statuses
        assert i < 2_000, f"{len(restarter.ended_at)} servers ended"
        call_id = f"fatal-{method}-{i}"
        is_late = deadline is not None and now > deadline
        status = call_or_fail(
            mesh.nodes[i % len(mesh.nodes)],
            path,
            call_id,
            method,
            body,
            X_Deadline_Ms="400",
        )
        if is_late:
            late_ids.append(call_id)
            statuses.append(status)
        time.sleep(PAUSE_S)
    raise AssertionError


# A request that ends every server that runs it reached servers without a limit.
@pytest.mark.parametrize(
    ("method", "path", "body"),
    [
        ("GET", "/read/fatal", b""),
        ("POST", "/order/fatal", b"x" * 2_000),
        ("POST", "/order/fatal", b"y" * 200_000),
        ("GET", "/read/freezing", b""),
    ],
)
def test_request_that_ended_three_servers_reaches_no_more(
    mesh, tmp_path, method, path, body
):
    runs_file = tmp_path / "runs"
    start_fleet(mesh, runs_file)
    with ServerRestarter(mesh, runs_file) as restarter:
        late_ids, statuses = send_until_contained(mesh, restarter, path, method, body)
        runs = read_runs(runs_file)
        late_arrivals = sum(runs.count(call_id) for call_id in late_ids)
        assert late_arrivals <= MAX_LATE_ARRIVALS, f"{len(restarter.ended_at)} ended"
        assert statuses[-20:] == [503] * 20
        mesh.wait_for_servers(NODES)
        served = [
            call_or_fail(node, f"{path[:-5]}{i}", f"other-{node.handle.name}-{i}",
                         method, body)
            for node in mesh.nodes
            for i in range(5)
        ]  # fmt: skip
        assert served == [200] * len(served)


def contain(mesh, restarter, path="/read/fatal"):
    """Send a request to all nodes until each of them refuses it as contained."""
    for i in count():
        for node in mesh.nodes:
            call_or_fail(node, path, f"contain-{i}-{node.handle.name}")
        if all(count_contained(mesh, node) for node in mesh.nodes):
            return
        assert i < 200, f"{len(restarter.ended_at)} servers ended"
        time.sleep(PAUSE_S)


def count_contained(mesh, node):
    status = mesh.fleet.get_json(node.handle.operator_address, "/status")
    return status["forwarding"]["contained"]


# A node that had just started did not know the request and sent it to servers.
def test_started_node_refuses_a_request_that_ended_three_servers(mesh, tmp_path):
    runs_file = tmp_path / "runs"
    start_fleet(mesh, runs_file, 3)
    with ServerRestarter(mesh, runs_file) as restarter:
        contain(mesh, restarter)
        new = mesh.add_node("node-new", "zone-0", "one")
        launch_server(mesh, new, runs_file)
        restarted = mesh.nodes[0]
        mesh.fleet.kill_node(restarted.handle)
        mesh.fleet.start_node(restarted.handle)
        mesh.wait_for_servers(4)
        for node in (new, restarted):
            mesh.fleet.wait_for(lambda node=node: mesh.is_ready(node), "readiness")
            statuses = [
                call_or_fail(node, "/read/fatal", f"late-{node.handle.name}-{i}")
                for i in range(10)
            ]
            assert statuses == [503] * 10
        assert not [run for run in read_runs(runs_file) if run.startswith("late-")]
        log = (mesh.fleet.directory / "node-new.log").read_text()
        assert re.search("call refused .*poison.*/read/fatal", log)


# A node that was cut off from the store did not learn of the ends of other servers.
def test_request_is_contained_at_a_node_that_is_cut_off_from_the_store(mesh, tmp_path):
    runs_file = tmp_path / "runs"
    mesh.fleet.start_proxy()
    start_fleet(mesh, runs_file, 4)
    mesh.fleet.label_processes()
    cut_off = mesh.nodes[2]  # the only node of its zone
    mesh.fleet.set_rule(cut_off.handle.zone, "store", "cut")
    with ServerRestarter(mesh, runs_file) as restarter:
        contain(mesh, restarter)
        time_of_bound = time.monotonic() + STABLE_S
        late_ids = []
        while time.monotonic() < time_of_bound + 2.0:
            late_ids.append(f"late-{len(late_ids)}")
            call_or_fail(cut_off, "/read/fatal", late_ids[-1])
            time.sleep(PAUSE_S)
        runs = read_runs(runs_file)
        assert sum(runs.count(each) for each in late_ids) <= MAX_LATE_ARRIVALS


# Requests that ran beside the cause of an end must not be taken for it.
def test_requests_beside_the_cause_of_an_end_stay_served(mesh, tmp_path):
    runs_file = tmp_path / "runs"
    start_fleet(mesh, runs_file, 4)
    stopped = threading.Event()
    statuses = {}

    def send_beside(index):
        path, sent = f"/read/beside-{index}", count()
        while not stopped.is_set():
            node = mesh.nodes[index % len(mesh.nodes)]
            status = call_or_fail(node, path, f"beside-{index}-{next(sent)}")
            statuses.setdefault(index, []).append(status)

    def set_service_time():
        for node in mesh.nodes:
            if node.backend.process.poll() is None:
                mesh.set_server_behaviour(node, service_ms=100.0)

    set_service_time()
    callers = [threading.Thread(target=send_beside, args=(i,)) for i in range(8)]
    with ServerRestarter(mesh, runs_file) as restarter:
        for caller in callers:
            caller.start()
        contain(mesh, restarter)
        mesh.wait_for_servers(4)
        for node in mesh.nodes:
            mesh.fleet.wait_for(
                lambda node=node: count_contained(mesh, node) == 1,
                "one refused request",
            )
        # Servers that have just started again take few calls until they are announced.
        mesh.fleet.wait_for(
            lambda: all(each[-5:] == [200] * 5 for each in statuses.values()),
            "served calls of all callers",
        )
        for each in statuses.values():
            each.clear()
        time.sleep(2.0)
        stopped.set()
        for caller in callers:
            caller.join()
    for index, each in statuses.items():
        assert each.count(200) == len(each) > 0, (index, each)


def reset_servers(mesh, node, i):
    mesh.set_server_behaviour(node, lose=True)


def slow_servers(mesh, node, i):
    mesh.set_server_behaviour(node, service_ms=3_000.0)


def kill_vm(mesh, node, i):
    """Kill a node and its server together while they run the request."""
    mesh.set_server_behaviour(node, service_ms=3_000.0)


# A request that failed for another reason than the end of its server was refused.
@pytest.mark.parametrize("disturb", [reset_servers, slow_servers, kill_vm])
@pytest.mark.parametrize(
    ("method", "path", "body"),
    [("GET", "/read/plain", b""), ("POST", "/order/plain", b"x" * 2_000)],
)
def test_request_that_failed_for_other_reasons_is_served(
    mesh, tmp_path, disturb, method, path, body
):
    runs_file = tmp_path / "runs"
    start_fleet(mesh, runs_file, 5)
    for i, node in enumerate(mesh.nodes[:4]):
        disturb(mesh, node, i)
    for i, node in enumerate(mesh.nodes[:4]):
        call_id = f"failing-{i}"
        if disturb is not kill_vm:
            call_or_fail(node, path, call_id, method, body, X_Deadline_Ms="300")
            continue
        sender = threading.Thread(
            target=call_or_fail, args=(mesh.nodes[4], path, call_id, method, body)
        )
        sender.start()
        mesh.fleet.wait_for(
            lambda call_id=call_id: call_id in read_runs(runs_file), "the request"
        )
        running = [n for n in mesh.nodes[:4] if has_run(mesh, n, call_id)]
        for each in running:
            each.handle.process.kill()
            each.backend.process.kill()
        sender.join()
    if disturb is not kill_vm:
        for node in mesh.nodes:
            mesh.set_server_behaviour(node)
    alive = [node for node in mesh.nodes if node.handle.process.poll() is None]
    for i, node in enumerate(alive * 3):
        assert call_or_fail(node, path, f"served-{i}", method, body) == 200
        assert count_contained(mesh, node) == 0


def has_run(mesh, node, call_id):
    if node.backend.process.poll() is not None:
        return False
    return call_id in mesh.get_observed(node)["runs"]


def disturb_store(mesh, zones, action):
    for zone in zones:
        mesh.fleet.set_rule(zone, "store", action)


def cut_zones_apart(mesh):
    """Cut two zones from the store and from each other."""
    disturb_store(mesh, ZONES[1:], "silence")
    mesh.fleet.set_rule("zone-1", "zone-2", "cut")
    mesh.fleet.set_rule("zone-2", "zone-1", "cut")


DISTURBANCES = {
    "none": lambda mesh: None,
    "two zones refused": partial(disturb_store, zones=ZONES[1:], action="cut"),
    "two zones silenced": partial(disturb_store, zones=ZONES[1:], action="silence"),
    "silent": partial(disturb_store, zones=ZONES, action="silence"),
    "two zones apart": cut_zones_apart,
}


class ArrivalSender:
    """Threads that send a request at each node again and again, and others beside."""

    FATAL_GAP_S = 0.4
    BESIDE_GAP_S = 0.02

    def __init__(self, mesh):
        self.sent_at = {}  # of the fatal request, by id
        self.statuses = []  # of the other requests
        self._mesh = mesh
        self._stopped = threading.Event()
        senders = [(self._send_fatal, node) for node in mesh.nodes]
        senders += [(self._send_beside, node) for node in mesh.nodes]
        self._threads = [
            threading.Thread(target=send, args=(node,)) for send, node in senders
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc_info):
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _send_fatal(self, node):
        for i in count():
            if self._stopped.wait(self.FATAL_GAP_S):
                return
            call_id = f"fatal-{node.handle.name}-{i}"
            self.sent_at[call_id] = time.monotonic()
            call_or_fail(node, "/read/fatal", call_id, X_Deadline_Ms="400")

    def _send_beside(self, node):
        for i in count():
            if self._stopped.wait(self.BESIDE_GAP_S):
                return
            name = f"beside-{node.handle.name}-{i}"
            self.statuses.append(call_or_fail(node, f"/read/{name}", name))


# Nodes without the store did not learn of the ends of each other's servers.
@pytest.mark.parametrize("disturbance", DISTURBANCES)
def test_request_is_contained_while_the_store_is_out_of_reach(
    mesh, tmp_path, disturbance
):
    runs_file = tmp_path / "runs"
    mesh.fleet.start_proxy()
    start_fleet(mesh, runs_file)
    mesh.fleet.label_processes()
    DISTURBANCES[disturbance](mesh)
    with (
        ServerRestarter(mesh, runs_file, SLOW_RESTART_S) as restarter,
        ArrivalSender(mesh) as sender,
    ):
        mesh.fleet.wait_for(lambda: len(restarter.ended_at) >= 3, "three ends")
        since = restarter.ended_at[2] + STABLE_S
        time.sleep(STABLE_S + 2 * WATCHED_S)
        sender.statuses.clear()
        time.sleep(1.0)
        served = sender.statuses.count(200) / len(sender.statuses)
    runs = read_runs(runs_file)
    late = [each for each, sent in sender.sent_at.items() if sent > since]
    late_arrivals = sum(runs.count(each) for each in late)
    ended = len(restarter.ended_at)
    print(f"{disturbance}: {ended} ended, {late_arrivals} late, {served:.2f} served")
    assert late_arrivals <= MAX_LATE_ARRIVALS, f"{ended} ended"
    assert served > 0.9
