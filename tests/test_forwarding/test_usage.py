"""Counts of the calls that guards send to their servers."""

from __future__ import annotations

from types import SimpleNamespace

from monsoontray.forwarding.usage import UsageRecorder
from monsoontray.usage.messages import TakeUsage
from tests.fakes import FakeKernel


def build_call(customer):
    return SimpleNamespace(route=SimpleNamespace(customer=customer), usage_window=0)


def test_calls_of_customers_count_unless_the_server_rejects_them():
    kernel = FakeKernel()
    recorder = UsageRecorder(SimpleNamespace(kernel=kernel, now=12.0), 5.0)
    recorder.report(TakeUsage(1000.0))
    calls = [build_call(name) for name in ("a", "a", "b", "")]
    for call in calls:
        recorder.count(call)
    recorder.take_back(calls[0])
    recorder.take_back(calls[0])
    recorder.take_back(calls[3])
    recorder.report(TakeUsage(1000.0))
    first, second = kernel.posted["usage"]
    assert first.counts == {}
    assert second.counts == {202: {"a": 1, "b": 1}}
    assert second.counted_until == 12.0


def test_nothing_is_counted_where_usage_is_not_reported():
    kernel = FakeKernel()
    recorder = UsageRecorder(SimpleNamespace(kernel=kernel, now=12.0), 0.0)
    recorder.count(build_call("a"))
    recorder.report(TakeUsage(1000.0))
    assert kernel.posted["usage"] == []
