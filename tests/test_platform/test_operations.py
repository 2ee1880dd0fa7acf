"""Check the three ways of docs/OPERATIONS.md to trace a call, with real processes."""

from __future__ import annotations

import json

import pytest

from bench.fleet import Fleet
from bench.mesh import Mesh, build_configuration
from tests.meshes import ORDER_ROUTE, READ_ROUTE, call


@pytest.fixture
def mesh():
    with Fleet() as fleet:
        fleet.start_store()
        mesh = Mesh(fleet)
        mesh.write_key("op/config", build_configuration(1, READ_ROUTE, ORDER_ROUTE))
        mesh.add_node("node-0", "zone-0", "two", log_format="json")
        guard = mesh.add_node("node-1", "zone-0", "one", log_format="json")
        mesh.start_server(guard, "i-1")
        mesh.wait_for_servers(1)
        for node in mesh.nodes:
            mesh.fleet.wait_for(lambda node=node: mesh.is_ready(node), "readiness")
        yield mesh


def find_lines(mesh, name, **fields):
    """Return the lines of a node's log that have all the given fields."""
    text = (mesh.fleet.directory / f"{name}.log").read_text()
    lines = [json.loads(line) for line in text.splitlines() if line.startswith("{")]
    return [line for line in lines if fields.items() <= line.items()]


def read_counter(mesh, node, line_prefix):
    """Return the value of the first metric line with a prefix, 0 if there is none."""
    url = f"http://{node.handle.operator_address}/metrics"
    for line in mesh.fleet.http.request("GET", url).data.decode().splitlines():
        if line.startswith(line_prefix):
            return float(line.split()[-1])
    return 0.0


def test_refused_call_is_traced_from_entry_to_guard(mesh):
    entry, guard = mesh.nodes
    mesh.set_server_behaviour(guard, state="draining")
    mesh.fleet.wait_for(
        lambda: mesh.count_servers(entry) == 0, "the removal of the draining server"
    )
    assert call(entry, "/order/1", "refused-1", "POST").status == 503
    (line,) = find_lines(mesh, "node-0", call="refused-1", message="call refused")
    assert (line["side"], line["reason"], line["ran"]) == (
        "entry", "no-server", "not-run",
    )  # fmt: skip
    change_line = find_lines(mesh, "node-1", message="local server changed")[-1]
    assert (change_line["server"], change_line["state"]) == ("i-1", "leaving")
    assert change_line["time"] < line["time"]
    refusals = 'monsoontray_refusals_total{ran="not-run",reason="no-server"}'
    assert read_counter(mesh, entry, refusals) >= 1


def test_call_with_unknown_outcome_is_traced_to_guard_and_server(mesh):
    entry, guard = mesh.nodes
    mesh.set_server_behaviour(guard, silent=True)
    response = call(entry, "/order/1", "stuck-1", "POST", b"x", X_Deadline_Ms="500")
    assert response.status == 504
    (line,) = find_lines(mesh, "node-0", call="stuck-1", message="call refused")
    assert (line["reason"], line["ran"]) == ("deadline-passed", "unknown")
    status = mesh.fleet.get_json(entry.handle.operator_address, "/status")
    (name,) = [
        node["node"]
        for node in status["nodes"]
        if node["server"] and line["server"] in node["server"]
    ]
    assert name == "node-1"
    (guard_line,) = [
        each for each in find_lines(mesh, name, call="stuck-1") if "reason" in each
    ] or find_lines(mesh, name, call="stuck-1", message="caller gone")
    assert guard_line["side"] == "guard"
    assert guard_line["ms"] > 400


def test_call_with_old_configuration_is_traced_to_time_of_next_configuration(mesh):
    entry = mesh.nodes[0]
    assert call(entry, "/read/1", "old-1").status == 200
    mesh.write_key("op/config", build_configuration(2, ORDER_ROUTE))
    mesh.fleet.wait_for(
        lambda: call(entry, "/read/1", "new-1").status == 404, "the new configuration"
    )
    (line,) = find_lines(mesh, "node-0", call="old-1")
    assert line["version"] == 1
    first, second = find_lines(mesh, "node-0", message="configuration in force")
    assert (first["version"], second["version"]) == (1, 2)
    assert first["time"] < line["time"] < second["time"]
    refused = find_lines(mesh, "node-0", call="new-1", reason="no-route")[-1]
    assert refused["version"] == 2
