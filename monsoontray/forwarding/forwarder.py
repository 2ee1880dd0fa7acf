"""The task that owns the sockets of calls."""

from __future__ import annotations

import gc
import socket
import sys
from functools import singledispatch
from random import Random
from typing import TYPE_CHECKING, Any

from loguru import logger

from monsoontray.decisions.admission import NO_ENTITLEMENTS
from monsoontray.decisions.guard import GuardState
from monsoontray.decisions.outcomes import Reason, Refusal, refuse_unrun
from monsoontray.decisions.retries import Abandon, Retry
from monsoontray.decisions.servers import LoadView, Place, ServerTable
from monsoontray.forwarding.call import Call
from monsoontray.forwarding.caller import CallerConnection
from monsoontray.forwarding.heads import RequestHead
from monsoontray.forwarding.limits import read_limits
from monsoontray.forwarding.listener import (
    EntrySide,
    GuardSide,
    Listener,
    find_route,
)
from monsoontray.forwarding.messages import (
    DescribeForwarding,
    EnforceEntitlements,
    ForwardingState,
    GuardServers,
    UseServers,
)
from monsoontray.forwarding.refusals import CALL_ID_HEADER
from monsoontray.forwarding.routes import use_slot
from monsoontray.forwarding.upstream import UpstreamPool
from monsoontray.kernel.kernel import Kernel, Registration
from monsoontray.kernel.sockets import SocketTask
from monsoontray.membership.messages import NodeLeaves

if TYPE_CHECKING:
    from monsoontray.forwarding.connection import Connection
    from monsoontray.metrics.service import Metrics
    from monsoontray.settings.settings import Address, Settings

NAME = "forwarding"
THREAD_SWITCH_S = 0.0005  # longest turn of a thread that keeps the interpreter
COLLECT_AFTER = 50_000  # new objects between two garbage collections
IDLE_CLOSE_S = 0.5  # time that idle callers keep their connection at a stop
MAX_TIMEOUT_MS = 3_600_000
TIMEOUT_HEADER = b"monsoontray-timeout-ms"
MAX_CALL_ID_LENGTH = 128


