"""Operators who wait until a version is in force at every node."""

from __future__ import annotations

from collections.abc import Callable

from monsoontray.membership.messages import NodesBehind, WaitForVersion


class WaitingOperators:
    """Hold the questions that can't be answered yet."""

    __slots__ = ("_questions",)

    def __init__(self) -> None:
        self._questions: list[WaitForVersion] = []

    def add(self, question: WaitForVersion) -> None:
        """Take a question."""
        self._questions.append(question)

    def answer(self, find_behind: Callable[[int], tuple[str, ...]], now: float) -> None:
        """Answer what is settled or overdue; told how to find the nodes behind."""
        still_open = []
        for question in self._questions:
            behind = find_behind(question.number)
            if behind and question.deadline > now:
                still_open.append(question)
            else:
                question.reply.put(NodesBehind(behind))
        self._questions = still_open

    def find_next_deadline(self) -> float | None:
        """Return when a question must be answered."""
        return min((each.deadline for each in self._questions), default=None)
