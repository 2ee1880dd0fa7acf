"""Tasks that wait for sockets, timers and messages at the same time."""

from __future__ import annotations

import select
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from monsoontray.kernel.mailbox import SocketMailbox
from monsoontray.kernel.messages import Stop
from monsoontray.kernel.task import Handler, Task
from monsoontray.kernel.timers import Timers

if TYPE_CHECKING:
    from monsoontray.kernel.kernel import Kernel

READABLE = select.EPOLLIN
WRITABLE = select.EPOLLOUT
ERROR_OR_HANGUP = select.EPOLLERR | select.EPOLLHUP


class SocketOwner(Protocol):
    """An object that handles the events of a socket it owns."""

    def handle_events(self, events: int) -> None:
        """Handle a mask of READABLE, WRITABLE and ERROR_OR_HANGUP."""


class SocketTask(Task):
    """A thread with an event loop over its sockets, timers and mailbox."""

    def __init__(self, name: str, kernel: Kernel, handler: Handler) -> None:
        super().__init__(name, kernel, handler)
        self.mailbox = SocketMailbox()
        self.timers = Timers()
        self._epoll = select.epoll()
        self._event_handlers: dict[int, Callable[[int], None]] = {}
        self._stopped = False
        #: Monotonic seconds when the current events were received.
        self.now = kernel.clock.now()

    def add_socket(self, descriptor: int, owner: SocketOwner, events: int) -> None:
        """Pass the events of a file descriptor to its owner."""
        self._event_handlers[descriptor] = owner.handle_events
        self._epoll.register(descriptor, events)

    def change_events(self, descriptor: int, events: int) -> None:
        """Change which events of a file descriptor are reported."""
        self._epoll.modify(descriptor, events)

    def remove_socket(self, descriptor: int) -> None:
        """Stop reporting events of a file descriptor."""
        if self._event_handlers.pop(descriptor, None) is not None:
            self._epoll.unregister(descriptor)

    def stop_serving(self) -> None:
        """Exit the event loop after the current iteration."""
        self._stopped = True

    def begin_stop(self, deadline: float) -> None:
        """Handle a request to stop; exits the loop at once unless overridden."""
        self.stop_serving()

    def finish_event(self) -> None:
        """Complete work deferred by the previous event; called after each one."""

    def serve(self) -> None:
        """Run the event loop until ``stop_serving`` is called."""
        mailbox_descriptor = self.mailbox.fileno()
        self._epoll.register(mailbox_descriptor, READABLE)
        event_handlers = self._event_handlers
        poll = self._epoll.poll
        read_clock = self.clock.now
        while not self._stopped:
            ready = poll(self._compute_poll_timeout())
            self.now = read_clock()
            for descriptor, events in ready:
                if descriptor == mailbox_descriptor:
                    self._handle_messages()
                    continue
                handle_events = event_handlers.get(descriptor)
                if handle_events is not None:
                    handle_events(events)
                    self.finish_event()
            self.timers.run_due(self.now)
            self.finish_event()

    def close(self) -> None:
        """Close the epoll instance and the mailbox."""
        self._epoll.close()
        self.mailbox.close()

    def _compute_poll_timeout(self) -> float:
        """Return the seconds until the next timer is due; -1 without timers."""
        deadline = self.timers.find_next_deadline()
        if deadline is None:
            return -1.0
        return max(0.0, deadline - self.clock.now())

    def _handle_messages(self) -> None:
        for message in self.mailbox.get_all():
            if isinstance(message, Stop):
                self.stop_deadline = message.deadline
                self.begin_stop(message.deadline)
            else:
                self._handler(message, self)
            self.finish_event()
