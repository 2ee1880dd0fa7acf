"""Calls, orders and faults through real processes on the platform's interfaces."""

from __future__ import annotations

import signal

import pytest

from bench.caller import Response, Router
from bench.fleet import Fleet
from bench.mesh import Mesh, build_configuration, build_mesh_request, build_route

READ = build_route("/read/", "one")
ORDER = build_route("/order/", "one", kind="non_idempotent")


@pytest.fixture
def mesh():
    with Fleet() as fleet:
        fleet.start_store()
        yield Mesh(fleet)


def start(mesh, count=2, version="v1"):
    mesh.order("op/config", build_configuration(1, READ, ORDER))
    for i in range(count):
        node = mesh.add_node(f"node-{i}", f"zone-{i}", "one")
        mesh.start_server(node, f"i-{i}", version)
    mesh.wait_for_servers(count)
    for node in mesh.nodes:
        mesh.fleet.wait_for(lambda node=node: mesh.is_ready(node), "readiness")


def call(node, path, call_id, method="GET", body=b"", **headers):
    router = Router(node.handle.entry)
    try:
        return router.call(build_mesh_request(path, call_id, method, body, **headers))
    finally:
        router.close()


def read_pipelined(router, count):
    """Return so many responses that may arrive together."""
    data, answers = b"", []
    while len(answers) < count:
        head, separator, rest = data.partition(b"\r\n\r\n")
        length = Response(0, head, b"").find(b"content-length")
        if separator and len(rest) >= int(length):
            answers.append(Response(int(head[9:12]), head, rest[: int(length)]))
            data = rest[int(length) :]
            continue
        part = router._sock.recv(65_536)
        assert part
        data += part
    return answers


def count_runs(mesh, call_id):
    servers = [node for node in mesh.nodes if node.backend is not None]
    return sum(mesh.observe(node)["runs"].get(call_id, 0) for node in servers)


def test_calls_reach_the_servers_of_their_route_as_they_were_sent(mesh):
    start(mesh)
    response = call(
        mesh.nodes[0], "/order/7", "c1", "POST", b"abc", X_Caller_Service="forged"
    )
    assert response.status == 200
    assert response.body.endswith(b" /order/7 3")
    assert response.find(b"x-response-seal").startswith(b"seal-of-i-")
    assert response.find(b"x-request-id") == b"c1"
    callers = [mesh.observe(node)["callers"] for node in mesh.nodes]
    assert {"one": 1} in callers
    assert call(mesh.nodes[0], "/nowhere/", "c2").status == 404


def test_pipelined_requests_run_together_and_are_answered_in_order(mesh):
    start(mesh)
    for node in mesh.nodes:
        mesh.control(node, service_ms=200)
    router = Router(mesh.nodes[0].handle.entry)
    requests = [build_mesh_request(f"/read/{i}", f"p{i}") for i in range(6)]
    router._sock.sendall(b"".join(requests))
    answers = read_pipelined(router, 6)
    assert [a.find(b"x-request-id") for a in answers] == [b"p%d" % i for i in range(6)]
    assert [a.body.split()[1] for a in answers] == [b"/read/%d" % i for i in range(6)]
    times = sorted(t for node in mesh.nodes for t in mesh.observe(node)["arrivals"])
    assert times[5] - times[0] < 0.2
    router.close()


def test_a_node_is_ready_only_with_a_configuration_and_servers(mesh):
    node = mesh.add_node("node-0", "zone-0", "one")
    mesh.start_server(node, "i-0")
    mesh.wait_for_servers(1)
    assert not mesh.is_ready(node)
    assert call(node, "/read/1", "c1").status == 503
    mesh.order("op/config", build_configuration(1, READ))
    mesh.fleet.wait_for(lambda: mesh.is_ready(node), "readiness")
    assert call(node, "/read/1", "c2").status == 200


