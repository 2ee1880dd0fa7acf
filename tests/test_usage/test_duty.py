"""The task that holds the duty, with a store in memory and a stand-in platform."""

from __future__ import annotations

import json

import pytest

from monsoontray.discovery.messages import DescribeNodes, StoreChanged, StoreListed
from monsoontray.http.client import HttpResponse, encode_http_request
from monsoontray.http.errors import ResponseTimeoutError
from monsoontray.store.outcomes import Record
from monsoontray.usage.duty import UsageDuty, handle_message
from monsoontray.usage.encoding import LEDGER_KEY
from monsoontray.usage.messages import (
    DutyHeld,
    DutyLost,
    HolderChanged,
    WindowCollected,
)
from tests.fakes import FakeKernel

HOLDER_KEY = "usage/holder"
SETTINGS = {"usage_window_s": 5.0, "usage_address": "127.0.0.1:9"}


class Platform:
    """Keeps the reports that it got; loses answers or refuses on request."""

    def __init__(self):
        self.requests = []
        self.status = 200
        self.loses_answers = False

    def send(self, request):
        self.requests.append(request)
        if self.loses_answers:
            raise ResponseTimeoutError("lost")
        return HttpResponse(self.status, b"")

    def close(self):
        pass

    def get_reports(self):
        return [json.loads(request.body) for request in self.requests]

    def get_tokens(self):
        return [
            int(line.split(b":")[1])
            for request in self.requests
            for line in request.lines
            if line.lower().startswith(b"x-fencing-token")
        ]


def build_task(kernel, platform, node):
    other = FakeKernel(node=node, **SETTINGS)
    other.clock, other.store = kernel.clock, kernel.store
    other.replies["membership"] = other.replies[("membership", DescribeNodes)] = ()
    task = UsageDuty(other)
    task._http = platform
    handle_message(StoreListed((), kernel.store.revision), task)
    return task


def run(kernel, seconds, *tasks):
    for _ in range(int(seconds * 20)):
        kernel.clock.advance(0.05)
        now = kernel.clock.now()
        for lease, deadline in list(kernel.store.leases.items()):
            if deadline <= now:
                kernel.store.expire_lease(lease)
        for task in tasks:
            for _ in range(5):
                due = task.find_next_deadline()
                if due is None or due > now:
                    break
                task.on_deadline()


@pytest.fixture
def kernel():
    return FakeKernel(**SETTINGS)


@pytest.fixture
def platform():
    return Platform()


def test_window_is_recorded_then_reported(kernel, platform):
    task = build_task(kernel, platform, "n0")
    run(kernel, 8.0, task)
    held = [m for m in task.kernel.posted["usage"] if isinstance(m, DutyHeld)]
    assert len(held) == 1
    handle_message(WindowCollected(200, {"a": 3, "b": 4}), task)
    run(kernel, 1.0, task)
    assert platform.get_reports() == [{"window_seq": 200, "counts": {"a": 3, "b": 4}}]
    assert platform.get_tokens() == [1]
    head = encode_http_request(platform.requests[0]).lower()
    assert head.startswith(b"post /usage http/1.1\r\n")
    assert b"\r\nx-duty-holder: n0\r\n" in head
    assert b"accepted" in repr(task.kernel.posted["metrics"]).encode()


def test_lost_answer_and_refusal_are_followed_by_the_same_report(kernel, platform):
    task = build_task(kernel, platform, "n0")
    run(kernel, 8.0, task)
    platform.loses_answers = True
    handle_message(WindowCollected(200, {"a": 3}), task)
    run(kernel, 1.0, task)
    platform.loses_answers, platform.status = False, 429
    run(kernel, 1.0, task)
    platform.status = 200
    run(kernel, 1.0, task)
    reports = platform.get_reports()
    assert len(reports) >= 3
    assert all(report == reports[0] for report in reports)
    count = len(reports)
    run(kernel, 5.0, task)
    assert len(platform.requests) == count


def test_next_holder_sends_what_is_recorded_and_never_other_counts(kernel, platform):
    first = build_task(kernel, platform, "n0")
    run(kernel, 8.0, first)
    platform.loses_answers = True
    handle_message(WindowCollected(200, {"a": 3}), first)
    run(kernel, 0.6, first)
    platform.loses_answers = False
    second = build_task(kernel, platform, "n1")
    run(kernel, 3.0)  # the first one is frozen, and its lease expires
    handle_message(StoreChanged((), (Record(HOLDER_KEY, 999, b""),), 999), second)
    run(kernel, 7.0, second)
    handle_message(WindowCollected(200, {"a": 5}), second)
    run(kernel, 2.0, second)
    sent = len(platform.requests)
    run(kernel, 2.0, first, second)
    assert len(platform.requests) == sent
    assert any(isinstance(m, DutyLost) for m in first.kernel.posted["usage"])
    assert {report["counts"]["a"] for report in platform.get_reports()} == {3}
    assert platform.get_tokens() == sorted(platform.get_tokens())
    assert platform.get_tokens()[-1] == 2


# A node took its own claim, done late, for another node's: nobody reported for a while.
def test_own_claim_that_is_done_late_is_taken_over(kernel, platform):
    task = build_task(kernel, platform, "n0")
    kernel.store.delays_writes = True
    while not kernel.store.delayed:
        run(kernel, 0.05, task)
    kernel.store.delays_writes = False
    kernel.store.do_delayed_writes()
    claim = kernel.store.records[HOLDER_KEY]
    handle_message(StoreChanged((claim,), (), claim.revision), task)
    run(kernel, 2.0, task)
    assert task.duty.is_held
    assert kernel.store.records[HOLDER_KEY] == claim


def test_stopped_holder_releases_the_duty(kernel, platform):
    task = build_task(kernel, platform, "n0")
    run(kernel, 8.0, task)
    assert HOLDER_KEY in kernel.store.records
    task.close()
    assert HOLDER_KEY not in kernel.store.records
    assert LEDGER_KEY in kernel.store.records


def test_record_of_another_writer_names_no_holder(kernel, platform):
    task = build_task(kernel, platform, "n0")
    odd = Record(HOLDER_KEY, 50, b'{"node": 3}')
    handle_message(StoreChanged((odd,), (), 50), task)
    changes = [m for m in task.kernel.posted["usage"] if isinstance(m, HolderChanged)]
    assert changes[-1].holder is None
    assert "usage" in task.kernel.posted["metrics"]