class Forwarder(SocketTask):
    """Own callers' sockets, connections to servers, slots and calls."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(NAME, kernel, handle_message)
        settings: Settings = kernel.find("settings").settings
        self.limits = read_limits(settings)
        self.place = Place(
            settings.get_text("node"),
            settings.get_text("region"),
            settings.get_text("zone"),
        )
        self.random = Random(self.place.node)
        self.metrics: Metrics = kernel.find("metrics")
        self.entitlements = NO_ENTITLEMENTS
        self.servers = ServerTable()
        self.loads = LoadView()
        self.guards: dict[str, GuardState] = {}
        self.server_addresses: dict[str, Address] = {}
        self.pool = UpstreamPool(self)
        self.dirty_connections: list[Connection] = []
        self.stopping = False
        self._callers: set[CallerConnection] = set()
        self._calls: set[Call] = set()
        self._call_count = 0
        self._entry_address = settings.get_address("entry_address")
        self._guard_address = settings.get_bind_address("guard_address")
        self._listeners: list[Listener] = []

    def open(self) -> None:
        """Listen for callers and for other nodes."""
        sys.setswitchinterval(THREAD_SWITCH_S)
        gc.freeze()
        gc.set_threshold(COLLECT_AFTER, 20, 50)
        self._listeners = [
            Listener(self._entry_address, EntrySide(), self),
            Listener(self._guard_address, GuardSide(), self),
        ]

    def begin_stop(self, deadline: float) -> None:
        """Take no new connections and end when the running calls have ended."""
        self.stopping = True
        self.kernel.post("membership", NodeLeaves())
        for listener in self._listeners:
            listener.close()
        now = self.now
        self.timers.add(min(deadline, now + IDLE_CLOSE_S), self._close_idle)
        self.timers.add(deadline, self.end)

    def close(self) -> None:
        """Close every socket."""
        for caller in list(self._callers):
            caller.close()
        self.pool.close()
        super().close()

    def finish_event(self) -> None:
        """Send what the event has written."""
        while self.dirty_connections:
            dirty, self.dirty_connections = self.dirty_connections, []
            for connection in dirty:
                connection.flush()

    def accept_caller(self, sock: socket.socket, side: Any) -> None:
        """Take a new connection."""
        caller = CallerConnection(sock, self, side)
        self._callers.add(caller)
        if len(self._callers) > self.limits.callers:
            caller.refuse_connection(refuse_unrun(Reason.TOO_MANY_CONNECTIONS))

    def forget_caller(self, caller: CallerConnection) -> None:
        """Forget a connection that was closed."""
        self._callers.discard(caller)
        self._end_if_done()

    def start_call(self, caller: CallerConnection, head: RequestHead) -> None:
        """Start the call that a request asks for, or refuse it."""
        route = find_route(caller.side, head, self)
        call_id = self._find_call_id(head)
        if isinstance(route, Refusal):
            self.log_refusal(route, call_id, "", "")
            caller.refuse(route, call_id)
            return
        deadline = self.now + self._find_timeout(head)
        call = Call(self, caller, head, route, call_id, deadline)
        self._calls.add(call)
        caller.call = call
        call.start()

    def forget_call(self, call: Call) -> None:
        """Forget a call that has ended."""
        self._calls.discard(call)
        self._end_if_done()

    def release_slot(self, guard: GuardState) -> None:
        """Free a slot and pass it to the call that waits for it."""
        waiting = guard.release_slot(self.now)
        if waiting is not None:
            use_slot(waiting, guard)

    def leave_queues(self, call: Call) -> None:
        """Remove a call from the queue that it may wait in."""
        for guard in self.guards.values():
            guard.forget_waiting(call)

    def use_local_servers(self, message: GuardServers) -> None:
        """Guard the backend servers that are on this VM now."""
        now = self.now
        names = {local.record.server for local in message.servers}
        for name in self.guards.keys() - names:
            guard = self.guards.pop(name)
            self.pool.close_address(self.server_addresses.pop(name))
            for call in list(guard.waiting):
                guard.forget_waiting(call)
                call.fail_attempt(Reason.SERVER_LEAVING)
        for local in message.servers:
            name = local.record.server
            self.server_addresses[name] = local.address
            known = self.guards.get(name)
            if known is None:
                self.guards[name] = GuardState(local.record, self.limits.queue_length)
                continue
            for call in known.update_record(local.record, now):
                use_slot(call, known)

    def describe(self) -> ForwardingState:
        """Return the state that operators see."""
        return ForwardingState(
            callers=len(self._callers),
            calls=len(self._calls),
            version=self.entitlements.name.number,
            slots_in_use=sum(guard.in_use for guard in self.guards.values()),
            waiting=sum(len(guard.waiting) for guard in self.guards.values()),
        )

    def count_refusal(self, refusal: Refusal) -> None:
        """Count a refusal by its reason."""
        self.metrics.count_refusal(refusal.reason.value, refusal.ran.value)

    def count_retry(self, retry: Retry) -> None:
        """Count a retry by its reason."""
        self.metrics.count_retry(retry.reason.value)

    def count_cut(self, cut: Abandon) -> None:
        """Count a response that was cut short."""
        self.metrics.count_cut(cut.reason.value)

    def count_response(self) -> None:
        """Count a whole response."""
        self.metrics.responses += 1

    def count_cancelled(self) -> None:
        """Count a call whose caller has gone."""
        self.metrics.count_cancelled()

    def log_refusal(
        self, refusal: Refusal, call_id: str, customer: str, detail: str
    ) -> None:
        """Log a refusal with what identifies it."""
        logger.bind(
            call=call_id,
            customer=customer,
            version=self.entitlements.name.number,
            reason=refusal.reason.value,
            ran=refusal.ran.value,
        ).debug("call refused {}", detail)

    def _find_call_id(self, head: RequestHead) -> str:
        given = head.own.get(CALL_ID_HEADER)
        if given and len(given) <= MAX_CALL_ID_LENGTH:
            return given.decode("latin-1")
        self._call_count += 1
        return f"{self.place.node}-{self._call_count:x}"

    def _find_timeout(self, head: RequestHead) -> float:
        given = head.own.get(TIMEOUT_HEADER, b"")
        if given.isdigit() and len(given) <= len(str(MAX_TIMEOUT_MS)):
            return min(int(given), MAX_TIMEOUT_MS) / 1000
        return self.limits.call_s

    def _close_idle(self) -> None:
        for caller in list(self._callers):
            caller.close_if_idle()
        self._end_if_done()

    def _end_if_done(self) -> None:
        if self.stopping and not self._calls and not self._callers:
            self.end()


@singledispatch
def handle_message(message: Any, forwarder: Forwarder) -> None:
    """Act on a message."""
    raise TypeError(f"no such message: {message!r}")


@handle_message.register(EnforceEntitlements)
def _(message: EnforceEntitlements, forwarder: Forwarder) -> None:
    if message.entitlements.name.number > forwarder.entitlements.name.number:
        forwarder.entitlements = message.entitlements


@handle_message.register(UseServers)
def _(message: UseServers, forwarder: Forwarder) -> None:
    forwarder.servers = message.servers


@handle_message.register(GuardServers)
def _(message: GuardServers, forwarder: Forwarder) -> None:
    forwarder.use_local_servers(message)


@handle_message.register(DescribeForwarding)
def _(message: DescribeForwarding, forwarder: Forwarder) -> None:
    message.reply.put(forwarder.describe())


def setup(kernel: Kernel) -> None:
    """Register the service."""
    # Calls are taken last at the start and given up first at the stop, while the
    # services that carry news still run.
    requires = (
        "settings",
        "metrics",
        "membership",
        "configuration",
        "peers",
        "watcher",
    )
    kernel.register(Registration(NAME, requires, Forwarder))
