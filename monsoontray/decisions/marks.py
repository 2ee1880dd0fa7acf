"""Version in force on each node, as one node knows it.

Every new version changes the marks of all nodes. Therefore marks are kept apart from
the node records: they are not part of the digest, and each mark is only a few bytes.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from msgspec import Struct

MAX_UPDATES_PER_EXCHANGE = 64  # changed marks
RESENT_MARKS_PER_EXCHANGE = 4  # unchanged marks, in turn, to repair lost pushes
PUSHES_PER_CHANGE = 4  # pushes of a changed mark


class Mark(Struct, frozen=True):
    """Number of the version that a node has in force."""

    node: str
    incarnation: int
    number: int

    def is_newer_than(self, other: Mark) -> bool:
        """Return whether this mark overrides another one of the same node."""
        return (self.incarnation, self.number) > (other.incarnation, other.number)


class VersionMarks:
    """Marks of all nodes."""

    __slots__ = ("_marks", "_pushes_left", "_resend_order")

    def __init__(self) -> None:
        self._marks: dict[str, Mark] = {}
        self._pushes_left: dict[str, int] = {}
        self._resend_order: deque[str] = deque()

    def merge(self, marks: Iterable[Mark]) -> bool:
        """Store marks that are newer than the known ones; return whether any was."""
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

    def remove_except(self, nodes: Iterable[str]) -> None:
        """Remove the marks of all nodes except the given ones."""
        kept = set(nodes)
        self._marks = {node: m for node, m in self._marks.items() if node in kept}
        self._pushes_left = {
            node: n for node, n in self._pushes_left.items() if node in kept
        }
        self._resend_order = deque(node for node in self._resend_order if node in kept)

    def take_updates(self) -> list[Mark]:
        """Return the changed marks to push now, and a few others in turn."""
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
        """Return whether there are changed marks to push."""
        return bool(self._pushes_left)

    def get_version_numbers(self) -> dict[str, int]:
        """Return the number of the version in force by node."""
        return {mark.node: mark.number for mark in self._marks.values()}
