"""One node per zone reads the store for the others, with real processes."""

from __future__ import annotations

import pytest

from bench.mesh import build_configuration, build_route
from bench.processes import pause_process
from tests.meshes import ORDER_ROUTE, READ_ROUTE, call


@pytest.fixture
def large_mesh(mesh):
    """Two zones of two nodes; the first node of each zone reads the store."""
    mesh.fleet.start_proxy()
    mesh.write_key("op/config", build_configuration(1, READ_ROUTE, ORDER_ROUTE))
    for i in range(4):
        node = mesh.add_node(f"node-{i}", f"zone-{i % 2}", "one", read_by_all=2)
        mesh.start_server(node, f"i-{i}")
    mesh.wait_for_servers(4)
    for node in mesh.nodes:
        mesh.fleet.wait_for(lambda node=node: mesh.is_ready(node), "readiness")
    return mesh


def check_version_reaches(mesh, number, nodes):
    routes = [
        READ_ROUTE,
        ORDER_ROUTE,
        *(build_route(f"/v{n}/", "one") for n in range(number)),
    ]
    mesh.write_key("op/config", build_configuration(number, *routes))
    for node in nodes:
        path = f"/v{number - 1}/1"
        mesh.fleet.wait_for(
            lambda node=node, path=path: call(node, path, "n").status == 200,
            f"version {number} at {node.handle.name}",
        )


def has_logged(mesh, node, text):
    return text in (mesh.fleet.directory / f"{node.handle.name}.log").read_text()


def test_every_node_receives_each_change_through_readers(large_mesh):
    for number in range(2, 6):
        check_version_reaches(large_mesh, number, large_mesh.nodes)
    large_mesh.set_server_behaviour(large_mesh.nodes[3], state="draining")
    large_mesh.wait_for_servers(3)


def test_nodes_receive_changes_after_readers_are_killed_or_paused(large_mesh):
    large_mesh.fleet.kill_node(large_mesh.nodes[0].handle)
    pause_process(large_mesh.nodes[1].handle.process)
    check_version_reaches(large_mesh, 2, large_mesh.nodes[2:])
    for node in large_mesh.nodes[2:]:
        assert has_logged(large_mesh, node, "reader of the store is left out")


def test_zone_receives_changes_while_its_reader_has_no_store_access(large_mesh):
    large_mesh.fleet.label_processes()
    large_mesh.fleet.set_rule("zone-0", "store", "silence")
    check_version_reaches(large_mesh, 2, large_mesh.nodes)
    assert has_logged(large_mesh, large_mesh.nodes[0], "store lost")
    assert has_logged(
        large_mesh, large_mesh.nodes[2], "reader of the store is left out"
    )
