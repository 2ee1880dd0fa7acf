"""Exponential backoff."""

from __future__ import annotations

from random import Random

MAX_DOUBLINGS = 16


def compute_retry_time(
    now: float, failures: int, first_s: float, longest_s: float, random: Random
) -> float:
    """Return when to retry: the delay doubles up to a limit, with jitter."""
    doublings = min(failures, MAX_DOUBLINGS)
    longest = min(longest_s, first_s * 2**doublings)
    return now + longest * (0.5 + 0.5 * random.random())
