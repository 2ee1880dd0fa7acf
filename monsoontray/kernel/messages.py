"""Messages that the kernel itself sends and takes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Stop:
    """Tell a task to end before the deadline (monotonic seconds)."""

    deadline: float


@dataclass(slots=True, frozen=True)
class StopRequested:
    """Tell the kernel to stop every service."""

    reason: str


@dataclass(slots=True, frozen=True)
class TaskCrashed:
    """Tell the kernel that a task ended by an error."""

    service: str
    error: BaseException
