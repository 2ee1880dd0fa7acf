"""What the operator orders and servers announce, with real processes."""

from __future__ import annotations

import signal

from bench.caller import Router
from bench.mesh import build_configuration, build_mesh_request, build_route
from tests.meshes import ORDER, READ, call, start


def test_configurations_only_go_forward(mesh):
    start(mesh)
    moved = build_route("/new/", "one")
    mesh.order("op/config", build_configuration(5, READ, moved))
    for node in mesh.nodes:
        mesh.fleet.wait_for(
            lambda node=node: call(node, "/new/1", "n").status == 200, "version 5"
        )
    mesh.order("op/config", build_configuration(4, READ, ORDER))
    mesh.order("op/config", {"version": "00000009", "routes": "none"})
    mesh.order(
        "op/config", build_configuration(6, READ, moved, build_route("/x/", "one"))
    )
    for node in mesh.nodes:
        mesh.fleet.wait_for(
            lambda node=node: call(node, "/x/1", "n").status == 200, "version 6"
        )
        assert call(node, "/order/1", "o", "POST").status == 404


def test_a_server_that_leaves_gets_nothing_once_that_is_acknowledged(mesh):
    start(mesh)
    mesh.control(mesh.nodes[0], state="draining")
    mesh.wait_for_servers(1)
    before = len(mesh.observe(mesh.nodes[0])["arrivals"])
    for i in range(10):
        assert call(mesh.nodes[0], f"/read/{i}", f"r{i}").status == 200
    assert len(mesh.observe(mesh.nodes[0])["arrivals"]) == before


def test_an_evacuated_zone_gets_nothing_until_it_is_taken_back(mesh):
    start(mesh)
    mesh.order("op/evacuate/zone-0", {})

    def count():
        return len(mesh.observe(mesh.nodes[0])["arrivals"])

    def is_out():
        before = count()
        return (
            all(call(mesh.nodes[0], "/read/1", f"e{i}").status == 200 for i in range(5))
            and count() == before
        )

    mesh.fleet.wait_for(is_out, "the evacuation")
    mesh.take_back("op/evacuate/zone-0")
    before = count()
    mesh.fleet.wait_for(
        lambda: call(mesh.nodes[0], "/read/1", "b") and count() > before, "the return"
    )


def test_a_node_that_the_store_turns_away_learns_from_its_peers(mesh):
    mesh.fleet.start_proxy()
    start(mesh, 3)
    cut = mesh.nodes[0]
    mesh.fleet.set_rule(cut.handle.zone, "store", "silence")
    mesh.fleet.set_rule("*", "store", "pass")
    mesh.order("op/config", build_configuration(2, READ, build_route("/new/", "one")))
    for node in mesh.nodes:
        mesh.fleet.wait_for(
            lambda node=node: call(node, "/new/1", "n").status == 200, "version 2"
        )


def test_changed_settings_are_taken_over_whole_or_not_at_all(mesh):
    start(mesh, 1)
    node = mesh.nodes[0].handle
    good = node.settings_file.read_text()
    log = mesh.fleet.directory / "node-0.log"
    for content, told in (
        ("{", "changed settings refused"),
        (good.replace('"node-0"', "7"), "changed settings refused"),
        (good.replace("{", '{"max_attempts": 2, ', 1), "max_attempts"),
    ):
        node.settings_file.write_text(content)
        node.process.send_signal(signal.SIGHUP)
        mesh.fleet.wait_for(lambda told=told: told in log.read_text(), told)
        assert call(mesh.nodes[0], "/read/1", "s").status == 200


def run_rollout(mesh, **behaviour):
    start(mesh, 2)
    for i in (2, 3):
        node = mesh.add_node(f"node-{i}", f"zone-{i - 2}", "one")
        mesh.start_server(node, f"i-{i}", "v2")
        mesh.control(node, **behaviour)
    order = {"service": "one", "target_version": "v2", "period_s": 6.0}
    mesh.order("op/rollout/one", order)
    mesh.wait_for_servers(4)
    routers = [Router(node.handle.entry) for node in mesh.nodes]
    state, count = None, 0
    while state not in ("done", "rolled_back") and count < 20_000:
        for router in routers:
            router.call(build_mesh_request("/read/1", f"w{count}"))
            count += 1
        if count % 100 == 0:
            status = mesh.read("status/rollout/one") or {}
            state = status.get("state")
    return state


def test_a_good_version_is_done_in_time_and_takes_all(mesh):
    assert run_rollout(mesh) == "done"
    mesh.fleet.wait_for(
        lambda: call(mesh.nodes[0], "/read/1", "a").body.startswith((b"i-2", b"i-3")),
        "the new version",
    )


def test_a_bad_version_is_taken_back_and_gets_nothing_more(mesh):
    assert run_rollout(mesh, fail=True) == "rolled_back"
    bad = sum(len(mesh.observe(node)["arrivals"]) for node in mesh.nodes[2:])
    assert bad < 150
    for node in mesh.nodes:
        for i in range(20):
            assert call(node, "/read/1", f"a{i}").body.startswith((b"i-0", b"i-1"))
    after = sum(len(mesh.observe(node)["arrivals"]) for node in mesh.nodes[2:])
    assert after == bad
