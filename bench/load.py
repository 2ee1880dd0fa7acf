"""Send one request again and again over one connection; print the calls made."""

from __future__ import annotations

import sys
import time

from bench.caller import Router


def count_served_calls(address: str, duration_s: float, request: bytes) -> int:
    """Return the calls that were responded with 200 in the time given."""
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
