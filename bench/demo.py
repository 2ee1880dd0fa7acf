"""Show the main functions on one machine, with output that a newcomer can follow."""

from __future__ import annotations

import json
import subprocess
import sys
import threading
import time
from dataclasses import dataclass, field
from typing import Any

from bench.caller import CutResponseError, Response, Router, build_request
from bench.fleet import Fleet, NodeHandle
from bench.lists import build_customer, build_lists, build_plan, build_route

ZONES = ("zone-a", "zone-b", "zone-c")
TOKENS = {"ribaverde": "token-ribaverde", "padma": "token-padma"}
CALL_PAUSE_S = 0.02


@dataclass(slots=True)
class BackgroundCalls:
    """Calls made in the background: stop flag, served count and failures."""

    stopped: bool = False
    served: int = 0
    failed: list[str] = field(default_factory=list)


class DemoFailedError(Exception):
    """A step of the demo did not give the expected result."""


def run_demo() -> int:
    """Run the demo; return the exit code."""
    started_at = time.monotonic()
    try:
        with Fleet(node_settings={"start_spread_ms": 100}) as fleet:
            _run_steps(fleet)
    except DemoFailedError as error:
        print(f"\nThe demo failed: {error}", file=sys.stderr)
        return 1
    print(f"\nAll steps succeeded, in {time.monotonic() - started_at:.0f} s.")
    return 0


def _run_steps(fleet: Fleet) -> None:
    _print_heading(
        "Starting the key-value service stand-in and one node in each of 3 zones"
    )
    fleet.start_store()
    for i, zone in enumerate(ZONES):
        fleet.start_node(fleet.add_node(f"node-{i + 1}", zone))
    for node in fleet.nodes:
        fleet.wait_for_node(node)
    first, second, third = fleet.nodes
    _print_heading(
        "Starting backend servers; each announces itself to the node on its VM"
    )
    fleet.start_backend("catalogue-1", "catalogue", first)
    fleet.start_backend("catalogue-2", "catalogue", second)
    fleet.start_backend("orders-1", "orders", third, "--resources=swatches")
    fleet.wait_for_servers("catalogue", 2)
    fleet.wait_for_servers("orders", 1)

    _print_heading(
        "An operator applies the lists: plans of the customers, routes of the plans"
    )
    _apply_lists(fleet, first, _build_lists(padma_plan="browse"))
    fleet.wait_for_version(1)
    _run_command("status", f"--node={third.operator_address}")

    _print_heading("Calls from the customers, sent to different nodes")
    for node in fleet.nodes:
        _check_call(node, "ribaverde", "/catalogue/linen", 200)
    _check_call(second, "ribaverde", "/orders/swatches", 200)
    _check_call(second, "padma", "/orders/swatches", 403)
    _check_call(second, "stranger", "/catalogue/linen", 401)

    _print_heading("Moving padma to the plan 'order' while calls run")
    traffic = BackgroundCalls()
    threads = [
        threading.Thread(target=_call_until_stopped, args=(node, traffic))
        for node in fleet.nodes
    ]
    for thread in threads:
        thread.start()
    started_at = time.monotonic()
    _run_command(
        "config", "edit", "padma", "--plan=order", f"--node={second.operator_address}"
    )
    fleet.wait_for_version(2)
    elapsed_ms = (time.monotonic() - started_at) * 1000
    print(f"  version 2 is in force at every node after {elapsed_ms:.0f} ms")
    for node in fleet.nodes:
        _check_call(node, "padma", "/orders/swatches", 200)

    _print_heading(
        "Proposing a bad version: a route names a service that is not declared"
    )
    invalid_lists = _build_lists(padma_plan="order")
    invalid_lists["plans"][0]["routes"].append(build_route("/looms", "looms"))
    _apply_lists(fleet, third, invalid_lists, expected_exit_code=1)
    _print_heading(
        "Proposing a change that is based on version 1, which is no longer the latest"
    )
    _apply_lists(
        fleet,
        third,
        _build_lists(padma_plan="browse"),
        based_on=1,
        expected_exit_code=3,
    )
    traffic.stopped = True
    for thread in threads:
        thread.join()
    print(
        f"  meanwhile {traffic.served} calls were served, {len(traffic.failed)} failed"
    )
    if traffic.failed:
        raise DemoFailedError(f"a call failed: {traffic.failed[0]}")
    _run_command("config", "history", f"--node={first.operator_address}")


def _build_lists(padma_plan: str) -> dict[str, Any]:
    browse = build_route("/catalogue", "catalogue")
    order = build_route("/orders", "orders", "swatches")
    lists = build_lists(
        [
            build_customer("ribaverde", "order", TOKENS["ribaverde"]),
            build_customer("padma", padma_plan, TOKENS["padma"]),
        ],
        [build_plan("browse", [browse], 1), build_plan("order", [browse, order])],
        ["catalogue"],
    )
    lists["services"].append({"service": "orders", "resources": ["swatches"]})
    return lists


def _apply_lists(
    fleet: Fleet,
    node: NodeHandle,
    lists: dict[str, Any],
    based_on: int | None = None,
    expected_exit_code: int = 0,
) -> None:
    path = fleet.directory / "lists.json"
    path.write_text(json.dumps(lists))
    arguments = ["config", "apply", str(path), f"--node={node.operator_address}"]
    if based_on is not None:
        arguments.append(f"--based-on={based_on}")
    _run_command(*arguments, expected_exit_code=expected_exit_code)


def _run_command(*arguments: str, expected_exit_code: int = 0) -> None:
    command_line = " ".join(arguments)
    print(f"  $ monsoontray {command_line}")
    command = [sys.executable, "-m", "monsoontray", *arguments]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    for line in (result.stdout + result.stderr).splitlines():
        print(f"    {line}")
    if result.returncode != expected_exit_code:
        raise DemoFailedError(
            f"exit code {result.returncode}, expected {expected_exit_code}"
        )


def _check_call(
    node: NodeHandle, customer: str, path: str, expected_status: int
) -> None:
    response = _call(node, customer, path)
    detail = response.get_header(b"x-server") or response.get_header(
        b"monsoontray-refusal"
    )
    print(
        f"  {customer:9} -> {node.name}  {path:18} {response.status} {detail.decode()}"
    )
    if response.status != expected_status:
        raise DemoFailedError(f"status {response.status}, expected {expected_status}")


def _call(node: NodeHandle, customer: str, path: str) -> Response:
    router = Router(node.entry_address)
    try:
        return router.call(build_request(path, TOKENS.get(customer, "unknown")))
    finally:
        router.close()


def _call_until_stopped(node: NodeHandle, traffic: BackgroundCalls) -> None:
    router = Router(node.entry_address)
    request = build_request("/catalogue/linen", TOKENS["padma"])
    while not traffic.stopped:
        try:
            response = router.call(request)
        except (OSError, CutResponseError) as error:
            traffic.failed.append(str(error))
            return
        if response.status == 200:
            traffic.served += 1
        else:
            traffic.failed.append(f"{response.status} {response.body!r}")
        time.sleep(CALL_PAUSE_S)
    router.close()


def _print_heading(text: str) -> None:
    print(f"\n{text}", flush=True)
