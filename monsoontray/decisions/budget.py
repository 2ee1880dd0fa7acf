"""Bound the retries that all nodes together add to a service's load."""

from __future__ import annotations

from collections import deque


class RetryBudget:
    """Count a node's calls and retries for one service over a sliding window.

    Each node may add a share of its own calls, and an equal part of what the
    fleet may add besides. Both hold for one node alone, so that their sum holds
    for the fleet without coordination, also while nodes are cut off.
    """

    __slots__ = ("_calls", "_ratio", "_retries", "_window_s", "allowance")

    def __init__(self, ratio: float, window_s: float, allowance: float) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self.allowance = allowance  # retries a window beyond the share of the calls
        self._calls: deque[float] = deque()
        self._retries: deque[float] = deque()

    def count_call(self, now: float) -> None:
        """Count a call that was sent for the first time."""
        self._drop_old(now)
        self._calls.append(now)

    def try_retry(self, now: float) -> bool:
        """Count a retry if the budget allows it; say whether it does."""
        self._drop_old(now)
        if len(self._retries) + 1 > self._ratio * len(self._calls) + self.allowance:
            return False
        self._retries.append(now)
        return True

    def _drop_old(self, now: float) -> None:
        oldest = now - self._window_s
        for times in (self._calls, self._retries):
            while times and times[0] <= oldest:
                times.popleft()
