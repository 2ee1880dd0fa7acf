"""Operators who wait until a version is in force at every node."""

from __future__ import annotations

from collections.abc import Callable

from monsoontray.membership.messages import NodesBehind, WaitForVersion


class VersionWaiters:
    """Hold the questions that can't be answered yet."""

    __slots__ = ("_requests",)

    def __init__(self) -> None:
        self._requests: list[WaitForVersion] = []

    def add(self, request: WaitForVersion) -> None:
        """Take a question."""
        self._requests.append(request)

    def answer(
        self, find_nodes_behind: Callable[[int], tuple[str, ...]], now: float
    ) -> None:
        """Answer what is settled or overdue; told how to find the nodes behind."""
        unanswered = []
        for request in self._requests:
            behind = find_nodes_behind(request.number)
            if behind and request.deadline > now:
                unanswered.append(request)
            else:
                request.reply.put(NodesBehind(behind))
        self._requests = unanswered

    def find_next_deadline(self) -> float | None:
        """Return when a question must be answered."""
        return min((each.deadline for each in self._requests), default=None)
