"""Counts of customers' calls by window: at the guard, of a node and of all nodes."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from msgspec import Struct

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

Counts = dict[str, int]  # by customer

MAX_WINDOWS = 8  # that a node keeps until they are recorded
MAX_CUSTOMERS = 10_000  # counted in one window by one node
MAX_KEPT_NODES = 200  # whose last sums a node keeps
SETTLE_S = 0.2  # a server's rejection arrives within this time
#: Time from the end of a window until it may be recorded, and from the start of a term.
MIN_COLLECT_S = 0.8
MIN_TERM_S = 1.5
COLLECT_SHARE = 0.7  # of the time until the report is due
TELLS_PER_S = 100.0  # that the holder wants from all nodes together
#: Windows before the current one that a holder still collects.
MAX_PAST_WINDOWS = 3


class CallCounter:
    """Counter of the calls that a guard sends to its server."""

    __slots__ = ("_counts", "_window_s", "offset")

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        #: Seconds of true time beyond the steady clock, None while it is unknown.
        self.offset: float | None = None
        self._counts: dict[int, Counts] = {}

    def count(self, customer: str, now: float) -> int:
        """Count a call; return its window, or 0 while the time is unknown."""
        if self.offset is None:
            return 0
        window = int((now + self.offset) // self._window_s)
        self._add(window, customer, 1)
        return window

    def take_back(self, customer: str, window: int) -> None:
        """Take back the count of a call that the server rejected."""
        self._add(window, customer, -1)

    def take(self) -> dict[int, Counts]:
        """Return the counts since the last time."""
        counts, self._counts = self._counts, {}
        return counts

    def _add(self, window: int, customer: str, change: int) -> None:
        counts = self._counts.setdefault(window, {})
        counts[customer] = counts.get(customer, 0) + change


class NodeUsage(Struct, frozen=True):
    """Sums of a node's calls in the windows that are not recorded yet."""

    node: str
    incarnation: int
    sequence: int  # later sums of an incarnation replace earlier ones
    time: float  # seconds since 1970, by the node's own clocks
    complete_through: int  # newest window in which the node counts no more
    windows: dict[int, Counts]
    leaving: bool = False


class UsageSums:
    """Sums of this node's calls, kept until they are recorded."""

    __slots__ = ("_windows", "recorded")

    def __init__(self) -> None:
        self._windows: dict[int, Counts] = {}
        self.recorded = 0  # newest window that is known to be recorded

    def add(self, counts: Mapping[int, Counts]) -> int:
        """Add counts; return how many came after their window was recorded."""
        late = 0
        for window, changes in counts.items():
            if window <= self.recorded:
                late += sum(changes.values())
                continue
            sums = self._windows.setdefault(window, {})
            for customer, change in changes.items():
                if customer in sums or len(sums) < MAX_CUSTOMERS:
                    sums[customer] = sums.get(customer, 0) + change
        for window in sorted(self._windows)[:-MAX_WINDOWS]:
            late += sum(self._windows.pop(window).values())
        return late

    def mark_recorded(self, window: int) -> None:
        """Forget the windows that are recorded."""
        self.recorded = max(self.recorded, window)
        for each in [each for each in self._windows if each <= self.recorded]:
            del self._windows[each]

    def get_windows(self) -> dict[int, Counts]:
        """Return a copy of the sums, for other tasks."""
        return {window: dict(sums) for window, sums in self._windows.items()}


class KeptSums:
    """Last sums of nodes that stopped, until they are recorded."""

    __slots__ = ("_kept", "_told")

    def __init__(self) -> None:
        self._kept: dict[tuple[str, int], NodeUsage] = {}
        #: Tokens of the holders that have the sums.
        self._told: dict[tuple[str, int], int] = {}

    def add(self, usage: NodeUsage) -> None:
        """Keep the sums of a node that has stopped."""
        if len(self._kept) < MAX_KEPT_NODES:
            self._kept[usage.node, usage.incarnation] = usage

    def mark_told(self, usage: NodeUsage, token: int) -> None:
        """Record that a holder has the sums; the next one needs them, too."""
        self._told[usage.node, usage.incarnation] = token

    def find_untold(self, recorded: int, token: int = 0) -> list[NodeUsage]:
        """Return what the holder with a token does not have, or all for token 0.

        What is recorded is forgotten.
        """
        for key, usage in list(self._kept.items()):
            if max(usage.windows, default=0) <= recorded:
                del self._kept[key]
                self._told.pop(key, None)
        return [
            usage for key, usage in self._kept.items() if self._told.get(key) != token
        ]