@pytest.mark.parametrize("fault", ["lose", "unsealed", "truncate", "fail"])
def test_a_spoiled_answer_is_replaced_where_the_request_may_repeat(mesh, fault):
    start(mesh)
    mesh.control(mesh.nodes[0], **{fault: True})
    for i in range(8):
        response = call(mesh.nodes[0], f"/read/{i}", f"r{i}")
        assert response.status == 200
        assert response.find(b"x-response-seal") == b"seal-of-i-1"


@pytest.mark.parametrize("fault", ["lose", "unsealed", "truncate"])
def test_a_spoiled_answer_to_an_order_is_unknown_and_never_repeated(mesh, fault):
    start(mesh, 1)
    mesh.control(mesh.nodes[0], **{fault: True})
    response = call(mesh.nodes[0], "/order/1", "o1", "POST", X_Deadline_Ms="800")
    assert response.status in (502, 504)
    assert count_runs(mesh, "o1") == 1


def test_an_answer_to_another_request_is_left_out(mesh):
    start(mesh, 2)
    mesh.control(mesh.nodes[0], extra=True)
    for node in mesh.nodes:
        for i in range(5):
            call_id = f"x{node.handle.name}{i}"
            response = call(node, "/order/1", call_id, "POST", b"abc")
            assert response.status == 200
            assert response.find(b"x-request-id") == call_id.encode()
            assert response.body.endswith(b" /order/1 3")
            assert count_runs(mesh, call_id) == 1


def test_an_order_that_a_server_did_not_run_goes_elsewhere(mesh):
    start(mesh)
    mesh.control(mesh.nodes[0], shed=True)
    for i in range(4):
        response = call(mesh.nodes[0], f"/order/{i}", f"o{i}", "POST", b"x")
        assert response.status == 200
        assert count_runs(mesh, f"o{i}") == 1
    mesh.control(mesh.nodes[1], shed=True)
    refused = call(mesh.nodes[0], "/order/9", "o9", "POST", b"x")
    assert refused.status == 503
    assert float(refused.find(b"retry-after")) > 0
    assert count_runs(mesh, "o9") == 0


def test_a_request_that_a_server_does_not_answer_is_given_to_another(mesh):
    start(mesh)
    for i in range(20):
        assert call(mesh.nodes[0], f"/read/{i}", f"w{i}").status == 200
    mesh.control(mesh.nodes[0], silent=True)
    for i in range(3):
        response = call(mesh.nodes[0], f"/read/{i}", f"s{i}", X_Deadline_Ms="2000")
        assert response.status == 200
        assert response.find(b"x-response-seal") == b"seal-of-i-1"
    order = call(mesh.nodes[0], "/order/1", "s9", "POST", X_Deadline_Ms="600")
    assert order.status in (200, 504)
    assert count_runs(mesh, "s9") == 1


def test_a_slow_answer_is_waited_for_while_no_other_server_has_room(mesh):
    start(mesh)
    first, second = mesh.nodes
    for i in range(20):
        for node in mesh.nodes:
            assert call(node, f"/read/{i}", f"w{node.handle.name}{i}").status == 200
    for node in mesh.nodes:
        mesh.control(node, service_ms=1_000)
    routers = [Router(second.handle.entry) for _ in range(4)]
    for i, router in enumerate(routers):  # they fill the second server
        router._sock.sendall(build_mesh_request(f"/read/{i}", f"full{i}"))
    mesh.fleet.wait_for(
        lambda: (
            len(mesh.observe(second)["runs"]) + len(mesh.observe(first)["runs"]) >= 44
        ),
        "both servers at work",
    )
    response = call(first, "/read/9", "slow", X_Deadline_Ms="3500")
    assert response.status == 200
    assert count_runs(mesh, "slow") <= 2
    for router in routers:
        router.close()


def test_a_server_that_breaks_answers_off_is_not_taken_for_a_cold_one(mesh):
    start(mesh, 1)
    node = mesh.nodes[0]
    assert call(node, "/order/0", "b0", "POST").status == 200
    mesh.control(node, lose=True, silence=True)
    assert call(node, "/order/1", "b1", "POST").status == 502
    mesh.control(node, silence=True)
    # A cold server would get 31 calls in these bounds.
    statuses = [call(node, "/order/2", f"b2{i}", "POST").status for i in range(60)]
    assert statuses == [200] * 60


