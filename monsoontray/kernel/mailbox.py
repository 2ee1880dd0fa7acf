"""Mailboxes that carry messages to tasks."""

from __future__ import annotations

import contextlib
import socket
from collections import deque
from queue import Empty, SimpleQueue
from typing import Any

from monsoontray.kernel.clock import Clock
from monsoontray.kernel.errors import ReplyTimeoutError


class Mailbox:
    """Hold the messages of a task that waits for messages only."""

    __slots__ = ("_clock", "_queue")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._queue: SimpleQueue[Any] = SimpleQueue()

    def put(self, message: object) -> None:
        """Add a message; any thread may call this."""
        self._queue.put(message)

    def get(self, deadline: float | None) -> Any | None:
        """Return the next message, or None when the deadline passes first."""
        if deadline is None:
            return self._queue.get()
        remaining = max(0.0, deadline - self._clock.now())
        try:
            return self._queue.get(timeout=remaining)
        except Empty:
            return None


class SocketMailbox:
    """Hold the messages of a task that waits for sockets as well."""

    __slots__ = ("_messages", "_receiver", "_sender")

    def __init__(self) -> None:
        self._messages: deque[Any] = deque()
        self._receiver, self._sender = socket.socketpair()
        self._receiver.setblocking(False)
        self._sender.setblocking(False)

    def fileno(self) -> int:
        """Return the descriptor that is readable while messages wait."""
        return self._receiver.fileno()

    def put(self, message: object) -> None:
        """Add a message and wake the task; any thread may call this."""
        self._messages.append(message)
        # A full pipe means that a wake-up is pending already; a closed one
        # means that the task has ended.
        with contextlib.suppress(OSError):
            self._sender.send(b"\0")

    def get_all(self) -> list[Any]:
        """Return the messages that wait now."""
        with contextlib.suppress(BlockingIOError):
            self._receiver.recv(4096)
        count = len(self._messages)
        return [self._messages.popleft() for _ in range(count)]

    def close(self) -> None:
        """Release the descriptors."""
        self._receiver.close()
        self._sender.close()


class Reply:
    """Carry one answer back to the thread that asked."""

    __slots__ = ("_mailbox",)

    def __init__(self, clock: Clock) -> None:
        self._mailbox = Mailbox(clock)

    def put(self, answer: object) -> None:
        """Give the answer."""
        self._mailbox.put(answer)

    def wait(self, deadline: float) -> Any:
        """Return the answer; raise ReplyTimeoutError after the deadline."""
        answer = self._mailbox.get(deadline)
        if answer is None:
            raise ReplyTimeoutError("no reply before the deadline")
        return answer
