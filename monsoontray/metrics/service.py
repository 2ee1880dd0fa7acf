"""Prometheus metrics of the node."""

from __future__ import annotations

import errno

from monsoontray.kernel.kernel import Kernel, Registration
from monsoontray.metrics.families import Counter, Gauge, Histogram, Registry

NAME = "metrics"
#: Upper bounds of the buckets, doubling from the time of one hop to a long deadline.
CALL_BUCKETS_S = tuple(0.001 * 2**i for i in range(13))


class Metrics:
    """Counters of the node; each is written by one task."""

    def __init__(self, kernel: Kernel) -> None:
        self.registry = Registry()
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
        self._withdrawals = Counter(
            "monsoontray_withdrawals",
            "Calls taken back from guards, by what these said of them",
            ("ran",),
            registry=self.registry,
        )
        self._responses = Counter(
            "monsoontray_responses", "Whole responses", registry=self.registry
        )
        #: Complete responses; counted by the forwarder.
        self.responses = 0
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
        self._lost_connections = Counter(
            "monsoontray_lost_connections",
            "Connections that the system ended, by its error",
            ("error",),
            registry=self.registry,
        )
        self._closed_windows = Counter(
            "monsoontray_closed_windows",
            "Times that a guard or server was found not to read a request",
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
        self._proofs = Counter(
            "monsoontray_proofs",
            "Reads that proved that the configuration was the newest",
            registry=self.registry,
        )
        self._estimate_faults = Counter(
            "monsoontray_estimate_faults",
            "Estimates of the capacity of local servers that failed",
            registry=self.registry,
        )
        self._server_ends = Counter(
            "monsoontray_server_ends",
            "Ends of local servers that were running requests",
            registry=self.registry,
        )
        self._server_checks = Counter(
            "monsoontray_server_checks",
            "Checks whether a local server with lost requests has ended, by outcome",
            ("outcome",),
            registry=self.registry,
        )
        self._store_calls = Counter(
            "monsoontray_store_calls",
            "Calls to the store, by kind and by what they were made for",
            ("kind", "reason"),
            registry=self.registry,
        )
        self._usage_reports = Counter(
            "monsoontray_usage_reports",
            "Usage reports sent by this node, by outcome",
            ("outcome",),
            registry=self.registry,
        )
        self._late_usage = Counter(
            "monsoontray_usage_late_calls",
            "Calls that were counted after their window had been recorded",
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

    def start(self) -> None:
        """Do nothing; the counters already exist."""

    def stop(self, deadline: float) -> None:
        """Do nothing."""

    def post(self, message: object) -> None:
        """Raise TypeError; the service accepts no messages."""
        raise TypeError(f"the metrics service accepts no messages: {message!r}")

    def count_refusal(self, reason: str, ran: str) -> None:
        """Count a refused call."""
        self._refusals.labels(reason, ran).inc()

    def count_retry(self, reason: str) -> None:
        """Count a call that is sent to another server."""
        self._retries.labels(reason).inc()

    def count_withdrawal(self, ran: str) -> None:
        """Count a call that was taken back from a guard."""
        self._withdrawals.labels(ran).inc()

    def count_cut_response(self, reason: str) -> None:
        """Count a response that ended incomplete."""
        self._cut_responses.labels(reason).inc()

    def observe_call(self, side: str, seconds: float) -> None:
        """Observe the duration of a call with a complete response."""
        self._call_seconds.labels(side).observe(seconds)

    def count_suppressed_line(self) -> None:
        """Count a log line that was suppressed."""
        self._suppressed_lines.inc()

    def count_cancelled_call(self) -> None:
        """Count a call whose caller disconnected."""
        self._cancelled_calls.inc()

    def count_given_up(self, cause: str, count: int) -> None:
        """Count connections that were given up."""
        self._given_up.labels(cause).inc(count)

    def count_lost_connection(self, error: OSError) -> None:
        """Count a connection that the system ended."""
        name = errno.errorcode.get(error.errno or 0, "other")
        self._lost_connections.labels(name).inc()

    def count_closed_window(self) -> None:
        """Count a peer that was found not to read."""
        self._closed_windows.inc()

    def count_refused_version(self) -> None:
        """Count a version that was not accepted."""
        self._refused_versions.inc()

    def count_refused_entry(self, kind: str) -> None:
        """Count an entry of another party that was refused."""
        self._refused_entries.labels(kind).inc()

    def count_proof(self) -> None:
        """Count a proof that the configuration was the newest."""
        self._proofs.inc()

    def count_estimate_fault(self) -> None:
        """Count an estimate of a server's capacity that failed."""
        self._estimate_faults.inc()

    def count_server_end(self) -> None:
        """Count the end of a local server that was running requests."""
        self._server_ends.inc()

    def count_server_check(self, outcome: str) -> None:
        """Count a check whether a local server has ended."""
        self._server_checks.labels(outcome).inc()

    def count_store_call(self, reason: str, kind: str) -> None:
        """Count a call to the store, whatever its outcome."""
        self._store_calls.labels(kind, reason).inc()

    def get_store_calls(self) -> dict[str, int]:
        """Return the calls to the store by reason and kind."""
        calls = sorted(self._store_calls.children.items())
        return {f"{reason} {kind}": int(each.value) for (kind, reason), each in calls}

    def count_usage_report(self, outcome: str) -> None:
        """Count a usage report that was sent."""
        self._usage_reports.labels(outcome).inc()

    def count_late_usage(self, calls: int) -> None:
        """Count calls that came too late for the report of their window."""
        self._late_usage.inc(calls)

    def set_contained(self, count: int) -> None:
        """Set the number of requests that are refused."""
        self._contained.set(count)

    def set_version(self, number: int) -> None:
        """Set the number of the version in force."""
        self._version.set(number)

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        self._responses.labels().set(self.responses)
        return self.registry.render()


def setup(kernel: Kernel) -> None:
    """Register the service."""
    kernel.register(Registration(NAME, (), Metrics))
