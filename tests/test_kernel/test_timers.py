from __future__ import annotations

from monsoontray.kernel.timers import Timers


def test_timers_run_in_deadline_order():
    timers = Timers()
    ran: list[str] = []
    timers.add(3.0, lambda: ran.append("late"))
    timers.add(1.0, lambda: ran.append("early"))
    timers.add(2.0, lambda: ran.append("middle"))
    timers.run_due(2.0)
    assert ran == ["early", "middle"]
    assert timers.find_next_deadline() == 3.0


def test_a_cancelled_timer_does_not_run():
    timers = Timers()
    ran: list[str] = []
    timer = timers.add(1.0, lambda: ran.append("ran"))
    timers.cancel(timer)
    timers.cancel(timer)
    timers.run_due(5.0)
    assert ran == []
    assert timers.find_next_deadline() is None


def test_cancelled_timers_are_removed_from_the_heap():
    timers = Timers()
    active = timers.add(1e9, lambda: None)
    for i in range(50_000):
        timers.cancel(timers.add(1e6 + i, lambda: None))
    assert len(timers._heap) < 5_000
    assert active.callback is not None


def test_a_callback_can_add_a_timer_that_is_already_due():
    timers = Timers()
    ran: list[int] = []
    timers.add(1.0, lambda: timers.add(1.0, lambda: ran.append(1)))
    timers.run_due(1.0)
    assert ran == [1]
