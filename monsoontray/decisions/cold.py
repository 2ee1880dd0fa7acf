"""Limit on the calls that a cold server gets."""

from __future__ import annotations

from collections import deque
from typing import Any

from msgspec import Struct

COLD_WINDOW_S = 1.05  # a cold server's limit is per second; 50 ms of margin
COLD_LIMIT_SHARE = 0.95  # share of the limit in use: transit times vary
#: Share of the limit that is used in a guard's first window, because calls sent by a
#: previous process of the node may still arrive in it.
FIRST_COLD_LIMIT_SHARE = 0.8


class ColdLimits(Struct, frozen=True):
    """Limit on the call rate of a cold server."""

    factor: float = 1.0  # of the rate that the server announces
    slack: float = 0.0  # calls a second in addition


class ColdWindow:
    """Requests that count for the limit of a cold server."""

    __slots__ = ("_first_at", "_limits", "_start_at", "_start_times", "_unsent")

    def __init__(self, limits: ColdLimits, start_at: float) -> None:
        self._limits = limits
        self._start_times: deque[float] = deque()  # when requests were sent
        self._unsent: set[Any] = set()  # calls that hold a slot and were not sent yet
        #: Until then an earlier process of this node may have used up a cold server's
        #: limit, so the server gets no call.
        self._start_at = start_at
        #: Time of the first request while the server was cold.
        self._first_at: float | None = None

    def add_unsent(self, call: Any) -> None:
        """Add a call whose request may be sent at any time."""
        self._unsent.add(call)

    def remove_unsent(self, call: Any) -> None:
        """Remove a call whose request was sent or won't be."""
        self._unsent.discard(call)

    def count_sent(self, now: float) -> None:
        """Count a request that is sent."""
        self._start_times.append(now)
        self._drop_old(now)

    def allows(self, per_s: float, now: float) -> bool:
        """Return whether the server, which names this rate, takes one more call."""
        if now < self._start_at:
            return False
        self._drop_old(now)
        max_starts = per_s * self._limits.factor + self._limits.slack
        if self._first_at is None:
            self._first_at = now
        is_first_window = now - self._first_at < COLD_WINDOW_S
        limit = max_starts * (
            FIRST_COLD_LIMIT_SHARE if is_first_window else COLD_LIMIT_SHARE
        )
        # An unsent request may arrive at any time, however long ago it got its slot.
        return len(self._start_times) + len(self._unsent) + 1 <= limit

    def compute_wait(self, now: float) -> float:
        """Return the seconds until a cold server accepts the next call."""
        if now < self._start_at:
            return self._start_at - now
        if not self._start_times:
            return COLD_WINDOW_S
        return self._start_times[0] + COLD_WINDOW_S - now

    def _drop_old(self, now: float) -> None:
        while self._start_times and self._start_times[0] + COLD_WINDOW_S <= now:
            self._start_times.popleft()
