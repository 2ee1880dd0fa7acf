"""Pace of the calls to a server that names the rate that it takes."""

from __future__ import annotations

#: Calls that may start at once after a pause, as seconds of the rate, and the least.
BURST_S = 0.25
MIN_BURST = 2.0
#: A server that takes less than this gets a call from time to time all the same, since
#: only a response shows that the limit has ended.
MIN_RATE_PER_S = 0.5


class Pace:
    """Bucket of calls that may start, refilled at the rate that the server names."""

    __slots__ = ("_available", "_refilled_at", "per_s")

    def __init__(self, per_s: float, now: float) -> None:
        self.per_s = max(per_s, MIN_RATE_PER_S)
        self._available = 0.0
        self._refilled_at = now

    def set_rate(self, per_s: float, now: float) -> None:
        """Change the rate from now on."""
        self._refill(now)
        self.per_s = max(per_s, MIN_RATE_PER_S)

    def compute_wait(self, now: float) -> float:
        """Return the seconds until the next call may start."""
        self._refill(now)
        return max(0.0, (1.0 - self._available) / self.per_s)

    def count_start(self, now: float) -> None:
        """Count a call that starts."""
        self._refill(now)
        self._available -= 1.0

    def _refill(self, now: float) -> None:
        burst = max(MIN_BURST, BURST_S * self.per_s)
        refill = max(0.0, now - self._refilled_at) * self.per_s
        self._available = min(burst, self._available + refill)
        self._refilled_at = now
