"""Registry of the experiments by name."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from bench.experiments.convergence import measure_convergence
from bench.experiments.herd import measure_herd
from bench.experiments.latency import measure_latency
from bench.experiments.outage import measure_outage
from bench.experiments.partition import measure_partition
from bench.experiments.store_calls import measure_store_calls
from bench.experiments.throughput import measure_throughput
from bench.options import Options


@dataclass(slots=True, frozen=True)
class Experiment:
    """An experiment with its default options."""

    name: str
    summary: str
    measure: Callable[[Options], dict[str, Any]]
    nodes: int
    duration_s: float


EXPERIMENTS = {
    experiment.name: experiment
    for experiment in (
        Experiment(
            "latency",
            "latency that one node and two nodes add to a call",
            measure_latency,
            2,
            24.0,
        ),
        Experiment(
            "throughput",
            "calls per second and CPU time per call with 1, 2 and 4 callers",
            measure_throughput,
            2,
            12.0,
        ),
        Experiment(
            "convergence",
            "time until an accepted version is in force at every node",
            measure_convergence,
            10,
            25.0,
        ),
        Experiment(
            "herd",
            "recovery when half of all nodes are killed and restarted at once",
            measure_herd,
            10,
            20.0,
        ),
        Experiment(
            "outage",
            "service during and after an outage of the store",
            measure_outage,
            10,
            20.0,
        ),
        Experiment(
            "partition",
            "service inside and outside a zone that is cut off",
            measure_partition,
            10,
            15.0,
        ),
        Experiment(
            "store-calls",
            "calls to the platform's store by kind and reason",
            measure_store_calls,
            6,
            45.0,
        ),
    )
}
