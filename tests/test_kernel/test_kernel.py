from __future__ import annotations

import signal
import threading
import time

import pytest

from monsoontray.kernel.clock import ManualClock, SystemClock
from monsoontray.kernel.errors import (
    DuplicateServiceError,
    ReplyTimeoutError,
    UnknownServiceError,
)
from monsoontray.kernel.kernel import (
    RESTART_LIMIT,
    CrashPolicy,
    Kernel,
    Registration,
)
from monsoontray.kernel.mailbox import Reply
from monsoontray.kernel.messages import StopRequested, TaskCrashed
from monsoontray.kernel.task import Task


class Recorder:
    """A service that records its starts, stops and messages."""

    def __init__(self, name: str, events: list[str]) -> None:
        self.name = name
        self.events = events

    def start(self) -> None:
        self.events.append(f"start {self.name}")

    def stop(self, deadline: float) -> None:
        self.events.append(f"stop {self.name}")

    def post(self, message: object) -> None:
        self.events.append(f"{self.name} received {message}")


def register(kernel: Kernel, name: str, requires: tuple[str, ...], events: list[str]):
    kernel.register(Registration(name, requires, lambda k: Recorder(name, events)))


def test_services_start_in_dependency_order_and_stop_in_reverse():
    events: list[str] = []
    kernel = Kernel(SystemClock())
    register(kernel, "c", ("b",), events)
    register(kernel, "a", (), events)
    register(kernel, "b", ("a",), events)
    kernel.start()
    kernel.stop()
    starts = ["start a", "start b", "start c"]
    assert events == [*starts, "stop c", "stop b", "stop a"]


def test_services_find_each_other_by_name():
    events: list[str] = []
    kernel = Kernel(SystemClock())
    register(kernel, "a", (), events)
    kernel.start()
    kernel.post("a", "hello")
    assert events[-1] == "a received hello"
    with pytest.raises(UnknownServiceError, match="'b'"):
        kernel.find("b")


def test_registering_a_name_twice_fails():
    kernel = Kernel(SystemClock())
    register(kernel, "a", (), [])
    with pytest.raises(DuplicateServiceError, match="'a'"):
        register(kernel, "a", (), [])


def test_start_reports_the_name_of_a_missing_dependency():
    kernel = Kernel(SystemClock())
    register(kernel, "a", ("missing",), [])
    with pytest.raises(UnknownServiceError, match="'missing'"):
        kernel.start()


def test_waiting_for_a_reply_times_out():
    clock = ManualClock(5.0)
    with pytest.raises(ReplyTimeoutError):
        Reply(clock).wait(5.0)


class Doubler(Task):
    """A task that doubles numbers and crashes on anything else."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__("doubler", kernel, double)


def double(message, task):
    number, reply = message
    reply.put(number * 2)


def ask_doubler(kernel: Kernel, number: object) -> object:
    deadline = kernel.clock.now() + 5.0
    return kernel.ask("doubler", lambda reply: (number, reply), deadline)


def test_a_crashed_task_is_restarted_under_its_name():
    kernel = Kernel(SystemClock())
    policy = CrashPolicy.RESTART
    kernel.register(Registration("doubler", (), Doubler, policy))
    kernel.start()
    first = kernel.find("doubler")
    kernel.post("doubler", "not a pair")
    crashed = kernel._mailbox.get(kernel.clock.now() + 5.0)
    assert isinstance(crashed, TaskCrashed)
    kernel.post_to_kernel(crashed)
    kernel.post_to_kernel(StopRequested("test"))
    kernel.run()
    assert kernel.find("doubler") is not first
    assert ask_doubler(kernel, 21) == 42
    assert not kernel.failed
    kernel.stop()


def test_a_task_that_crashes_too_often_stops_the_node():
    kernel = Kernel(ManualClock(0.0))
    registration = Registration(
        "a", (), lambda k: Recorder("a", []), CrashPolicy.RESTART
    )
    kernel.register(registration)
    kernel.start()
    for _ in range(RESTART_LIMIT + 1):
        kernel.post_to_kernel(TaskCrashed("a", RuntimeError("crash")))
    kernel.run()
    assert kernel.failed


def test_a_crash_stops_the_node_by_default():
    kernel = Kernel(SystemClock())
    register(kernel, "a", (), [])
    kernel.start()
    kernel.post_to_kernel(TaskCrashed("a", RuntimeError("crash")))
    kernel.run()
    assert kernel.failed


def test_clock_counts_the_time_while_the_machine_is_suspended(monkeypatch):
    times = {time.CLOCK_MONOTONIC: 10.0, time.CLOCK_BOOTTIME: 14.0}
    monkeypatch.setattr(time, "clock_gettime", times.__getitem__)
    assert SystemClock().now() == 14.0


def test_signal_that_does_not_interrupt_the_kernel_stops_it_all_the_same():
    """A signal may arrive in another thread, or just before the kernel waits."""
    kernel = Kernel(SystemClock(), 1.0)

    def request_stop(number, frame):
        kernel.post_to_kernel(StopRequested("signal"))

    def send_signal():
        time.sleep(0.2)  # until the kernel waits
        signal.raise_signal(signal.SIGUSR1)
        time.sleep(5.0)
        kernel.post_to_kernel(StopRequested("too late"))

    earlier = signal.signal(signal.SIGUSR1, request_stop)
    started_at = time.monotonic()
    threading.Thread(target=send_signal, daemon=True).start()
    kernel.run()
    assert time.monotonic() - started_at < 4.0
    signal.signal(signal.SIGUSR1, earlier)
