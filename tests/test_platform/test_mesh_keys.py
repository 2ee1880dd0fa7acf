"""Requests with customers' keys, with real processes."""

from __future__ import annotations

import time

import pytest

from bench.caller import Router
from bench.mesh import (
    build_chunked_request,
    build_configuration,
    build_mesh_request,
    build_route,
)
from tests.meshes import READ_ROUTE, call, read_pipelined, start_mesh

KEY, OTHER_KEY = "qf75rjvz48wuakn2ftim", "aj3nr26tta828m82thhk"
OPEN_ROUTE = build_route("/open/", "one", public=True)
#: Retried at another node's server after the first one sheds it.
ORDER_ROUTE = build_route("/order/", "one", kind="non_idempotent", max_attempts=4)
BOUND_S = 3.0
SLOTS = 4  # of a server


def write_configuration(mesh, version, *keys):
    routes = (READ_ROUTE, OPEN_ROUTE, ORDER_ROUTE)
    tenants = [
        {"name": "huka270", "api_keys": list(keys), "priority": 0},
        {"name": "puhu251", "api_keys": [OTHER_KEY]},
    ]
    configuration = build_configuration(version, *routes)
    mesh.write_key("op/config", {**configuration, "tenants": tenants})


@pytest.fixture
def keyed_mesh(mesh):
    """Two nodes whose configuration has two customers with a key each."""
    start_mesh(mesh)
    write_configuration(mesh, 2, KEY)
    for node in mesh.nodes:
        mesh.fleet.wait_for(
            lambda node=node: call(node, "/read/1", "w").status == 401, "version 2"
        )
    return mesh


def find_customers(mesh, call_id):
    observed = [mesh.get_observed(node) for node in mesh.nodes]
    assert all(each["keys"] == 0 for each in observed)
    return [each["customers"][call_id] for each in observed if call_id in each["runs"]]


def test_servers_get_the_customer_and_never_the_key(keyed_mesh):
    headers = {"X_Tenant_Id": "puhu251", "Authorization": f"bearer  {KEY}"}
    for i in range(40):
        node = keyed_mesh.nodes[i % 2]
        method = "POST" if i % 3 else "GET"
        path = f"/order/{i}" if i % 3 else f"/read/{i}"
        assert call(node, path, f"c{i}", method, **headers).status == 200
        assert find_customers(keyed_mesh, f"c{i}") == [["huka270"]]
    assert all(keyed_mesh.get_observed(node)["runs"] for node in keyed_mesh.nodes)


def test_customer_stays_when_a_request_is_sent_again(keyed_mesh):
    first = keyed_mesh.nodes[0]
    keyed_mesh.set_server_behaviour(first, shed=True)
    headers = {"X_Tenant_Id": "puhu251", "Authorization": f"Bearer {KEY}"}
    for i in range(10):
        assert call(first, f"/order/{i}", f"r{i}", "POST", **headers).status == 200
        assert find_customers(keyed_mesh, f"r{i}") == [["huka270"]]


def test_request_on_a_public_route_needs_no_key_and_names_no_customer(keyed_mesh):
    assert (
        call(keyed_mesh.nodes[0], "/open/1", "o1", X_Tenant_Id="huka270").status == 200
    )
    assert find_customers(keyed_mesh, "o1") == [[]]
    unknown = {"X_Tenant_Id": "huka270", "Authorization": "Bearer unknown"}
    assert call(keyed_mesh.nodes[0], "/open/1", "o2", **unknown).status == 200
    assert find_customers(keyed_mesh, "o2") == [[]]


@pytest.mark.parametrize(
    "lines",
    [
        "",
        "Authorization: Bearer unknown\r\n",
        f"Authorization: Bearer {KEY.upper()}\r\n",
        f"Authorization: Bearer {KEY}\r\nauthorization: Bearer {OTHER_KEY}\r\n",
        f"Authorization: Bearer {KEY}\r\nConnection: authorization, close\r\n",
        "X-Tenant-Id: huka270\r\nMonsoontray-Customer: huka270\r\n",
    ],
)
def test_request_without_exactly_one_known_key_is_not_sent_on(keyed_mesh, lines):
    router = Router(keyed_mesh.nodes[0].handle.entry_address)
    head = f"GET /read/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: u\r\n{lines}"
    response = router.call(f"{head}\r\n".encode())
    router.close()
    assert response.status == 401
    assert find_customers(keyed_mesh, "u") == []


