"""Count the calls of a fleet on the platform to its store, by kind and reason."""

from __future__ import annotations

import time
from collections import Counter
from typing import Any

from prometheus_client.parser import text_string_to_metric_families

from bench.fleet import Fleet
from bench.mesh import Mesh, build_configuration, build_route
from bench.options import Options
from bench.progress import show_progress

ZONES = 3
LEASE_MS = 5_000  # as in deploy/node.json
REST_S = 20.0
SILENCE_S = 8.0
RECOVERY_S = 6.0
METRIC = "monsoontray_store_calls"


def measure_store_calls(options: Options) -> dict[str, Any]:
    """Return the calls of each phase, from the metrics pages of the nodes."""
    with Fleet() as fleet:
        fleet.start_store()
        mesh = Mesh(fleet)
        mesh.write_key("op/config", build_configuration(1, build_route("/r", "one")))
        for i in range(options.nodes):
            zone = f"zone-{i % ZONES}"
            mesh.add_node(f"node-{i:02}", zone, "one", watch_lease_ms=LEASE_MS)
        for i, node in enumerate(mesh.nodes):
            fleet.wait_for_node(node.handle)
            mesh.launch_server(node, f"i-{i}")
        mesh.wait_for_servers(options.nodes)
        time.sleep(RECOVERY_S)
        phases = {"start": read_calls(mesh)}
        known = phases["start"]

        def end_phase(name: str) -> None:
            nonlocal known
            latest = read_calls(mesh)
            phases[name] = latest - known
            known = latest
            show_progress(f"{name}: {phases[name].total()} calls")

        time.sleep(REST_S)
        end_phase("rest")
        killed = mesh.nodes[-1].handle
        known -= read_node_calls(mesh, killed.operator_address)
        fleet.kill_node(killed)
        time.sleep(1.0)
        fleet.start_node(killed)
        fleet.wait_for_node(killed)
        mesh.wait_for_servers(options.nodes)
        time.sleep(RECOVERY_S)
        end_phase("kill")
        for name, faults in (("silent", {"silent": True}), ("reset", {"out": True})):
            fleet.post_json(fleet.store_address, "/control", faults)
            time.sleep(SILENCE_S)
            fleet.post_json(fleet.store_address, "/control", {})
            time.sleep(RECOVERY_S)
            end_phase(name)
    return {name: dict(sorted(calls.items())) for name, calls in phases.items()}


def read_calls(mesh: Mesh) -> Counter[str]:
    """Return the calls of all nodes by reason and kind."""
    calls: Counter[str] = Counter()
    for node in mesh.nodes:
        calls += read_node_calls(mesh, node.handle.operator_address)
    return calls


def read_node_calls(mesh: Mesh, address: str) -> Counter[str]:
    """Return the calls of a node by reason and kind."""
    page = mesh.fleet.http.request("GET", f"http://{address}/metrics", timeout=3.0)
    return Counter(
        {
            f"{sample.labels['reason']} {sample.labels['kind']}": int(sample.value)
            for family in text_string_to_metric_families(page.data.decode())
            for sample in family.samples
            if sample.name == f"{METRIC}_total"
        }
    )
