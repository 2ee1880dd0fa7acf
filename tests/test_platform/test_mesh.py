"""Requests through the platform's interfaces, with real processes."""

from __future__ import annotations

import pytest

from bench.caller import Router
from bench.mesh import build_configuration, build_mesh_request
from tests.meshes import READ_ROUTE, call, count_runs, read_pipelined, start_mesh


def test_request_reaches_server_of_its_route_unchanged(mesh):
    start_mesh(mesh)
    response = call(
        mesh.nodes[0], "/order/7", "c1", "POST", b"abc", X_Caller_Service="forged"
    )
    assert response.status == 200
    assert response.body.endswith(b" /order/7 3")
    assert response.get_header(b"x-response-seal").startswith(b"seal-of-i-")
    assert response.get_header(b"x-request-id") == b"c1"
    callers = [mesh.get_observed(node)["callers"] for node in mesh.nodes]
    assert {"one": 1} in callers
    assert call(mesh.nodes[0], "/nowhere/", "c2").status == 404


def test_pipelined_requests_run_concurrently_and_are_answered_in_order(mesh):
    start_mesh(mesh)
    for node in mesh.nodes:
        mesh.set_server_behaviour(node, service_ms=200)
    router = Router(mesh.nodes[0].handle.entry_address)
    requests = [build_mesh_request(f"/read/{i}", f"p{i}") for i in range(6)]
    router._sock.sendall(b"".join(requests))
    responses = read_pipelined(router, 6)
    assert [response.get_header(b"x-request-id") for response in responses] == [
        b"p%d" % i for i in range(6)
    ]
    assert [response.body.split()[1] for response in responses] == [
        b"/read/%d" % i for i in range(6)
    ]
    times = sorted(
        t for node in mesh.nodes for t in mesh.get_observed(node)["arrivals"]
    )
    assert times[5] - times[0] < 0.2
    router.close()


def test_node_is_ready_only_with_configuration_and_server(mesh):
    node = mesh.add_node("node-0", "zone-0", "one")
    mesh.start_server(node, "i-0")
    mesh.wait_for_servers(1)
    assert not mesh.is_ready(node)
    assert call(node, "/read/1", "c1").status == 503
    mesh.write_key("op/config", build_configuration(1, READ_ROUTE))
    mesh.fleet.wait_for(lambda: mesh.is_ready(node), "readiness")
    assert call(node, "/read/1", "c2").status == 200


@pytest.mark.parametrize("fault", ["lose", "unsealed", "truncate", "fail"])
def test_invalid_response_to_idempotent_request_is_replaced(mesh, fault):
    start_mesh(mesh)
    mesh.set_server_behaviour(mesh.nodes[0], **{fault: True})
    for i in range(8):
        response = call(mesh.nodes[0], f"/read/{i}", f"r{i}")
        assert response.status == 200
        assert response.get_header(b"x-response-seal") == b"seal-of-i-1"


@pytest.mark.parametrize("fault", ["lose", "unsealed", "truncate"])
def test_invalid_response_to_non_idempotent_request_is_not_retried(mesh, fault):
    start_mesh(mesh, 1)
    mesh.set_server_behaviour(mesh.nodes[0], **{fault: True})
    response = call(mesh.nodes[0], "/order/1", "o1", "POST", X_Deadline_Ms="800")
    assert response.status in (502, 504)
    assert count_runs(mesh, "o1") == 1


def test_response_to_another_request_is_discarded(mesh):
    start_mesh(mesh, 2)
    mesh.set_server_behaviour(mesh.nodes[0], extra=True)
    for node in mesh.nodes:
        for i in range(5):
            call_id = f"x{node.handle.name}{i}"
            response = call(node, "/order/1", call_id, "POST", b"abc")
            assert response.status == 200
            assert response.get_header(b"x-request-id") == call_id.encode()
            assert response.body.endswith(b" /order/1 3")
            assert count_runs(mesh, call_id) == 1


def test_non_idempotent_request_that_was_not_executed_is_sent_to_another_server(mesh):
    start_mesh(mesh)
    mesh.set_server_behaviour(mesh.nodes[0], shed=True)
    for i in range(4):
        response = call(mesh.nodes[0], f"/order/{i}", f"o{i}", "POST", b"x")
        assert response.status == 200
        assert count_runs(mesh, f"o{i}") == 1
    mesh.set_server_behaviour(mesh.nodes[1], shed=True)
    refused = call(mesh.nodes[0], "/order/9", "o9", "POST", b"x")
    assert refused.status == 503
    assert float(refused.get_header(b"retry-after")) > 0
    assert count_runs(mesh, "o9") == 0
