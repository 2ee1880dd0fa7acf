"""Nodes that tell the holder their counts, in a network in memory."""

from __future__ import annotations

from functools import partial

import pytest

from monsoontray.decisions.directory import ListedNode
from monsoontray.decisions.duty_steps import Holder
from monsoontray.http.client import HttpResponse
from monsoontray.kernel.timers import Timers
from monsoontray.usage import telling as module
from monsoontray.usage.messages import (
    DutyHeld,
    DutyLost,
    HolderChanged,
    TakeUsage,
    UsageCounted,
    UsageTold,
    WindowCollected,
    WindowsRecorded,
)
from monsoontray.usage.service import Usage, handle_message
from tests.fakes import FakeKernel

SETTINGS = {"usage_window_s": 5.0, "usage_address": "127.0.0.1:9"}
TRANSIT_S = 0.01


class NodeKernel(FakeKernel):
    """Kernel of one node, whose guard counts two calls a second."""

    def __init__(self, network, number):
        super().__init__(node=f"n{number}", zone=f"zone-{number % 3}", **SETTINGS)
        self.network = network
        self.clock = network.clock
        self.zone = number % 3
        self.counted = 0
        self.usage = None

    def post(self, name, message):
        if isinstance(message, TakeUsage):
            now = self.clock.now()
            window = int((now + message.offset) // 5.0)
            self.counted += 2
            message = UsageCounted({window: {"a": 2}}, now)
            self.network.timers.add(now + 0.001, partial(self.deliver, message))
            return
        self.posted[name].append(message)

    def ask(self, name, build, deadline):
        return self.network.listed

    def deliver(self, message):
        self.usage.now = self.clock.now()
        handle_message(message, self.usage)


class Network:
    """Nodes in three zones; some pairs of zones cannot reach each other."""

    def __init__(self, size, monkeypatch):
        self.clock = FakeKernel().clock
        self.clock.seconds = 1000.2
        self.timers = Timers()
        self.cut = set()
        self.exchanges = 0
        self.listed = tuple(
            ListedNode(f"n{i}", "norte", f"zone-{i % 3}", "127.0.0.1:1",
                       f"127.0.0.1:{i + 1}", 1, False, None)
            for i in range(size)
        )  # fmt: skip
        self.kernels = [NodeKernel(self, i) for i in range(size)]
        monkeypatch.setattr(module, "HttpExchange", self.send)
        for kernel in self.kernels:
            kernel.usage = Usage(kernel)
            kernel.usage.timers = self.timers
            kernel.usage.open()

    def send(self, task, request, on_end):
        self.exchanges += 1
        sender = next(k for k in self.kernels if k.usage is task)
        receiver = self.kernels[request.address.port - 1]
        if frozenset((sender.zone, receiver.zone)) in self.cut:
            self.timers.add(request.response_deadline, partial(self.end, task, on_end))
            return
        reply = Reply(partial(self.answer, task, on_end))
        message = UsageTold(request.body, reply)
        self.timers.add(
            self.clock.now() + TRANSIT_S, partial(receiver.deliver, message)
        )

    def answer(self, task, on_end, body):
        self.timers.add(
            self.clock.now() + TRANSIT_S, partial(self.end, task, on_end, body)
        )

    def end(self, task, on_end, body=None):
        task.now = self.clock.now()
        on_end(None if body is None else HttpResponse(200, body))

    def run(self, seconds):
        end = self.clock.now() + seconds
        while (due := self.timers.find_next_deadline()) is not None and due <= end:
            self.clock.seconds = max(due, self.clock.seconds)
            for kernel in self.kernels:
                kernel.usage.now = self.clock.seconds
            self.timers.run_due(self.clock.seconds)
        self.clock.seconds = end

    def set_holder(self, number, recorded=0, token=1):
        holder = Holder(f"n{number}", f"127.0.0.1:{number + 1}", token, "7")
        for i, kernel in enumerate(self.kernels):
            kernel.deliver(HolderChanged(holder))
            if i == number:
                names = tuple(f"n{k}" for k in range(len(self.kernels)))
                kernel.deliver(DutyHeld(recorded, names))

    def find_collected(self, number):
        return {
            message.window: message.counts["a"]
            for message in self.kernels[number].posted["usage-duty"]
            if isinstance(message, WindowCollected)
        }


class Reply:
    def __init__(self, put):
        self.put = put


@pytest.fixture
def network(monkeypatch):
    return Network(6, monkeypatch)


def count_calls(network):
    return sum(kernel.counted for kernel in network.kernels)


def test_holder_collects_every_call_of_every_node_once(network):
    network.set_holder(0)
    network.run(21.0)
    collected = network.find_collected(0)
    assert sorted(collected) == [200, 201, 202, 203]
    pending = sum(sum(w.get("a", 0) for w in k.usage._sums.get_windows().values())
                  for k in network.kernels)  # fmt: skip
    assert pending == count_calls(network)  # none is forgotten before it is recorded
    assert network.exchanges <= 5 * 1.4 * 21


def test_windows_are_collected_soon_after_their_end(network):
    network.set_holder(0)
    network.run(5.0 + 1.2 - 0.2)
    assert list(network.find_collected(0)) == [200]


def test_next_holder_collects_what_the_earlier_one_had_been_told(network):
    network.set_holder(0)
    network.run(4.0)
    network.kernels[0].deliver(DutyLost())
    network.set_holder(1)
    network.run(4.0)
    network.set_holder(0)
    assert network.find_collected(1)[200] >= 6 * 2 * 5


def test_zone_that_cannot_reach_the_holder_tells_through_a_third(network):
    network.cut.add(frozenset((0, 1)))
    network.set_holder(0)
    network.run(7.0)
    collected = network.find_collected(0)
    assert collected[200] >= 6 * 2 * 5


def test_recorded_windows_are_forgotten_and_late_counts_are_reported(network):
    network.set_holder(0)
    network.run(7.0)
    network.kernels[0].deliver(WindowsRecorded(200))
    network.run(2.0)
    for kernel in network.kernels:
        assert 200 not in kernel.usage._sums.get_windows()
    network.kernels[2].deliver(UsageCounted({200: {"a": 3}}, network.clock.now()))
    assert 3 in network.kernels[2].posted["metrics"]


def test_last_counts_of_a_node_that_stops_are_collected(network):
    network.set_holder(0)
    network.run(3.0)
    kernel = network.kernels[2]
    kernel.deliver(UsageCounted({200: {"a": 50}}, network.clock.now()))
    kernel.usage.begin_stop(network.clock.now() + 1.0)
    network.run(0.1)
    kernel.usage.timers = Timers()  # its own timers end with it
    network.run(4.0)
    assert network.find_collected(0)[200] >= 50 + 5 * 2 * 5


@pytest.mark.parametrize("stopped", [0, 2])
def test_node_that_stops_leaves_its_counts_to_another_for_the_next_holder(
    network, stopped
):
    network.set_holder(0)
    network.run(3.0)
    network.kernels[0].deliver(DutyLost())
    kernel = network.kernels[stopped]
    for each in network.kernels:
        each.deliver(HolderChanged(None))
    kernel.deliver(UsageCounted({200: {"a": 50}}, network.clock.now()))
    kernel.usage.begin_stop(network.clock.now() + 1.0)
    network.run(0.5)
    kernel.usage._tell = lambda: None  # it has ended
    network.set_holder(3, token=2)
    network.run(0.9)
    network.kernels[3].deliver(DutyLost())
    network.set_holder(1, token=3)
    network.run(4.0)
    assert network.find_collected(1)[200] >= 50 + 5 * 2 * 5


def test_holder_of_a_large_fleet_is_told_less_often(monkeypatch):
    monkeypatch.setattr("monsoontray.decisions.usage.TELLS_PER_S", 2.0)
    network = Network(6, monkeypatch)
    network.set_holder(0)
    network.run(22.0)
    assert sorted(network.find_collected(0)) == [200, 201, 202, 203]
    assert network.exchanges < 5 * 22 / 1.6


def test_term_that_ends_late_does_not_hide_the_next_holder(network):
    network.set_holder(0)
    network.run(1.0)
    network.set_holder(1)
    network.kernels[0].deliver(DutyLost())
    network.run(6.0)
    assert network.find_collected(1)[200] >= 6 * 2 * 5


def test_message_that_cannot_be_read_is_refused(network):
    answers = []
    network.set_holder(0)
    network.kernels[0].deliver(UsageTold(b"\xff", Reply(answers.append)))
    assert answers == [b""]
    assert "usage" in network.kernels[0].posted["metrics"]
