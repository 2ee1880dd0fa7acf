"""Odd entries of another writer in the store, with real processes."""

from __future__ import annotations

import json

from bench.mesh import build_configuration, build_route
from tests.meshes import ORDER_ROUTE, READ_ROUTE, call, start_mesh

NESTED = b"[" * 100_000 + b"]" * 100_000
NODE = [
    "odd", "norte", "zone-0", "127.0.0.1:9", "127.0.0.1:9", 1, False,
    ["i-odd", "one", "v1", 4, False, 1],
]  # fmt: skip


def build_node_entry(position, value):
    fields = list(NODE)
    fields[position] = value
    return json.dumps(fields).encode()


ODD_NODES = {
    "nested": json.dumps(NODE)[:-1].encode() + b",1.0," + NESTED + b"]",
    "negative-port": build_node_entry(3, "127.0.0.1:-1"),
    "huge-port": build_node_entry(3, "127.0.0.1:70000"),
    "huge-peer-port": build_node_entry(4, "127.0.0.1:" + "9" * 5_000),
    "host-name": build_node_entry(3, "nowhere.example:80"),
    "huge-number": json.dumps(NODE).encode().replace(b", 1, ", b", 1e400, "),
    "header-break": build_node_entry(7, ["i\r\nx: y", "one", "v1", 4, False, 1]),
    "other-name": build_node_entry(0, "node-0"),
    "bytes": b"\xff\xfe",
}
ODD_ORDERS = {
    "nested": b'{"service":"one","target_version":"v2","period_s":5,"x":'
    + NESTED
    + b"}",
    "endless-period": b'{"service":"one","target_version":"v2","period_s":1e400}',
}
ODD_PLANS = {"nested": b'{"x":' + NESTED + b"}", "list": b"[]"}


def check_mesh(mesh, version):
    """Check that the nodes follow a new configuration and answer calls."""
    path = f"/new-{version}/"
    new_route = build_route(path, "one")
    configuration = build_configuration(version, READ_ROUTE, ORDER_ROUTE, new_route)
    mesh.write_key("op/config", configuration)
    for node in mesh.nodes:
        mesh.fleet.wait_for(
            lambda node=node: call(node, path + "1", "n").status == 200,
            f"version {version}",
        )
    for node in mesh.nodes:
        for i in range(20):
            assert call(node, "/order/1", f"o{i}", "POST").status == 200
        assert node.handle.process.poll() is None


def test_odd_entries_neither_end_nodes_nor_stop_them_from_following(mesh):
    start_mesh(mesh)
    for name, value in ODD_NODES.items():
        mesh.write_bytes(f"nodes/{name}", value)
    for name, value in ODD_ORDERS.items():
        mesh.write_bytes(f"op/rollout/{name}", value)
    for name, value in ODD_PLANS.items():
        mesh.write_bytes(f"rollouts/plans/{name}", value)
    mesh.write_bytes("op/config", b'{"version":"00000002","x":' + NESTED + b"}")
    check_mesh(mesh, 3)
    first = mesh.nodes[0].handle
    mesh.fleet.kill_node(first)
    mesh.fleet.start_node(first)
    mesh.wait_for_servers(2)
    check_mesh(mesh, 4)


def test_node_whose_entry_was_replaced_publishes_it_again(mesh):
    start_mesh(mesh)
    mesh.write_bytes("nodes/node-0", b"[]")
    mesh.fleet.wait_for(
        lambda: (mesh.read_key("nodes/node-0") or [""])[0] == "node-0", "the record"
    )
    mesh.wait_for_servers(2)
    check_mesh(mesh, 2)
