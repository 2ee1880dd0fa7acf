"""Buffer for the received part of a request body, so that it can be sent again."""

from __future__ import annotations

MAX_PARTS = 256  # small parts take more memory than their bytes


class ReplayBuffer:
    """Body received so far; discarded if it exceeds a limit once it is sent."""

    __slots__ = ("is_complete", "parts", "size")

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.size = 0
        self.is_complete = True  # nothing that was received has been discarded

    def add(self, part: bytes, is_sent: bool, limit: int) -> None:
        """Add a part; if it was sent and the size exceeds the limit, discard all.

        Parts that were not sent yet are kept whatever the limit is.
        """
        if not self.is_complete:
            return
        self.parts.append(part)
        self.size += len(part)
        if len(self.parts) >= MAX_PARTS:
            self.parts = [b"".join(self.parts)]
        if is_sent and self.size > limit:
            self.is_complete = False
            self.parts.clear()