class WindowCollector:
    """The sums of all nodes, at the node that holds the duty."""

    __slots__ = ("_expected", "_known", "_late_s", "_started_at", "_window_s", "window")

    def __init__(self, window_s: float, late_s: float) -> None:
        self._window_s = window_s
        self._late_s = late_s
        #: Latest sums, by node and incarnation.
        self._known: dict[str, dict[int, NodeUsage]] = {}
        self._expected: set[str] = set()
        self._started_at = math.inf  # seconds since 1970, as are all times here
        self.window: int | None = None  # collected next; None without the duty

    def begin(
        self,
        recorded: int,
        nodes: Iterable[str],
        time: float,
        may_lack_records: bool = False,
    ) -> None:
        """Begin a term after a recorded window, with the nodes that are known.

        If the records of windows that have ended may be lost, these are left out:
        other counts of them may have been reported.
        """
        current = int(time // self._window_s)
        past = 0 if may_lack_records else MAX_PAST_WINDOWS
        earliest = max(current - past, 0)
        self.window = max(recorded + 1, earliest) if recorded else current
        self._expected.update(nodes)
        self._started_at = time

    def end(self) -> None:
        """End the term; what the nodes told is told again to the next holder."""
        self.window = None
        self._known.clear()
        self._expected.clear()

    def add(self, usage: NodeUsage) -> None:
        """Replace the sums of a node."""
        by_incarnation = self._known.setdefault(usage.node, {})
        known = by_incarnation.get(usage.incarnation)
        if known is not None and known.sequence >= usage.sequence:
            return
        by_incarnation[usage.incarnation] = usage
        if usage.leaving and usage.incarnation >= max(by_incarnation):
            self._expected.discard(usage.node)
        elif not usage.leaving:
            self._expected.add(usage.node)

    def collect(self, time: float) -> Counts | None:
        """Return the counts of the window if it may be recorded now."""
        if self.window is None or time < self._find_earliest(self.window):
            return None
        missing = {name for name in self._expected if not self._has_told(name)}
        if missing and time < self._find_limit(self.window):
            return None
        # A node that has gone is waited for once.
        self._expected -= missing
        total: Counts = {}
        for by_incarnation in self._known.values():
            for usage in by_incarnation.values():
                for customer, count in usage.windows.get(self.window, {}).items():
                    total[customer] = total.get(customer, 0) + count
        return {name: total[name] for name in sorted(total) if total[name] > 0}

    def advance(self) -> None:
        """Go on to the next window, and forget what is no longer needed."""
        assert self.window is not None
        self.window += 1
        oldest = self.window - MAX_PAST_WINDOWS
        for by_incarnation in self._known.values():
            for incarnation, usage in list(by_incarnation.items()):
                if usage.complete_through < oldest and not any(
                    window >= self.window for window in usage.windows
                ):
                    del by_incarnation[incarnation]
        self._known = {name: each for name, each in self._known.items() if each}

    def compute_interval(self) -> float:
        """Return how often a node should tell, in seconds, by the number of nodes."""
        return len(self._known) / TELLS_PER_S

    def find_next_check(self, time: float) -> float | None:
        """Return the time at which the window may be recorded without a message."""
        if self.window is None:
            return None
        earliest = self._find_earliest(self.window)
        return earliest if time < earliest else self._find_limit(self.window)

    def _has_told(self, name: str) -> bool:
        told = self._known.get(name, {}).values()
        return any(usage.complete_through >= (self.window or 0) for usage in told)

    def _find_earliest(self, window: int) -> float:
        end = (window + 1) * self._window_s
        return max(end + MIN_COLLECT_S, self._started_at + MIN_TERM_S)

    def _find_limit(self, window: int) -> float:
        limit = (window + 1) * self._window_s + COLLECT_SHARE * self._late_s
        return max(limit, self._find_earliest(window))
