"""Threads that run the handlers of requests; they start when they are needed."""

from __future__ import annotations

import threading
from collections.abc import Callable
from queue import SimpleQueue
from typing import TYPE_CHECKING, Any

from msgspec import Struct

if TYPE_CHECKING:
    from monsoontray.http.connection import ServerResponse


class Job(Struct, frozen=True):
    """Request to be handled, and what gets the response."""

    run: Callable[[], ServerResponse]
    deliver: Callable[[ServerResponse], None]


class WorkerPool:
    """Threads that handle the requests of one or more addresses.

    A thread starts when a request arrives and all others are occupied.
    """

    __slots__ = ("_lock", "_max_threads", "_name", "_queue", "_spare", "_threads")

    def __init__(self, name: str, max_threads: int) -> None:
        self._name = name
        self._max_threads = max_threads
        self._queue: SimpleQueue[Any] = SimpleQueue()
        self._lock = threading.Lock()
        self._spare = 0  # idle threads without the jobs that are queued
        self._threads: list[threading.Thread] = []

    def put(self, job: Job) -> None:
        """Queue a job."""
        with self._lock:
            self._spare -= 1
            if self._spare < 0 and len(self._threads) < self._max_threads:
                self._spare += 1
                name = f"{self._name}-{len(self._threads)}"
                thread = threading.Thread(target=self._work, name=name, daemon=True)
                self._threads.append(thread)
                thread.start()
        self._queue.put(job)

    def stop(self) -> None:
        """Let the threads end after the jobs that are queued."""
        for _ in self._threads:
            self._queue.put(None)

    def _work(self) -> None:
        while True:
            job = self._queue.get()
            if job is None:
                return
            job.deliver(job.run())
            with self._lock:
                self._spare += 1
