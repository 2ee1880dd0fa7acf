"""Repeat one request over one connection and print how many calls were made."""

from __future__ import annotations

import sys
import time

from bench.caller import Router


def count_served_calls(address: str, duration_s: float, request: bytes) -> int:
    """Return how many calls were answered with status 200 within a duration."""
    router = Router(address)
    calls = 0
    deadline = time.monotonic() + duration_s
    while time.monotonic() < deadline:
        if router.call(request).status != 200:
            raise SystemExit("a call was refused")
        calls += 1
    router.close()
    return calls


if __name__ == "__main__":
    print(count_served_calls(sys.argv[1], float(sys.argv[2]), sys.stdin.buffer.read()))
