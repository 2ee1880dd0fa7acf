"""One node a zone reads the store for the others, with real processes."""

from __future__ import annotations

import pytest

from bench.mesh import build_configuration, build_route
from bench.processes import pause_process
from tests.meshes import ORDER, READ, call


@pytest.fixture
def large(mesh):
    """Give two zones of two nodes; the first of each zone reads the store."""
    mesh.fleet.start_proxy()
    mesh.order("op/config", build_configuration(1, READ, ORDER))
    for i in range(4):
        node = mesh.add_node(f"node-{i}", f"zone-{i % 2}", "one", read_by_all=2)
        mesh.start_server(node, f"i-{i}")
    mesh.wait_for_servers(4)
    for node in mesh.nodes:
        mesh.fleet.wait_for(lambda node=node: mesh.is_ready(node), "readiness")
    return mesh


def expect_version(mesh, number, nodes):
    routes = [READ, ORDER, *(build_route(f"/v{n}/", "one") for n in range(number))]
    mesh.order("op/config", build_configuration(number, *routes))
    for node in nodes:
        path = f"/v{number - 1}/1"
        mesh.fleet.wait_for(
            lambda node=node, path=path: call(node, path, "n").status == 200,
            f"version {number} at {node.handle.name}",
        )


def has_logged(mesh, node, text):
    return text in (mesh.fleet.directory / f"{node.handle.name}.log").read_text()


def test_every_node_hears_of_each_change_through_the_readers(large):
    for number in range(2, 6):
        expect_version(large, number, large.nodes)
    large.control(large.nodes[3], state="draining")
    large.wait_for_servers(3)


def test_the_others_go_on_when_the_readers_are_killed_or_stand_still(large):
    large.fleet.kill_node(large.nodes[0].handle)
    pause_process(large.nodes[1].handle.process)
    expect_version(large, 2, large.nodes[2:])
    for node in large.nodes[2:]:
        assert has_logged(large, node, "reader of the store is left out")


def test_a_zone_goes_on_when_the_store_turns_its_reader_away(large):
    large.fleet.label_processes()
    large.fleet.set_rule("zone-0", "store", "silence")
    expect_version(large, 2, large.nodes)
    assert has_logged(large, large.nodes[0], "store lost")
    assert has_logged(large, large.nodes[2], "reader of the store is left out")
