"""Timers of a task."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heapify, heappop, heappush
from itertools import count

_COMPACT_MIN = 1024  # the heap is compacted only above this number of cancelled timers


class Timer:
    """A callback that runs once, when its deadline has passed."""

    __slots__ = ("callback", "deadline")

    def __init__(self, deadline: float, callback: Callable[[], None]) -> None:
        self.deadline = deadline
        self.callback: Callable[[], None] | None = callback


class Timers:
    """Priority queue of timers, ordered by deadline."""

    __slots__ = ("_cancelled", "_heap", "_sequence")

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Timer]] = []
        self._sequence = count()
        self._cancelled = 0

    def add(self, deadline: float, callback: Callable[[], None]) -> Timer:
        """Add a timer that calls a function at a deadline."""
        timer = Timer(deadline, callback)
        heappush(self._heap, (deadline, next(self._sequence), timer))
        return timer

    def cancel(self, timer: Timer) -> None:
        """Cancel a timer; it stays in the heap until it is due or compacted."""
        if timer.callback is None:
            return
        timer.callback = None
        self._cancelled += 1
        if self._cancelled > _COMPACT_MIN and self._cancelled * 2 > len(self._heap):
            self._compact()

    def find_next_deadline(self) -> float | None:
        """Return the earliest deadline, or None without timers."""
        while self._heap and self._heap[0][2].callback is None:
            heappop(self._heap)
            self._cancelled -= 1
        if not self._heap:
            return None
        return self._heap[0][0]

    def run_due(self, now: float) -> None:
        """Run the callbacks of the timers that are due."""
        heap = self._heap
        while heap and heap[0][0] <= now:
            timer = heappop(heap)[2]
            if timer.callback is None:
                self._cancelled -= 1
                continue
            callback = timer.callback
            timer.callback = None
            callback()

    def _compact(self) -> None:
        """Remove cancelled timers from the heap."""
        self._heap = [entry for entry in self._heap if entry[2].callback is not None]
        heapify(self._heap)
        self._cancelled = 0
