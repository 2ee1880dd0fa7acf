"""Which version each node has in force, as far as one node knows.

Marks change at every node with every version, so they are kept apart from the
records: they take part in no digest, and each is a few bytes.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

MAX_UPDATES_PER_EXCHANGE = 64  # changed marks pushed in one exchange
RESENT_MARKS_PER_EXCHANGE = 4  # other marks, in turn, that repair what got lost
PUSHES_PER_CHANGE = 4  # times that a changed mark is pushed


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

    __slots__ = ("_marks", "_pushes_left", "_resend_order")

    def __init__(self) -> None:
        self._marks: dict[str, Mark] = {}
        self._pushes_left: dict[str, int] = {}
        self._resend_order: deque[str] = deque()

    def merge(self, marks: Iterable[Mark]) -> bool:
        """Take marks that are newer than those known; say whether any was."""
        changed = False
        for mark in marks:
            known = self._marks.get(mark.node)
            if known is None:
                self._resend_order.append(mark.node)
            elif not mark.is_newer_than(known):
                continue
            self._marks[mark.node] = mark
            self._pushes_left[mark.node] = PUSHES_PER_CHANGE
            changed = True
        return changed

    def forget_except(self, nodes: Iterable[str]) -> None:
        """Forget the marks of nodes that are no longer known."""
        kept = set(nodes)
        self._marks = {node: m for node, m in self._marks.items() if node in kept}
        self._pushes_left = {
            node: n for node, n in self._pushes_left.items() if node in kept
        }
        self._resend_order = deque(node for node in self._resend_order if node in kept)

    def take_updates(self) -> list[Mark]:
        """Return marks to push now, and a few others in turn."""
        chosen = list(self._pushes_left)[:MAX_UPDATES_PER_EXCHANGE]
        for node in chosen:
            left = self._pushes_left.pop(node) - 1
            if left:
                self._pushes_left[node] = left
        count = min(RESENT_MARKS_PER_EXCHANGE, len(self._resend_order))
        for _ in range(count):
            node = self._resend_order[0]
            self._resend_order.rotate(-1)
            if node not in chosen:
                chosen.append(node)
        return [self._marks[node] for node in chosen]

    def has_updates(self) -> bool:
        """Say whether there are changed marks to push."""
        return bool(self._pushes_left)

    def get_version_numbers(self) -> dict[str, int]:
        """Return the number of the version in force at each node."""
        return {mark.node: mark.number for mark in self._marks.values()}
