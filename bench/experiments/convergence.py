"""Measure how long an accepted version takes to be in force everywhere.

Version n lets two customers call ``/probe/n``. A prober for each node asks as the
one and then as the other, so it sees from outside which version is in force,
whether a node ever goes back, applies a version in part, or points a route at a
service that it lacks.
"""

from __future__ import annotations

import statistics
import threading
import time
from dataclasses import dataclass, field
from typing import Any

from bench.caller import CutAnswerError, Router, build_request
from bench.faults import FaultRunner
from bench.fleet import Fleet, NodeHandle
from bench.lists import build_customer, build_lists, build_plan, build_route
from bench.options import Options
from bench.processes import read_cpu_seconds, read_rss_mb
from bench.progress import show_progress
from bench.proxy import count_bytes

ZONES = ("zone-a", "zone-b", "zone-c")
TOKENS = ("token-of-first", "token-of-second")
CHANGE_INTERVAL_S = 2.0
PROBE_PAUSE_S = 0.001  # for each node, so that all probers ask equally often
SETTLE_S = 3.0  # before what control costs is measured
IDLE_S = 5.0  # time over which it is measured, without calls


@dataclass(slots=True)
class Sight:
    """What the prober of one node saw."""

    node: NodeHandle
    in_force: dict[int, float] = field(default_factory=dict)  # version to time
    regressions: int = 0
    partial_applies: int = 0
    dangling_routes: int = 0
    lost_calls: int = 0


@dataclass(slots=True)
class Target:
    """The latest accepted version, shared with the probers."""

    number: int = 0
    ended: bool = False


def measure_convergence(options: Options) -> dict[str, Any]:
    """Return convergence times, what control costs, and broken promises."""
    with Fleet() as fleet:
        start_fleet(fleet, options.nodes)
        runner = FaultRunner(fleet, options.faults, options.seed)
        idle = measure_idle(fleet)
        target = Target()
        pause_s = PROBE_PAUSE_S * options.nodes
        sights = [Sight(node) for node in fleet.nodes]
        probers = [
            threading.Thread(target=probe, args=(sight, target, pause_s), daemon=True)
            for sight in sights
        ]
        propose(fleet, target)
        for prober in probers:
            prober.start()
        accepted = {1: time.monotonic()}
        runner.start()
        end = time.monotonic() + options.duration_s
        while time.monotonic() < end:
            accepted_at = propose(fleet, target)
            if accepted_at:
                accepted[target.number] = accepted_at
            time.sleep(CHANGE_INTERVAL_S)
        runner.end()
        wait_until_seen(sights, target.number)
        target.ended = True
        for prober in probers:
            prober.join()
    return {**summarize(sights, accepted), **idle}


def start_fleet(fleet: Fleet, count: int) -> None:
    """Start nodes in three zones, reached through the proxy, with servers."""
    fleet.start_store()
    fleet.start_proxy()
    nodes = [fleet.add_node(f"node-{i}", ZONES[i % len(ZONES)]) for i in range(count)]
    for node in nodes:
        fleet.start_node(node)
    fleet.label_processes()
    for node in nodes:
        fleet.wait_for_node(node)
    for i, node in enumerate(nodes[: len(ZONES)]):
        fleet.start_backend(f"server-{i}", "catalogue", node, "--slots=32")
    fleet.wait_for_servers("catalogue", min(count, len(ZONES)))
    show_progress(f"{count} nodes started")


def propose(fleet: Fleet, target: Target) -> float:
    """Propose the next version; return when it was accepted, or 0."""
    number = target.number + 1
    prefix = f"/probe/{number}"
    fresh = f"fresh-{number}"
    routes = [build_route(prefix, "catalogue"), build_route(f"/fresh/{number}", fresh)]
    plans = [build_plan("first", routes), build_plan("second", routes)]
    customers = [
        build_customer("first", "first", TOKENS[0]),
        build_customer("second", "second", TOKENS[1]),
    ]
    announce_fresh(fleet, fresh)
    lists = build_lists(customers, plans, ["catalogue", fresh])
    operator = fleet.nodes[number % len(fleet.nodes)].operator
    proposal = {"based_on": number - 1, "author": "bench", "lists": lists}
    try:
        verdict = fleet.post_json(operator, "/config", proposal)
    except OSError:
        return 0.0
    if verdict.get("outcome") != "accepted" and verdict.get("number") != number:
        return 0.0
    target.number = number
    return time.monotonic()


def announce_fresh(fleet: Fleet, service: str) -> None:
    """Announce a service that only the next version's routes point at."""
    backend = fleet.backends[0]
    announcement = {
        "server": service,
        "service": service,
        "version": "1",
        "address": backend.address,
        "slots": 4,
        "connections": 8,
    }
    fleet.post_json(fleet.nodes[0].operator, "/announce", announcement)


