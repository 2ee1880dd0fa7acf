"""Fleets shared by integration tests."""

from __future__ import annotations

from typing import Any

from bench.caller import Response, Router, build_request
from bench.fleet import Fleet, NodeHandle
from bench.lists import build_customer, build_lists, build_plan, build_route

TOKEN = "token-of-the-tests"
ZONES = ("zone-a", "zone-b", "zone-c")
FAST_START = {"start_spread_ms": 50}
SERVICES = ("catalogue", "slow", "nowhere")


def start_three_nodes(fleet: Fleet, **settings: Any) -> None:
    """Start a store, three nodes and three backend servers."""
    fleet.start_store()
    for i, zone in enumerate(ZONES):
        fleet.start_node(fleet.add_node(f"node-{i}", zone, **settings))
    for node in fleet.nodes:
        fleet.wait_for_node(node)
    fleet.start_backend("catalogue-0", "catalogue", fleet.nodes[0])
    fleet.start_backend("catalogue-1", "catalogue", fleet.nodes[1])
    fleet.start_backend(
        "slow-0", "slow", fleet.nodes[0], "--slots=2", "--service_ms=200"
    )
    fleet.wait_for_servers("catalogue", 2)
    fleet.wait_for_servers("slow", 1)


def call(address: str, path: str, method: str = "GET", **options: Any) -> Response:
    """Send one call over a new connection."""
    router = Router(address)
    try:
        return router.call(build_request(path, TOKEN, method, **options))
    finally:
        router.close()


def get_observed(fleet: Fleet, server: str) -> Any:
    """Return what a backend server has counted of its calls."""
    for backend in fleet.backends:
        if backend.name == server:
            return fleet.get_json(backend.address, "/_observed")
    raise LookupError(server)


def start_single_server_fleet(
    fleet: Fleet, *flags: str, **settings: Any
) -> tuple[NodeHandle, NodeHandle]:
    """Start an entry node, a guard node and one server beside the guard node."""
    fleet.start_store()
    entry = fleet.add_node("entry", "zone-a", **settings)
    guard = fleet.add_node("guard", "zone-b", **settings)
    for node in (entry, guard):
        fleet.start_node(node)
    for node in (entry, guard):
        fleet.wait_for_node(node)
    fleet.start_backend("one", "catalogue", guard, *flags)
    fleet.wait_for_servers("catalogue", 1)
    lists = build_lists(
        [build_customer("router", "plan", TOKEN)],
        [build_plan("plan", [build_route("/catalogue", "catalogue")])],
        ["catalogue"],
    )
    proposal = {"based_on": 0, "author": "test", "lists": lists}
    fleet.post_json(entry.operator_address, "/config", proposal)
    fleet.wait_for_version(1)
    return entry, guard


def get_refusal(response: Response) -> tuple[bytes, bytes]:
    """Return the reason of a refusal and whether the call ran."""
    return (
        response.get_header(b"monsoontray-refusal"),
        response.get_header(b"monsoontray-ran"),
    )
