"""Requests of operators that wait until a version is in force on all nodes."""

from __future__ import annotations

from collections.abc import Callable

from monsoontray.membership.messages import NodesBehind, WaitForVersion


class VersionWaiters:
    """Requests that cannot be answered yet."""

    __slots__ = ("_requests",)

    def __init__(self) -> None:
        self._requests: list[WaitForVersion] = []

    def add(self, request: WaitForVersion) -> None:
        """Add a request."""
        self._requests.append(request)

    def answer(
        self, find_nodes_behind: Callable[[int], tuple[str, ...]], now: float
    ) -> None:
        """Answer requests that are fulfilled or past their deadline.

        ``find_nodes_behind`` returns the nodes whose version is below a number.
        """
        unanswered = []
        for request in self._requests:
            behind = find_nodes_behind(request.number)
            if behind and request.deadline > now:
                unanswered.append(request)
            else:
                request.reply.put(NodesBehind(behind))
        self._requests = unanswered

    def find_next_deadline(self) -> float | None:
        """Return the earliest deadline of a request."""
        return min((each.deadline for each in self._requests), default=None)
