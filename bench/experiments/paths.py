"""The two-node fleet on which latency and throughput are measured."""

from __future__ import annotations

from dataclasses import dataclass

from bench.caller import build_request
from bench.fleet import Fleet
from bench.lists import build_customer, build_lists, build_plan, build_route

TOKEN = "token-of-the-bench"
PATH = "/catalogue/item"


@dataclass(slots=True, frozen=True)
class PathAddresses:
    """Addresses at which a call passes no node, one node or two nodes."""

    direct: str
    one_node: str
    two_nodes: str


def start_two_nodes(fleet: Fleet, slots: int = 9) -> PathAddresses:
    """Start two nodes in two zones and a backend server beside the first node."""
    fleet.start_store()
    near = fleet.add_node("near", "zone-a")
    far = fleet.add_node("far", "zone-b")
    for node in fleet.nodes:
        fleet.start_node(node)
    for node in fleet.nodes:
        fleet.wait_for_node(node)
    backend = fleet.start_backend("server", "catalogue", near, f"--slots={slots}")
    fleet.wait_for_servers("catalogue", 1)
    lists = build_lists(
        [build_customer("router", "plan", TOKEN)],
        [build_plan("plan", [build_route("/catalogue", "catalogue")])],
        ["catalogue"],
    )
    proposal = {"based_on": 0, "author": "bench", "lists": lists}
    fleet.post_json(near.operator_address, "/config", proposal)
    fleet.wait_for_version(1)
    return PathAddresses(backend.address, near.entry_address, far.entry_address)


def build_measured_request() -> bytes:
    """Return the bytes of the measured request."""
    return build_request(PATH, TOKEN)
