"""Exponential backoff."""

from __future__ import annotations

from random import Random

MAX_DOUBLINGS = 16


def compute_retry_time(
    now: float,
    failures: int,
    initial_delay_s: float,
    max_delay_s: float,
    random: Random,
) -> float:
    """Return when to retry: the delay doubles up to a limit, with jitter."""
    doublings = min(failures, MAX_DOUBLINGS)
    delay_s = min(max_delay_s, initial_delay_s * 2**doublings)
    return now + delay_s * (0.5 + 0.5 * random.random())
