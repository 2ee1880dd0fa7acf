"""Decide when a node reads again after calls to the store that failed."""

from __future__ import annotations

from random import Random

from monsoontray.decisions.backoff import compute_retry_time

INITIAL_DELAY_S = 0.1  # doubled after each further failed call
MAX_DELAY_S = 0.8
#: The same for a node that others tell that they have lost the store as well: it learns
#: from them when the store is back.
MIN_TOLD_DELAY_S = 1.6
MAX_TOLD_DELAY_S = 3.2
MAX_LISTENING_S = 0.5  # longest pause between two requests to other nodes


class StoreRetry:
    """Times of the next call to the store and of the next request to other nodes."""

    __slots__ = ("_call_at", "_failed_at", "_failures", "_random")

    def __init__(self, random: Random) -> None:
        self._random = random
        self._failures = 0
        self._failed_at = 0.0
        self._call_at = 0.0

    def may_call(self, now: float) -> bool:
        """Return whether the store itself may be called."""
        return now >= self._call_at

    def record_failure(self, now: float) -> float:
        """Record a failed call; return when to read next."""
        self._failed_at = now
        self._call_at = compute_retry_time(
            now, self._failures, INITIAL_DELAY_S, MAX_DELAY_S, self._random
        )
        self._failures += 1
        return self._call_at

    def record_lost(self, now: float) -> None:
        """Record that other nodes answer and that none of them reaches the store."""
        if self._call_at - self._failed_at <= MAX_DELAY_S:
            delay_s = self._random.uniform(MIN_TOLD_DELAY_S, MAX_TOLD_DELAY_S)
            self._call_at = max(self._call_at, self._failed_at + delay_s)

    def record_found(self) -> None:
        """Record that another node reaches the store."""
        self._call_at = min(self._call_at, self._failed_at + MAX_DELAY_S)

    def record_success(self) -> None:
        """Record a successful read."""
        self._failures = 0
        self._call_at = 0.0

    def compute_next_read(self, now: float) -> float:
        """Return when to ask other nodes or call the store next."""
        listen_at = now + MAX_LISTENING_S * (0.5 + 0.5 * self._random.random())
        return max(now, min(listen_at, self._call_at))
