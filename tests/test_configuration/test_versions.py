"""Tests of versions on running nodes behind a proxy that injects faults."""

from __future__ import annotations

import base64
import json
import signal

import msgspec

from bench.fleet import Fleet
from bench.lists import build_customer, build_lists, build_plan, build_route
from bench.processes import pause_process
from tests.fleets import TOKEN, ZONES, call


def start(fleet: Fleet, count: int, **settings) -> None:
    fleet.start_store()
    fleet.start_proxy()
    for i in range(count):
        fleet.start_node(fleet.add_node(f"node-{i}", ZONES[i % 3], **settings))
    fleet.label_processes()
    for node in fleet.nodes:
        fleet.wait_for_node(node)
    fleet.start_backend("one", "catalogue", fleet.nodes[0])
    fleet.wait_for_servers("catalogue", 1)


def propose(fleet: Fleet, number: int, node: int = 0):
    lists = build_lists(
        [build_customer("router", "plan", TOKEN)],
        [build_plan("plan", [build_route(f"/v{number}", "catalogue")])],
        ["catalogue"],
    )
    proposal = {"based_on": number - 1, "author": "test", "lists": lists}
    return fleet.post_json(fleet.nodes[node].operator_address, "/config", proposal)[
        "outcome"
    ]


def read_version(fleet: Fleet, node) -> int:
    status = fleet.get_json(node.operator_address, "/status")
    return -1 if status is None else status["version"]


def test_node_restarted_during_store_outage_serves_no_older_version(fleet):
    start(fleet, 4)
    for number in (1, 2):
        assert propose(fleet, number) == "accepted"
        fleet.wait_for_version(number)
    node = fleet.nodes[3]
    fleet.kill_node(node)
    seeds = [each.peer_address for each in fleet.nodes[:3]]
    document = json.loads(node.settings_file.read_text())
    node.settings_file.write_text(json.dumps({**document, "seeds": seeds}))
    fleet.post_json(fleet.store_address, "/control", {"out": True})
    fleet.start_node(node)
    fleet.wait_for_node(node)
    seen = {read_version(fleet, node)}

    def is_current() -> bool:
        seen.add(read_version(fleet, node))
        return 2 in seen

    fleet.wait_for(is_current, "version 2 without the store")
    assert seen <= {0, 2}
    assert call(node.entry_address, "/v2").status == 200
    assert call(node.entry_address, "/v1").status == 403


def test_nodes_keep_serving_during_store_outage_and_catch_up(fleet):
    start(fleet, 3)
    assert propose(fleet, 1) == "accepted"
    fleet.wait_for_version(1)
    fleet.post_json(fleet.store_address, "/control", {"out": True})
    for node in fleet.nodes:
        assert call(node.entry_address, "/v1").status == 200
    assert propose(fleet, 2) in ("not-done", "unknown")
    fleet.post_json(fleet.store_address, "/control", {})
    fleet.wait_for(lambda: propose(fleet, 2) in ("accepted", "overtaken"), "a change")
    fleet.wait_for_version(2)


def test_partitioned_zone_keeps_serving_and_catches_up(fleet):
    start(fleet, 6, watch_lease_ms=1_000, store_timeout_ms=500)
    fleet.start_backend("two", "catalogue", fleet.nodes[2])
    fleet.wait_for_servers("catalogue", 2)
    assert propose(fleet, 1) == "accepted"
    fleet.wait_for_version(1)
    cut = ZONES[2]
    for other in (ZONES[0], ZONES[1], "store"):
        fleet.set_rule(cut, other, "silence")
        fleet.set_rule(other, cut, "silence")
    assert propose(fleet, 2) == "accepted"
    outside = [node for node in fleet.nodes if node.zone != cut]
    inside = [node for node in fleet.nodes if node.zone == cut]
    for node in outside:
        fleet.wait_for(
            lambda n=node: read_version(fleet, n) == 2, f"version 2 at {node.name}"
        )
    for node in inside:
        assert read_version(fleet, node) == 1
        assert call(node.entry_address, "/v1").status == 200
    for other in (ZONES[0], ZONES[1], "store"):
        fleet.set_rule(cut, other, "pass")
        fleet.set_rule(other, cut, "pass")
    fleet.wait_for_version(2)


def test_paused_watchers_are_replaced_and_revert_no_version(fleet):
    start(fleet, 6, watch_lease_ms=1_000, store_timeout_ms=500)
    assert propose(fleet, 1) == "accepted"
    fleet.wait_for_version(1)

    def find_watching() -> set[str]:
        status = fleet.get_json(fleet.nodes[0].operator_address, "/status")
        found = {node["node"] for node in status["nodes"] if node["watching"]}
        return found if len(found) == len(ZONES) else set()

    watching = fleet.wait_for(find_watching, "a watcher in each zone")
    paused = [node for node in fleet.nodes if node.name in watching]
    running = [node for node in fleet.nodes if node.name not in watching]
    for node in paused:
        pause_process(node.process)
    index = fleet.nodes.index(running[0])
    for number in (2, 3):
        assert propose(fleet, number, index) == "accepted"
        for node in running:
            fleet.wait_for(
                lambda n=node, v=number: read_version(fleet, n) == v,
                f"version {number} at {node.name}",
            )
    for node in paused:
        node.process.send_signal(signal.SIGCONT)
    fleet.wait_for_version(3)


def test_corrupt_version_in_the_store_is_refused(fleet):
    start(fleet, 2)
    assert propose(fleet, 1) == "accepted"
    fleet.wait_for_version(1)
    url = f"http://{fleet.store_address}"
    head = fleet.http.request("GET", f"{url}/kv-key?key=config/head").json()
    bad = msgspec.json.encode({"number": 2, "digest": "0" * 64})
    condition = {"key": "config/head", "revision": head["revision"]}
    put = {"key": "config/head", "value": base64.b64encode(bad).decode()}
    body = json.dumps({"expect": [condition], "puts": [put]}).encode()
    response = fleet.http.request("POST", f"{url}/kv-txn", body=body)
    assert response.status == 200

    def is_refusal_reported() -> bool:
        status = fleet.get_json(fleet.nodes[0].operator_address, "/status")
        return "version 2" in status["refused"]

    fleet.wait_for(is_refusal_reported, "the refusal")
    for node in fleet.nodes:
        assert call(node.entry_address, "/v1").status == 200
        assert read_version(fleet, node) == 1


def test_silent_connections_between_nodes_are_replaced(fleet):
    start(fleet, 4)
    assert propose(fleet, 1) == "accepted"
    fleet.wait_for_version(1)
    cut = fleet.nodes[1]
    fleet.set_rule("*", "*", "silence-established")
    assert propose(fleet, 2) == "accepted"
    fleet.wait_for_version(2)
    fleet.set_rule(cut.zone, "store", "silence")
    fleet.set_rule("*", "*", "silence-established")
    assert propose(fleet, 3) == "accepted"
    fleet.wait_for_version(3)
