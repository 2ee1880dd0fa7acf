"""The kernel: registers, starts, supervises and stops services."""

from __future__ import annotations

import enum
from collections.abc import Callable
from graphlib import TopologicalSorter
from typing import Any, Protocol

from msgspec import Struct

from monsoontray.kernel.clock import Clock
from monsoontray.kernel.errors import DuplicateServiceError, UnknownServiceError
from monsoontray.kernel.mailbox import Mailbox, Reply
from monsoontray.kernel.messages import StopRequested, TaskCrashed
from monsoontray.logs import logger

RESTART_LIMIT = 5  # restarts of one service per window before the node stops
MAX_WAIT_S = 0.5  # of the kernel for its next message
RESTART_WINDOW_S = 60.0


class Service(Protocol):
    """A component that other services find by its name."""

    def start(self) -> None:
        """Start serving."""

    def stop(self, deadline: float) -> None:
        """Stop before the deadline (monotonic seconds)."""

    def post(self, message: Any) -> None:
        """Queue a message for the service."""


class CrashPolicy(enum.Enum):
    """What the kernel does when the task of a service crashes."""

    RESTART = "restart"
    STOP_NODE = "stop-node"


class Registration(Struct, frozen=True):
    """The name, factory and dependencies of a service."""

    name: str
    requires: tuple[str, ...]
    build: Callable[[Kernel], Service]
    on_crash: CrashPolicy = CrashPolicy.STOP_NODE
    starts_after: tuple[str, ...] = ()  # dependencies that may be unregistered


class Kernel:
    """Registry and supervisor of the services of a node."""

    def __init__(self, clock: Clock, stop_grace_s: float = 10.0) -> None:
        self.clock = clock
        self.stop_grace_s = stop_grace_s
        self._registrations: dict[str, Registration] = {}
        self._services: dict[str, Any] = {}
        self._started: list[str] = []
        self._crashes: dict[str, list[float]] = {}
        self._mailbox = Mailbox(clock)
        self.failed = False

    def register(self, registration: Registration) -> None:
        """Register a service; its name must be unused."""
        if registration.name in self._registrations:
            raise DuplicateServiceError(registration.name)
        self._registrations[registration.name] = registration

    def is_registered(self, name: str) -> bool:
        """Return whether there is a service with a name."""
        return name in self._registrations

    def find(self, name: str) -> Any:
        """Return the service with a name; raise UnknownServiceError."""
        try:
            return self._services[name]
        except KeyError:
            raise UnknownServiceError(name) from None

    def post(self, name: str, message: object) -> None:
        """Send a message to the service with a name."""
        self.find(name).post(message)

    def ask(self, name: str, build: Callable[[Reply], object], deadline: float) -> Any:
        """Send a message that carries a ``Reply`` and return the answer to it.

        Raise ReplyTimeoutError if no answer arrives before the deadline.
        """
        reply = Reply(self.clock)
        self.post(name, build(reply))
        return reply.wait(deadline)

    def post_to_kernel(self, message: object) -> None:
        """Send a message to the kernel itself; safe in a signal handler."""
        self._mailbox.put(message)

    def start(self) -> None:
        """Build and start all services, each after its dependencies."""
        order = self._compute_start_order()
        for name in order:
            self._services[name] = self._registrations[name].build(self)
        for name in order:
            self._services[name].start()
            self._started.append(name)

    def run(self) -> None:
        """Supervise the services until a stop is requested or a crash is fatal."""
        while True:
            # A signal that arrives in another thread, or just before the wait, does not
            # interrupt it. Its handler runs when the wait ends.
            message = self._mailbox.get(self.clock.now() + MAX_WAIT_S)
            if isinstance(message, StopRequested):
                logger.info("stopping: {}", message.reason)
                return
            if isinstance(message, TaskCrashed) and not self._handle_crash(message):
                self.failed = True
                return

    def stop(self) -> None:
        """Stop the services in reverse start order."""
        deadline = self.clock.now() + self.stop_grace_s
        for name in reversed(self._started):
            self._services[name].stop(deadline)
        self._started.clear()

    def _compute_start_order(self) -> list[str]:
        """Return the names of all services, each after its dependencies."""
        sorter: TopologicalSorter[str] = TopologicalSorter()
        for registration in self._registrations.values():
            for name in registration.requires:
                if name not in self._registrations:
                    raise UnknownServiceError(name)
            registered = [
                n for n in registration.starts_after if n in self._registrations
            ]
            sorter.add(registration.name, *registration.requires, *registered)
        return list(sorter.static_order())

    def _handle_crash(self, crash: TaskCrashed) -> bool:
        """Restart a crashed service; return False if the node must stop."""
        registration = self._registrations[crash.service]
        logger.error("task {} crashed", crash.service, exception=crash.error)
        if registration.on_crash is CrashPolicy.STOP_NODE:
            return False
        now = self.clock.now()
        recent = [
            time
            for time in self._crashes.get(crash.service, [])
            if time > now - RESTART_WINDOW_S
        ]
        recent.append(now)
        self._crashes[crash.service] = recent
        if len(recent) > RESTART_LIMIT:
            logger.error("task {} crashed too often: the node stops", crash.service)
            return False
        service = registration.build(self)
        self._services[crash.service] = service
        service.start()
        logger.info("task {} restarted", crash.service)
        return True
