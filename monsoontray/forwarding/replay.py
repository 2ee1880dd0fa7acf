"""The part of a request's body that was received, kept to be sent again."""

from __future__ import annotations


class ReplayBuffer:
    """Keep a body up to a bound; give it up beyond."""

    __slots__ = ("is_complete", "parts", "size")

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.size = 0
        self.is_complete = True  # everything received is still here

    def add(self, part: bytes, is_sent: bool, limit: int) -> None:
        """Keep a part; one that was sent is given up beyond the limit."""
        if not self.is_complete:
            return
        self.parts.append(part)
        self.size += len(part)
        if is_sent and self.size > limit:
            self.is_complete = False
            self.parts.clear()
