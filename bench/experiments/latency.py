"""Measure the latency that nodes add to a call, compared with direct calls."""

from __future__ import annotations

import statistics
import time
from dataclasses import dataclass
from typing import Any

from bench.caller import Router
from bench.experiments.paths import build_measured_request, start_two_nodes
from bench.fleet import Fleet, FleetError
from bench.options import Options
from bench.progress import show_progress

CALLS_PER_ROUND = 1000
WARMUP_CALLS = 500
PACED_CALLS_PER_S = 100.0  # near the expected rate of one entry node
PACED_CALLS_PER_ROUND = 200
PACED_SHARE = 0.5  # of the duration; the rest is a closed loop without pauses
MS_PER_S = 1000.0
TARGET_ADDED_P99_MS = 0.32
PATHS = ("direct", "one_node", "two_nodes")


@dataclass(slots=True, frozen=True)
class Quantiles:
    """Latency quantiles of one round, in milliseconds."""

    p50: float
    p90: float
    p99: float


def measure_latency(options: Options) -> dict[str, Any]:
    """Return the latency quantiles of each path and what the nodes add to them."""
    with Fleet() as fleet:
        addresses = start_two_nodes(fleet)
        routers = {name: Router(getattr(addresses, name)) for name in PATHS}
        request = build_measured_request()
        for router in routers.values():
            _time_calls(router, request, WARMUP_CALLS, 0.0)
        closed_loop_deadline = time.monotonic() + options.duration_s * (1 - PACED_SHARE)
        closed_loop = _measure_rounds(
            routers, request, closed_loop_deadline, CALLS_PER_ROUND, 0.0
        )
        paced_deadline = time.monotonic() + options.duration_s * PACED_SHARE
        paced = _measure_rounds(
            routers, request, paced_deadline, PACED_CALLS_PER_ROUND, PACED_CALLS_PER_S
        )
        for router in routers.values():
            router.close()
    return {
        **_summarize(closed_loop, ""),
        **_summarize(paced, "paced_"),
        "rounds": len(closed_loop),
        "target_added_p99_ms": TARGET_ADDED_P99_MS,
    }


Round = dict[str, Quantiles]


def _measure_rounds(
    routers: dict[str, Router],
    request: bytes,
    deadline: float,
    calls: int,
    calls_per_s: float,
) -> list[Round]:
    rounds: list[Round] = []
    while time.monotonic() < deadline or not rounds:
        measured = {
            name: _time_calls(router, request, calls, calls_per_s)
            for name, router in routers.items()
        }
        rounds.append(measured)
        show_progress(f"round {len(rounds)}: {measured['two_nodes']}")
    return rounds


def _time_calls(
    router: Router, request: bytes, calls: int, calls_per_s: float
) -> Quantiles:
    latencies_ms = []
    due_at = time.perf_counter()
    for _ in range(calls):
        if calls_per_s:
            due_at += 1.0 / calls_per_s
            time.sleep(max(0.0, due_at - time.perf_counter()))
        started_at = time.perf_counter()
        response = router.call(request)
        latencies_ms.append((time.perf_counter() - started_at) * MS_PER_S)
        if response.status != 200:
            raise FleetError(
                f"a call was answered with {response.status}: {response.body!r}"
            )
    percentiles = statistics.quantiles(latencies_ms, n=100, method="inclusive")
    return Quantiles(percentiles[49], percentiles[89], percentiles[98])


def _summarize(rounds: list[Round], prefix: str) -> dict[str, Any]:
    measurements: dict[str, Any] = {}
    for path in PATHS:
        for quantile in ("p50", "p90", "p99"):
            values = [
                getattr(round_quantiles[path], quantile) for round_quantiles in rounds
            ]
            name = f"{prefix}{path}_{quantile}_ms"
            measurements[name] = round(statistics.median(values), 4)
    for path, label in (("one_node", "one_node_"), ("two_nodes", "")):
        for quantile in ("p50", "p99"):
            added = [
                getattr(round_quantiles[path], quantile)
                - getattr(round_quantiles["direct"], quantile)
                for round_quantiles in rounds
            ]
            name = f"{prefix}{label}added_{quantile}_ms"
            measurements[name] = round(statistics.median(added), 4)
    return measurements
