"""Tasks: threads that own their state and receive messages by mailbox."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from monsoontray.kernel.mailbox import Mailbox
from monsoontray.kernel.messages import Stop, TaskCrashed

if TYPE_CHECKING:
    from monsoontray.kernel.kernel import Kernel

Handler = Callable[[Any, Any], None]


class Task:
    """A thread that owns its state and handles its messages in order.

    ``handler`` is a ``singledispatch`` function of (message, task).
    """

    def __init__(self, name: str, kernel: Kernel, handler: Handler) -> None:
        self.name = name
        self.kernel = kernel
        self.clock = kernel.clock
        self._handler = handler
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self.stop_deadline: float | None = None
        self.mailbox: Any = Mailbox(kernel.clock)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def post(self, message: object) -> None:
        """Put a message in the mailbox; any thread may call this."""
        self.mailbox.put(message)

    def stop(self, deadline: float) -> None:
        """Ask the task to stop, and wait until it ends or the deadline passes."""
        self.post(Stop(deadline))
        if self._thread is not threading.current_thread():
            self._thread.join(max(0.0, deadline - self.clock.now()))

    def _run(self) -> None:
        try:
            self.open()
            self.serve()
            self.close()
        except Exception as error:
            self.kernel.post_to_kernel(TaskCrashed(self.name, error))

    def serve(self) -> None:
        """Handle messages and deadlines until a ``Stop`` message arrives."""
        while True:
            message = self.mailbox.get(self.find_next_deadline())
            if message is None:
                self.on_deadline()
            elif isinstance(message, Stop):
                self.stop_deadline = message.deadline
                return
            else:
                self._handler(message, self)

    def open(self) -> None:
        """Acquire the task's resources; runs in the task's thread."""

    def find_next_deadline(self) -> float | None:
        """Return when ``on_deadline`` is due, or None to wait for messages only."""
        return None

    def on_deadline(self) -> None:
        """Handle the deadline that ``find_next_deadline`` returned."""

    def close(self) -> None:
        """Release the task's resources; runs in the task's thread."""
