"""Message queues of tasks, and replies to requests."""

from __future__ import annotations

import contextlib
import socket
from collections import deque
from queue import Empty, SimpleQueue
from typing import Any

from monsoontray.kernel.clock import Clock
from monsoontray.kernel.errors import ReplyTimeoutError


class Mailbox:
    """Message queue of a task that waits for messages only."""

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
    """Message queue of a task that also waits for sockets."""

    __slots__ = ("_messages", "_receiver", "_sender")

    def __init__(self) -> None:
        self._messages: deque[Any] = deque()
        self._receiver, self._sender = socket.socketpair()
        self._receiver.setblocking(False)
        self._sender.setblocking(False)

    def fileno(self) -> int:
        """Return a file descriptor that is readable while messages are queued."""
        return self._receiver.fileno()

    def put(self, message: object) -> None:
        """Add a message and wake up the task; any thread may call this."""
        self._messages.append(message)
        # If the socket buffer is full, a wake-up is already pending; if the socket
        # is closed, the task has ended.
        with contextlib.suppress(OSError):
            self._sender.send(b"\0")

    def get_all(self) -> list[Any]:
        """Return all queued messages without waiting."""
        with contextlib.suppress(BlockingIOError):
            self._receiver.recv(4096)
        count = len(self._messages)
        return [self._messages.popleft() for _ in range(count)]

    def close(self) -> None:
        """Close the file descriptors."""
        self._receiver.close()
        self._sender.close()


class Reply:
    """The answer to one request, which another thread waits for."""

    __slots__ = ("_mailbox",)

    def __init__(self, clock: Clock) -> None:
        self._mailbox = Mailbox(clock)

    def put(self, answer: object) -> None:
        """Send the answer; any thread may call this."""
        self._mailbox.put(answer)

    def wait(self, deadline: float) -> Any:
        """Wait for the answer; raise ReplyTimeoutError after the deadline."""
        answer = self._mailbox.get(deadline)
        if answer is None:
            raise ReplyTimeoutError("no reply before the deadline")
        return answer
