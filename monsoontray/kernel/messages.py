"""Messages that the kernel sends or receives."""

from __future__ import annotations

from msgspec import Struct


class Stop(Struct, frozen=True):
    """Ask a task to stop before the deadline (monotonic seconds)."""

    deadline: float


class StopRequested(Struct, frozen=True):
    """Ask the kernel to stop all services."""

    reason: str


class TaskCrashed(Struct, frozen=True):
    """Report to the kernel that a task ended with an exception."""

    service: str
    error: BaseException
