"""Test that log lines about calls are rate-limited and have the expected fields."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from monsoontray.decisions.outcomes import Reason, refuse_not_run
from monsoontray.decisions.retries import AttemptHistory
from monsoontray.decisions.servers import LoadView
from monsoontray.forwarding.report import (
    LINE_BURST,
    LINES_PER_S,
    ROUTINE_LINE_BURST,
    ROUTINE_LINES_PER_S,
    CallReporter,
)
from monsoontray.forwarding.routes import EntryRoute
from monsoontray.logs import FieldsLogger

ROUTE = EntryRoute("one", "", "", "read", 1, True, 2, 9.0)


class CollectingOutput:
    def __init__(self):
        self.lines = []

    def accepts(self, level):
        return level != "DEBUG"

    def write(self, line):
        self.lines.append({"message": line.message, "extra": line.fields})


class CountingMetrics:
    def __init__(self):
        self.responses = 0
        self.refusals = 0
        self.suppressed = 0

    def count_refusal(self, reason, ran):
        self.refusals += 1

    def count_suppressed_line(self):
        self.suppressed += 1

    def observe_call(self, side, seconds):
        pass


@pytest.fixture
def forwarder():
    return SimpleNamespace(
        now=0.0,
        metrics=CountingMetrics(),
        loads=LoadView(),
        route_table=SimpleNamespace(number=7),
        entitlements=None,
    )


@pytest.fixture
def lines(monkeypatch):
    output = CollectingOutput()
    monkeypatch.setattr(FieldsLogger, "output", output)
    return output.lines


def build_call(name):
    return SimpleNamespace(
        call_id=name,
        route=ROUTE,
        server="i-1",
        attempts=AttemptHistory(),
        started_at=0.0,
    )


def test_all_calls_are_counted_and_lines_are_rate_limited(forwarder, lines):
    report = CallReporter(forwarder)
    for second in range(3):
        forwarder.now = float(second)
        for i in range(1000):
            report.record_refused_call(
                refuse_not_run(Reason.NO_SLOT), build_call(f"c{i}")
            )
    assert forwarder.metrics.refusals == 3000
    assert len(lines) == LINE_BURST + 2 * LINES_PER_S
    assert forwarder.metrics.suppressed == 3000 - len(lines)
    assert lines[LINE_BURST]["extra"]["left_out"] == 1000 - LINE_BURST


def test_lines_about_answered_calls_have_a_lower_limit(forwarder, lines):
    report = CallReporter(forwarder)
    for second in range(3):
        forwarder.now = float(second)
        for i in range(1000):
            report.record_response(build_call(f"a{i}"))
    assert len(lines) == ROUTINE_LINE_BURST + 2 * ROUTINE_LINES_PER_S


def test_answered_calls_leave_lines_for_refused_calls(forwarder, lines):
    report = CallReporter(forwarder)
    for i in range(1000):
        report.record_response(build_call(f"a{i}"))
    report.record_refused_call(refuse_not_run(Reason.NO_SLOT), build_call("refused"))
    fields = lines[-1]["extra"]
    assert lines[-1]["message"] == "call refused"
    assert (fields["call"], fields["reason"]) == ("refused", "no-slot")
    assert (fields["version"], fields["ran"]) == (7, "not-run")


def test_line_names_server_of_abandoned_attempt(forwarder, lines):
    call = build_call("a")
    call.server = ""
    for server in ("i-1", "i-2"):
        call.attempts.record_failure(server, refuse_not_run(Reason.NO_SLOT))
    CallReporter(forwarder).record_refused_call(
        refuse_not_run(Reason.DEADLINE_PASSED), call
    )
    assert lines[0]["extra"]["server"] == "i-2"
    assert lines[0]["extra"]["tried"] == "i-1,i-2"


def test_soft_refusals_leave_lines_for_refused_calls(forwarder, lines):
    report = CallReporter(forwarder)
    for i in range(1000):
        report.record_refused_call(
            refuse_not_run(Reason.SLOTS_BUSY), build_call(f"b{i}")
        )
    report.record_refused_call(refuse_not_run(Reason.NO_SLOT), build_call("refused"))
    assert lines[-1]["extra"]["call"] == "refused"


def test_line_names_servers_that_refused_softly(forwarder, lines):
    call = build_call("a")
    call.server = ""
    call.attempts.record_failure("i-1", refuse_not_run(Reason.SLOTS_BUSY))
    call.attempts.record_failure("i-2", refuse_not_run(Reason.SERVER_FAILING))
    CallReporter(forwarder).record_refused_call(
        refuse_not_run(Reason.DEADLINE_PASSED), call
    )
    fields = lines[0]["extra"]
    assert (fields["server"], fields["busy"]) == ("i-2", "i-1,i-2")
    assert fields["tried"] == ""


def test_line_has_age_of_server_load(forwarder, lines):
    forwarder.loads.record_response("i-1", None, 0.0)
    forwarder.now = 0.25
    CallReporter(forwarder).record_response(build_call("a"))
    assert lines[0]["extra"]["load_ms"] == 250