def test_key_in_a_trailer_counts_as_none(keyed_mesh):
    request = build_chunked_request("/order/1", "t", "POST", b"abcd")
    assert request.endswith(b"0\r\n\r\n")
    trailer = f"Authorization: Bearer {KEY}\r\nX-Tenant-Id: huka270\r\n\r\n".encode()
    router = Router(keyed_mesh.nodes[0].handle.entry_address)
    response = router.call(request[:-2] + trailer)
    router.close()
    assert response.status == 401
    assert find_customers(keyed_mesh, "t") == []


def test_key_is_not_logged(keyed_mesh):
    for key in (KEY, "unknown-key"):
        call(keyed_mesh.nodes[0], "/read/1", "l", Authorization=f"Bearer {key}")
    for node in keyed_mesh.nodes:
        log = (keyed_mesh.fleet.directory / f"{node.handle.name}.log").read_text()
        assert "unknown-customer" in log or node is not keyed_mesh.nodes[0]
        assert KEY not in log
        assert "unknown-key" not in log


def test_keys_are_taken_only_for_a_time_while_the_store_is_silent(mesh):
    """Nodes in each of two zones, one of which reads through the other's."""
    write_configuration(mesh, 1, KEY)
    for i in range(4):
        node = mesh.add_node(
            f"node-{i}", f"zone-{i % 2}", "one", read_by_all=2, key_withdrawal_s=BOUND_S
        )
        mesh.start_server(node, f"i-{i}")
    mesh.wait_for_servers(4)
    headers = {"Authorization": f"Bearer {KEY}"}
    end = time.monotonic() + 2 * BOUND_S
    while time.monotonic() < end:  # for twice the bound: it is proven all the while
        for node in mesh.nodes:
            assert call(node, "/read/1", "a", **headers).status == 200
    silent_since = time.monotonic()
    mesh.fleet.post_json(mesh.fleet.store_address, "/control", {"silent": True})
    assert call(mesh.nodes[0], "/read/1", "b", **headers).status == 200
    for node in mesh.nodes:
        mesh.fleet.wait_for(
            lambda node=node: call(node, "/read/1", "c", **headers).status == 503,
            "the end of the last proof",
        )
    assert time.monotonic() - silent_since < BOUND_S + 1.0
    refusal = call(mesh.nodes[3], "/read/1", "d", **headers)
    assert float(refusal.get_header(b"retry-after")) > 0.0
    assert call(mesh.nodes[3], "/open/1", "e").status == 200
    mesh.fleet.post_json(mesh.fleet.store_address, "/control", {"silent": False})
    for node in mesh.nodes:
        mesh.fleet.wait_for(
            lambda node=node: call(node, "/read/1", "f", **headers).status == 200,
            "a new proof",
        )


def test_key_that_is_withdrawn_while_its_request_waits_for_a_slot_is_not_used(mesh):
    start_mesh(mesh, count=1)
    (node,) = mesh.nodes
    write_configuration(mesh, 2, KEY)
    mesh.fleet.wait_for(lambda: call(node, "/read/1", "w").status == 401, "version 2")
    mesh.set_server_behaviour(node, service_ms=2_000)
    routers = [Router(node.handle.entry_address) for _ in range(SLOTS + 1)]
    for i, router in enumerate(routers[:SLOTS]):
        other = {"Authorization": f"Bearer {OTHER_KEY}"}
        router._sock.sendall(build_mesh_request(f"/read/{i}", f"full{i}", **other))
    mesh.fleet.wait_for(
        # The request that waited for version 2 may have run before that.
        lambda: len(mesh.get_observed(node)["runs"].keys() - {"w"}) == SLOTS,
        "requests in all slots",
    )
    own = {"Authorization": f"Bearer {KEY}"}
    routers[-1]._sock.sendall(build_mesh_request("/read/9", "waits", **own))
    mesh.fleet.wait_for(lambda: read_status(mesh, node)["waiting"] == 1, "the wait")
    write_configuration(mesh, 3)
    mesh.fleet.wait_for(lambda: read_status(mesh, node)["version"] == 3, "version 3")
    assert read_status(mesh, node)["waiting"] == 1
    assert [each.status for each in read_pipelined(routers[-1], 1)] == [401]
    assert find_customers(mesh, "waits") == []
    for router in routers:
        router.close()


def read_status(mesh, node):
    return mesh.fleet.get_json(node.handle.operator_address, "/status")["forwarding"]
