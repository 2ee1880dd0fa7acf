"""Orders of the operator and announcements of servers, with real processes."""

from __future__ import annotations

import signal

from bench.caller import Router
from bench.mesh import build_configuration, build_mesh_request, build_route
from tests.meshes import ORDER_ROUTE, READ_ROUTE, call, start_mesh


def test_older_and_invalid_configurations_are_ignored(mesh):
    start_mesh(mesh)
    new_route = build_route("/new/", "one")
    mesh.write_key("op/config", build_configuration(5, READ_ROUTE, new_route))
    for node in mesh.nodes:
        mesh.fleet.wait_for(
            lambda node=node: call(node, "/new/1", "n").status == 200, "version 5"
        )
    mesh.write_key("op/config", build_configuration(4, READ_ROUTE, ORDER_ROUTE))
    mesh.write_key("op/config", {"version": "00000009", "routes": "none"})
    mesh.write_key(
        "op/config",
        build_configuration(6, READ_ROUTE, new_route, build_route("/x/", "one")),
    )
    for node in mesh.nodes:
        mesh.fleet.wait_for(
            lambda node=node: call(node, "/x/1", "n").status == 200, "version 6"
        )
        assert call(node, "/order/1", "o", "POST").status == 404


def test_draining_server_receives_no_further_requests(mesh):
    start_mesh(mesh)
    mesh.set_server_behaviour(mesh.nodes[0], state="draining")
    mesh.wait_for_servers(1)
    arrivals_before = len(mesh.get_observed(mesh.nodes[0])["arrivals"])
    for i in range(10):
        assert call(mesh.nodes[0], f"/read/{i}", f"r{i}").status == 200
    assert len(mesh.get_observed(mesh.nodes[0])["arrivals"]) == arrivals_before


def test_evacuated_zone_receives_no_requests_until_evacuation_ends(mesh):
    start_mesh(mesh)
    mesh.write_key("op/evacuate/zone-0", {})

    def count_arrivals():
        return len(mesh.get_observed(mesh.nodes[0])["arrivals"])

    def is_evacuated():
        arrivals_before = count_arrivals()
        return (
            all(call(mesh.nodes[0], "/read/1", f"e{i}").status == 200 for i in range(5))
            and count_arrivals() == arrivals_before
        )

    mesh.fleet.wait_for(is_evacuated, "the evacuation")
    mesh.remove_key("op/evacuate/zone-0")
    arrivals_before = count_arrivals()
    mesh.fleet.wait_for(
        lambda: (
            call(mesh.nodes[0], "/read/1", "b") and count_arrivals() > arrivals_before
        ),
        "the end of the evacuation",
    )


def test_node_without_store_access_learns_configuration_from_peers(mesh):
    mesh.fleet.start_proxy()
    start_mesh(mesh, 3)
    isolated = mesh.nodes[0]
    mesh.fleet.set_rule(isolated.handle.zone, "store", "silence")
    mesh.fleet.set_rule("*", "store", "pass")
    mesh.write_key(
        "op/config", build_configuration(2, READ_ROUTE, build_route("/new/", "one"))
    )
    for node in mesh.nodes:
        mesh.fleet.wait_for(
            lambda node=node: call(node, "/new/1", "n").status == 200, "version 2"
        )


def test_invalid_changed_settings_are_refused_as_a_whole(mesh):
    start_mesh(mesh, 1)
    node = mesh.nodes[0].handle
    valid_settings = node.settings_file.read_text()
    log = mesh.fleet.directory / "node-0.log"
    for content, expected_text in (
        ("{", "changed settings refused"),
        (valid_settings.replace('"node-0"', "7"), "changed settings refused"),
        (valid_settings.replace("{", '{"max_attempts": 2, ', 1), "max_attempts"),
    ):
        node.settings_file.write_text(content)
        node.process.send_signal(signal.SIGHUP)
        mesh.fleet.wait_for(
            lambda expected_text=expected_text: expected_text in log.read_text(),
            expected_text,
        )
        assert call(mesh.nodes[0], "/read/1", "s").status == 200


def run_rollout(mesh, **behaviour):
    start_mesh(mesh, 2)
    for i in (2, 3):
        node = mesh.add_node(f"node-{i}", f"zone-{i - 2}", "one")
        mesh.start_server(node, f"i-{i}", "v2")
        mesh.set_server_behaviour(node, **behaviour)
    order = {"service": "one", "target_version": "v2", "period_s": 6.0}
    mesh.write_key("op/rollout/one", order)
    mesh.wait_for_servers(4)
    routers = [Router(node.handle.entry_address) for node in mesh.nodes]
    state, count = None, 0
    while state not in ("done", "rolled_back") and count < 20_000:
        for router in routers:
            router.call(build_mesh_request("/read/1", f"w{count}"))
            count += 1
        if count % 100 == 0:
            status = mesh.read_key("status/rollout/one") or {}
            state = status.get("state")
    return state


def test_rollout_of_good_version_completes_and_receives_calls(mesh):
    assert run_rollout(mesh) == "done"
    mesh.fleet.wait_for(
        lambda: call(mesh.nodes[0], "/read/1", "a").body.startswith((b"i-2", b"i-3")),
        "a response of the new version",
    )


def test_failing_version_is_rolled_back_and_receives_no_more_calls(mesh):
    assert run_rollout(mesh, fail=True) == "rolled_back"
    arrivals_before = sum(
        len(mesh.get_observed(node)["arrivals"]) for node in mesh.nodes[2:]
    )
    assert arrivals_before < 150
    for node in mesh.nodes:
        for i in range(20):
            assert call(node, "/read/1", f"a{i}").body.startswith((b"i-0", b"i-1"))
    arrivals_after = sum(
        len(mesh.get_observed(node)["arrivals"]) for node in mesh.nodes[2:]
    )
    assert arrivals_after == arrivals_before
