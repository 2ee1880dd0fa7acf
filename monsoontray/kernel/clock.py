"""Clocks that tasks and decisions are given."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Tell the time."""

    def now(self) -> float:
        """Return monotonic seconds, comparable within one process."""

    def wall_time(self) -> float:
        """Return seconds since the epoch."""


class SystemClock:
    """Tell the time of the operating system."""

    __slots__ = ()

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def wall_time(self) -> float:
        """Return seconds since the epoch."""
        return time.time()


class ManualClock:
    """Tell a time that the owner sets."""

    __slots__ = ("seconds",)

    def __init__(self, seconds: float = 0.0) -> None:
        self.seconds = seconds

    def now(self) -> float:
        """Return the time that was set."""
        return self.seconds

    def wall_time(self) -> float:
        """Return the time that was set."""
        return self.seconds

    def advance(self, seconds: float) -> None:
        """Move the time forward."""
        self.seconds += seconds
