"""Clients and servers that stop reading for some seconds."""

from __future__ import annotations

import time

import pytest

from bench.caller import Router
from bench.mesh import build_mesh_request
from tests.meshes import start_mesh

PAUSE_S = 2.5
RECEIVE_BUFFER_BYTES = 4_096
ANSWER_BYTES = 30_000
UPLOAD = b"u" * 3_000_000  # more than the buffers between a node and a server hold


@pytest.mark.parametrize("headers", [{}, {"Connection": "close"}], ids=["kept", "last"])
def test_answers_reach_a_client_that_stops_reading_for_some_seconds(mesh, headers):
    """LOST: the system ended connections whose clients read nothing for 2 s."""
    start_mesh(mesh, 2)
    address = mesh.nodes[0].handle.entry_address
    router = Router(address, receive_buffer_bytes=RECEIVE_BUFFER_BYTES)
    large = {"X_Answer_Bytes": str(ANSWER_BYTES)}
    order = build_mesh_request("/order/1", "order", "POST", b"one", **headers, **large)
    reads = []
    if not headers:
        reads = [build_mesh_request("/read/1", f"r{i}", **large) for i in (1, 2)]
    router.send(b"".join((order, *reads)))
    router.wait_for_response()
    time.sleep(PAUSE_S)
    responses = [router.read_response() for _ in (order, *reads)]
    router.close()
    assert [each.status for each in responses] == [200] * len(responses)
    assert {len(each.body) for each in responses} == {ANSWER_BYTES}


@pytest.mark.parametrize("entry", [0, 1], ids=["beside the server", "in another zone"])
def test_upload_reaches_a_server_that_reads_it_late(mesh, entry):
    """502: the system ended connections whose servers read nothing for 2 s."""
    start_mesh(mesh, 1)
    mesh.add_node("node-1", "zone-1", "two")
    mesh.wait_for_servers(1)
    mesh.set_server_behaviour(mesh.nodes[0], read_after_ms=PAUSE_S * 1000)
    router = Router(mesh.nodes[entry].handle.entry_address)
    size = str(len(UPLOAD))
    response = router.call(
        build_mesh_request("/order/1", "upload", "POST", UPLOAD, X_Body_Bytes=size)
    )
    router.close()
    assert response.status == 200
    assert response.body.endswith(size.encode())
    assert mesh.get_observed(mesh.nodes[0])["runs"] == {"upload": 1}
