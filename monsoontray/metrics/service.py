"""Prometheus metrics of the node."""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)
from prometheus_client.core import CounterMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from monsoontray.decisions.outcomes import Ran, Reason
from monsoontray.kernel.kernel import Kernel, Registration

NAME = "metrics"
#: Upper bounds of the buckets, doubling from the time of one hop to a long deadline.
CALL_BUCKETS_S = tuple(0.001 * 2**i for i in range(13))


class ResponsesCollector(Collector):
    """Collector of responses, which are too frequent for a counter with a lock."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterable[Metric]:
        """Return the number of complete responses."""
        value = float(self._metrics.responses)
        return (CounterMetricFamily("monsoontray_responses", "Whole responses", value),)


class Metrics:
    """Counters of the node; each is written by one task."""

    def __init__(self, kernel: Kernel) -> None:
        self.registry = CollectorRegistry()
        self._refusals = Counter(
            "monsoontray_refusals",
            "Calls refused, by reason and whether they may have run",
            ("reason", "ran"),
            registry=self.registry,
        )
        self._retries = Counter(
            "monsoontray_retries",
            "Calls sent to another server, by reason",
            ("reason",),
            registry=self.registry,
        )
        self._cut_responses = Counter(
            "monsoontray_cut_responses",
            "Responses that ended incomplete, by reason",
            ("reason",),
            registry=self.registry,
        )
        #: Complete responses; counted by the forwarder.
        self.responses = 0
        self.registry.register(ResponsesCollector(self))
        self._cancelled_calls = Counter(
            "monsoontray_cancelled_calls",
            "Calls whose caller had gone",
            registry=self.registry,
        )
        self._given_up = Counter(
            "monsoontray_given_up_connections",
            "Connections of callers that gave way to others, by what was short",
            ("cause",),
            registry=self.registry,
        )
        self._refused_versions = Counter(
            "monsoontray_versions_refused",
            "Versions that were heard of but not taken",
            registry=self.registry,
        )
        self._refused_entries = Counter(
            "monsoontray_entries_refused",
            "Entries of other parties that were refused as a whole, by kind",
            ("kind",),
            registry=self.registry,
        )
        self._server_ends = Counter(
            "monsoontray_server_ends",
            "Ends of local servers that were running requests",
            registry=self.registry,
        )
        self._contained = Gauge(
            "monsoontray_contained_requests",
            "Requests that are refused because servers ended while running them",
            registry=self.registry,
        )
        self._version = Gauge(
            "monsoontray_version", "Version in force", registry=self.registry
        )
        self._call_seconds = Histogram(
            "monsoontray_call_seconds",
            "Time from a request's head to the end of its response, by side",
            ("side",),
            buckets=CALL_BUCKETS_S,
            registry=self.registry,
        )
        self._suppressed_lines = Counter(
            "monsoontray_suppressed_lines",
            "Log lines about calls that were left out to bound the volume",
            registry=self.registry,
        )
        # The number of label values is limited, so all children are cached.
        self._label_call_seconds = lru_cache(2)(self._call_seconds.labels)
        self._label_refusals = lru_cache(len(Reason) * len(Ran))(self._refusals.labels)
        self._label_retries = lru_cache(len(Reason))(self._retries.labels)

    def start(self) -> None:
        """Do nothing; the counters already exist."""

    def stop(self, deadline: float) -> None:
        """Do nothing."""

    def post(self, message: object) -> None:
        """Raise TypeError; the service accepts no messages."""
        raise TypeError(f"the metrics service accepts no messages: {message!r}")

    def count_refusal(self, reason: str, ran: str) -> None:
        """Count a refused call."""
        self._label_refusals(reason, ran).inc()

    def count_retry(self, reason: str) -> None:
        """Count a call that is sent to another server."""
        self._label_retries(reason).inc()

    def count_cut_response(self, reason: str) -> None:
        """Count a response that ended incomplete."""
        self._cut_responses.labels(reason).inc()

    def observe_call(self, side: str, seconds: float) -> None:
        """Observe the duration of a call with a complete response."""
        self._label_call_seconds(side).observe(seconds)

    def count_suppressed_line(self) -> None:
        """Count a log line that was suppressed."""
        self._suppressed_lines.inc()

    def count_cancelled_call(self) -> None:
        """Count a call whose caller disconnected."""
        self._cancelled_calls.inc()

    def count_given_up(self, cause: str, count: int) -> None:
        """Count connections that were given up."""
        self._given_up.labels(cause).inc(count)

    def count_refused_version(self) -> None:
        """Count a version that was not accepted."""
        self._refused_versions.inc()

    def count_refused_entry(self, kind: str) -> None:
        """Count an entry of another party that was refused."""
        self._refused_entries.labels(kind).inc()

    def count_server_end(self) -> None:
        """Count the end of a local server that was running requests."""
        self._server_ends.inc()

    def set_contained(self, count: int) -> None:
        """Set the number of requests that are refused."""
        self._contained.set(count)

    def set_version(self, number: int) -> None:
        """Set the number of the version in force."""
        self._version.set(number)

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self.registry)


def setup(kernel: Kernel) -> None:
    """Register the service."""
    kernel.register(Registration(NAME, (), Metrics))