def probe(sight: Sight, target: Target, pause_s: float) -> None:
    """Watch one node from outside until the experiment ends."""
    router: Router | None = None
    while not target.ended:
        try:
            router = router or Router(sight.node.entry)
            probe_once(router, sight, target)
        except (OSError, CutAnswerError, ValueError):
            sight.lost_calls += 1
            router = None
        time.sleep(pause_s)


def probe_once(router: Router, sight: Sight, target: Target) -> None:
    """Ask whether the latest version is in force, as both customers."""
    number = target.number
    highest = max(sight.in_force, default=0)
    if not is_allowed(router, f"/probe/{number}", TOKENS[0]):
        if highest and not is_any_in_force(router, highest, number + 1):
            sight.regressions += 1
        return
    sight.in_force.setdefault(number, time.monotonic())
    second = is_allowed(router, f"/probe/{number}", TOKENS[1])
    if not second and not is_any_in_force(router, number + 1, number + 1):
        sight.partial_applies += 1
    if number > 1 and is_allowed(router, f"/probe/{number - 1}", TOKENS[1]):
        sight.partial_applies += 1
    if highest < number:
        answer = router.call(build_request(f"/fresh/{number}", TOKENS[0]))
        dangling = answer.find(b"monsoontray-refusal") == b"no-server"
        sight.dangling_routes += dangling


def is_any_in_force(router: Router, lowest: int, highest: int) -> bool:
    """Say whether one of some versions is in force at a node.

    They are asked for upwards, so that a node that moves on meanwhile is met; a
    version may come into force before its proposer has the answer.
    """
    numbers = range(lowest, highest + 1)
    return any(is_allowed(router, f"/probe/{n}", TOKENS[1]) for n in numbers)


def is_allowed(router: Router, path: str, token: str) -> bool:
    """Say whether a node's version in force allows a call."""
    answer = router.call(build_request(path, token))
    refusal = answer.find(b"monsoontray-refusal")
    return refusal not in (b"not-in-plan", b"no-version", b"unknown-customer")


def wait_until_seen(sights: list[Sight], number: int) -> None:
    """Wait until every prober saw a version in force, 15 s at most."""
    deadline = time.monotonic() + 15.0
    while time.monotonic() < deadline:
        if all(number in sight.in_force for sight in sights):
            return
        time.sleep(0.05)


def measure_idle(fleet: Fleet) -> dict[str, Any]:
    """Return what control costs while nothing happens."""
    time.sleep(SETTLE_S)
    pids = [node.process.pid for node in fleet.nodes if node.process is not None]
    links = [f"{node.name}-peer" for node in fleet.nodes]
    bytes_before = count_bytes(fleet.get_json(fleet.proxy_address, "/observed"), links)
    seconds_before = [read_cpu_seconds(pid) for pid in pids]
    counts_before = fleet.get_json(fleet.store_address, "/observed")["counts"]
    time.sleep(IDLE_S)
    bytes_after = count_bytes(fleet.get_json(fleet.proxy_address, "/observed"), links)
    seconds_after = [read_cpu_seconds(pid) for pid in pids]
    counts_after = fleet.get_json(fleet.store_address, "/observed")["counts"]
    calls = {
        kind: counts_after.get(kind, 0) - counts_before.get(kind, 0)
        for kind in ("read", "write", "watch")
    }
    used = [
        after - before
        for before, after in zip(seconds_before, seconds_after, strict=True)
    ]
    # Each byte between nodes is counted once, at the node that is called.
    per_node = (bytes_after - bytes_before) / len(pids) / IDLE_S
    return {
        "control_bytes_per_node_s": round(per_node, 1),
        "control_core_percent": round(100 * statistics.mean(used) / IDLE_S, 2),
        "rss_mb_max": round(max(read_rss_mb(pid) for pid in pids), 1),
        "store_reads_per_s": round((calls["read"] + calls["watch"]) / IDLE_S, 2),
        "store_writes_per_s": round(calls["write"] / IDLE_S, 2),
    }


def summarize(sights: list[Sight], accepted: dict[int, float]) -> dict[str, Any]:
    """Return the figures of convergence."""
    times = []
    never_seen = 0
    for number, accepted_at in accepted.items():
        for sight in sights:
            seen_at = sight.in_force.get(number)
            if seen_at is not None:
                times.append(max(0.0, seen_at - accepted_at))
            elif number == max(accepted):
                never_seen += 1
    points = statistics.quantiles(times, n=100, method="inclusive")
    return {
        "changes": len(accepted),
        "converge_p50_s": round(points[49], 3),
        "converge_p99_s": round(points[98], 3),
        "converge_max_s": round(max(times), 3),
        "never_seen": never_seen,
        "lost_probe_calls": sum(sight.lost_calls for sight in sights),
        "version_regressions": sum(sight.regressions for sight in sights),
        "partial_applies": sum(sight.partial_applies for sight in sights),
        "dangling_routes": sum(sight.dangling_routes for sight in sights),
    }
