"""Start meshes of real processes and call them."""

from __future__ import annotations

from bench.caller import Response, Router
from bench.mesh import build_configuration, build_mesh_request, build_route

READ_ROUTE = build_route("/read/", "one")
ORDER_ROUTE = build_route("/order/", "one", kind="non_idempotent")


def start_mesh(mesh, count=2, version="v1", **settings):
    mesh.write_key("op/config", build_configuration(1, READ_ROUTE, ORDER_ROUTE))
    for i in range(count):
        node = mesh.add_node(f"node-{i}", f"zone-{i}", "one", **settings)
        mesh.start_server(node, f"i-{i}", version)
    mesh.wait_for_servers(count)
    for node in mesh.nodes:
        mesh.fleet.wait_for(lambda node=node: mesh.is_ready(node), "readiness")


def call(node, path, call_id, method="GET", body=b"", **headers):
    router = Router(node.handle.entry_address)
    try:
        return router.call(build_mesh_request(path, call_id, method, body, **headers))
    finally:
        router.close()


def read_pipelined(router, count):
    """Return ``count`` responses, several of which may arrive in one read."""
    data, responses = b"", []
    while len(responses) < count:
        head, separator, body_data = data.partition(b"\r\n\r\n")
        length = Response(0, head, b"").get_header(b"content-length")
        if separator and len(body_data) >= int(length):
            responses.append(Response(int(head[9:12]), head, body_data[: int(length)]))
            data = body_data[int(length) :]
            continue
        chunk = router._sock.recv(65_536)
        assert chunk
        data += chunk
    return responses


def count_runs(mesh, call_id):
    servers = [node for node in mesh.nodes if node.backend is not None]
    return sum(mesh.get_observed(node)["runs"].get(call_id, 0) for node in servers)
