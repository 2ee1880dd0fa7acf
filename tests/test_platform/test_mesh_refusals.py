"""Refusals that a faulty back end repeats on a kept connection."""

from __future__ import annotations

import pytest

from bench.caller import Router
from bench.mesh import build_mesh_request
from bench.standins.mesh import REPEATED_REFUSALS
from tests.meshes import count_runs, start_mesh

ORDERS = 12
NOT_RUN_STATUSES = (408, 421, 429, 503)


@pytest.mark.parametrize("kind", sorted(REPEATED_REFUSALS))
def test_order_runs_once_and_is_not_called_refused_after_a_repeated_refusal(mesh, kind):
    start_mesh(mesh)
    for node in mesh.nodes:
        mesh.set_server_behaviour(node, repeated_refusal=kind, service_ms=20.0)
    routers = [Router(node.handle.entry_address) for node in mesh.nodes]
    for i in range(ORDERS):
        call_id = f"o{i}"
        request = build_mesh_request("/order/1", call_id, "POST", b"x" * 50)
        response = routers[i % len(routers)].call(request)
        assert response.status not in NOT_RUN_STATUSES
        assert count_runs(mesh, call_id) == 1
        if response.status == 200:
            assert response.get_header(b"x-request-id") == call_id.encode()
    for router in routers:
        router.close()
