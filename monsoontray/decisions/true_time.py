"""Estimate of true time from the steady clock and the clocks of other nodes."""

from __future__ import annotations

from statistics import median

MAX_SLEW_S = 0.25  # a larger difference is a jump of the time of day
MAX_SAMPLES = 2_000


class TrueTime:
    """Offset of true time from the steady clock; follows no jump of the time of day."""

    __slots__ = ("_own_offset", "_samples", "offset")

    def __init__(self, now: float, wall_time: float) -> None:
        self._own_offset = wall_time - now
        self._samples: dict[str, float] = {}
        #: Seconds to add to the steady clock.
        self.offset = self._own_offset

    def estimate_own(self, now: float) -> float:
        """Return the time since 1970 as this node's own clocks have it."""
        return now + self._own_offset

    def estimate(self, now: float) -> float:
        """Return the best estimate of the time since 1970."""
        return now + self.offset

    def follow(self, now: float, wall_time: float) -> None:
        """Follow small corrections of the time of day."""
        change = wall_time - now - self._own_offset
        if abs(change) < MAX_SLEW_S:
            self._own_offset += change
            self.offset += change

    def add_sample(self, node: str, time: float, now: float) -> None:
        """Record the time of another node, and follow the median of all."""
        if len(self._samples) >= MAX_SAMPLES:
            self._samples.clear()
        self._samples[node] = time - now
        self.correct(now + median([self._own_offset, *self._samples.values()]), now)

    def correct(self, time: float, now: float) -> None:
        """Take over a time that other nodes agree on if the own one is far from it."""
        if abs(time - self.estimate(now)) > MAX_SLEW_S:
            self.offset = time - now
