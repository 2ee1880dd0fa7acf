"""Which version each node has in force, as far as one node knows.

Marks change at every node with every version, so they are kept apart from the
records: they take part in no digest, and each is a few bytes.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

NEWS_PER_EXCHANGE = 64  # changed marks pushed in one exchange
REMINDERS_PER_EXCHANGE = 4  # other marks, in turn, that repair what got lost
REPEATS = 4  # times that a changed mark is pushed


@dataclass(slots=True, frozen=True)
class Mark:
    """Say which version a node has in force."""

    node: str
    incarnation: int
    number: int

    def is_newer_than(self, other: Mark) -> bool:
        """Say whether this mark overrides another of the same node."""
        return (self.incarnation, self.number) > (other.incarnation, other.number)


class VersionMarks:
    """Hold the marks of all nodes."""

    __slots__ = ("_marks", "_news", "_turn")

    def __init__(self) -> None:
        self._marks: dict[str, Mark] = {}
        self._news: dict[str, int] = {}
        self._turn: deque[str] = deque()

    def merge(self, marks: Iterable[Mark]) -> bool:
        """Take marks that are newer than those known; say whether any was."""
        changed = False
        for mark in marks:
            known = self._marks.get(mark.node)
            if known is None:
                self._turn.append(mark.node)
            elif not mark.is_newer_than(known):
                continue
            self._marks[mark.node] = mark
            self._news[mark.node] = REPEATS
            changed = True
        return changed

    def forget_except(self, nodes: Iterable[str]) -> None:
        """Forget the marks of nodes that are no longer known."""
        kept = set(nodes)
        self._marks = {node: m for node, m in self._marks.items() if node in kept}
        self._news = {node: n for node, n in self._news.items() if node in kept}
        self._turn = deque(node for node in self._turn if node in kept)

    def take_news(self) -> list[Mark]:
        """Return marks to push now, and a few others in turn."""
        chosen = list(self._news)[:NEWS_PER_EXCHANGE]
        for node in chosen:
            left = self._news.pop(node) - 1
            if left:
                self._news[node] = left
        reminders = min(REMINDERS_PER_EXCHANGE, len(self._turn))
        for _ in range(reminders):
            node = self._turn[0]
            self._turn.rotate(-1)
            if node not in chosen:
                chosen.append(node)
        return [self._marks[node] for node in chosen]

    def has_news(self) -> bool:
        """Say whether there are changed marks to push."""
        return bool(self._news)

    def get_numbers(self) -> dict[str, int]:
        """Return the number of the version in force at each node."""
        return {mark.node: mark.number for mark in self._marks.values()}