def test_a_node_that_stands_still_is_avoided_until_it_answers(mesh):
    start(mesh, 3)
    for i in range(6):
        assert call(mesh.nodes[0], f"/read/{i}", f"a{i}").status == 200
    frozen = mesh.nodes[1].handle.process
    backend = mesh.nodes[1].backend.process
    frozen.send_signal(signal.SIGSTOP)
    backend.send_signal(signal.SIGSTOP)
    try:
        for i in range(30):
            response = call(mesh.nodes[0], f"/read/{i}", f"z{i}", X_Deadline_Ms="2000")
            assert response.status == 200
    finally:
        frozen.send_signal(signal.SIGCONT)
        backend.send_signal(signal.SIGCONT)


def test_an_order_goes_elsewhere_from_a_node_that_stands_still(mesh):
    mesh.order("op/config", build_configuration(1, READ, ORDER))
    entry = mesh.add_node("node-0", "zone-0", "two")
    for i in (1, 2):
        mesh.start_server(mesh.add_node(f"node-{i}", "zone-0", "one"), f"i-{i}")
    mesh.wait_for_servers(2)
    mesh.fleet.wait_for(lambda: mesh.is_ready(entry), "readiness")
    mesh.control(mesh.nodes[2], service_ms=100)  # so that the other one is preferred
    for i in range(10):
        assert call(entry, f"/read/{i}", f"r{i}").status == 200
    frozen = mesh.nodes[1].handle.process
    frozen.send_signal(signal.SIGSTOP)
    try:
        for i in range(10):
            order = call(entry, f"/order/{i}", f"o{i}", "POST", b"x" * 100)
            assert order.status == 200
    finally:
        frozen.send_signal(signal.SIGCONT)
    assert [count_runs(mesh, f"o{i}") for i in range(10)] == [1] * 10


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


def test_a_killed_node_and_its_server_are_replaced_by_the_others(mesh):
    start(mesh, 3)
    mesh.fleet.kill_node(mesh.nodes[1].handle)
    for i in range(30):
        assert call(mesh.nodes[0], f"/read/{i}", f"k{i}").status == 200


def test_a_planned_stop_cuts_nothing_and_says_so_first(mesh):
    start(mesh, 2)
    for node in mesh.nodes:
        mesh.control(node, service_ms=300)
    stopped = mesh.nodes[0]
    router = Router(stopped.handle.entry)
    router._sock.sendall(build_mesh_request("/order/1", "s1", "POST", b"x"))
    mesh.fleet.wait_for(lambda: count_runs(mesh, "s1"), "the order")
    stopped.handle.process.send_signal(signal.SIGTERM)
    mesh.fleet.wait_for(lambda: not mesh.is_ready(stopped), "unreadiness")
    assert router.read_response().status == 200
    assert stopped.handle.process.wait(10) == 0
    router.close()


def test_a_server_is_used_while_its_stopping_node_still_takes_calls(mesh):
    mesh.order("op/config", build_configuration(1, READ, ORDER))
    for i in range(2):
        node = mesh.add_node(f"node-{i}", f"zone-{i}", "one", stop_notice_ms=2_500)
        mesh.start_server(node, f"i-{i}")
    mesh.wait_for_servers(2)
    first, second = mesh.nodes
    for node in mesh.nodes:
        mesh.fleet.wait_for(lambda node=node: mesh.is_ready(node), "readiness")
    mesh.control(first, shed=True)
    second.handle.process.send_signal(signal.SIGTERM)
    mesh.fleet.wait_for(lambda: not mesh.is_ready(second), "no longer ready")
    for i in range(40):
        assert call(first, f"/order/{i}", f"u{i}", "POST").status == 200
    mesh.fleet.wait_for(lambda: mesh.count_servers(first) == 1, "word of the stop")
    second.handle.process.wait(timeout=10)


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
