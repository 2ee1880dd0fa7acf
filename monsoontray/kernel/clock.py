"""Clocks that are passed to tasks and decisions."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """A source of monotonic and wall-clock time."""

    def now(self) -> float:
        """Return monotonic seconds, comparable only within one process."""

    def wall_time(self) -> float:
        """Return seconds since the epoch."""


class SystemClock:
    """The clock of the operating system.

    It counts the time while the machine is suspended, so that deadlines and leases
    pass meanwhile.
    """

    __slots__ = ()

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_time(self) -> float:
        """Return seconds since the epoch."""
        return time.time()


class ManualClock:
    """A clock that is set by its owner, for tests and simulations."""

    __slots__ = ("seconds",)

    def __init__(self, seconds: float = 0.0) -> None:
        self.seconds = seconds

    def now(self) -> float:
        """Return the time that is set, in seconds."""
        return self.seconds

    def wall_time(self) -> float:
        """Return the time that is set, in seconds."""
        return self.seconds

    def advance(self, seconds: float) -> None:
        """Advance the clock."""
        self.seconds += seconds
