"""Messages that the kernel sends or receives."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Stop:
    """Ask a task to stop before the deadline (monotonic seconds)."""

    deadline: float


@dataclass(slots=True, frozen=True)
class StopRequested:
    """Ask the kernel to stop all services."""

    reason: str


@dataclass(slots=True, frozen=True)
class TaskCrashed:
    """Report to the kernel that a task ended with an exception."""

    service: str
    error: BaseException
