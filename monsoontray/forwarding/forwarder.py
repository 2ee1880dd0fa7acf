"""The task that owns the sockets of calls."""

from __future__ import annotations

import gc
import socket
import sys
from dataclasses import replace
from functools import singledispatch
from random import Random
from typing import TYPE_CHECKING, Any

from loguru import logger

from monsoontray.decisions.admission import NO_ENTITLEMENTS
from monsoontray.decisions.budget import RetryBudget
from monsoontray.decisions.guard import RECHECK_S, ColdLimits, GuardState
from monsoontray.decisions.outcomes import Reason, Refusal, refuse_unrun
from monsoontray.decisions.retries import Abandon, Retry
from monsoontray.decisions.servers import (
    Endpoint,
    LoadView,
    Place,
    ServerRecord,
    ServerTable,
)
from monsoontray.forwarding.attempts import use_slot
from monsoontray.forwarding.call import Call
from monsoontray.forwarding.caller import CallerConnection
from monsoontray.forwarding.heads import RequestHead
from monsoontray.forwarding.interfaces import find_interface
from monsoontray.forwarding.limits import read_limits
from monsoontray.forwarding.listener import Listener
from monsoontray.forwarding.messages import (
    DescribeForwarding,
    EnforceEntitlements,
    EvacuateZones,
    ForwardingState,
    GuardServers,
    NodeLeaves,
    ServerDoubted,
    UseRoutes,
    UseServers,
)
from monsoontray.forwarding.report import Report
from monsoontray.forwarding.routes import EntryRoute
from monsoontray.forwarding.sides import find_route
from monsoontray.forwarding.upstream import UpstreamPool
from monsoontray.forwarding.versions import VersionGate, read_evidence
from monsoontray.kernel.kernel import Kernel, Registration
from monsoontray.kernel.sockets import SocketTask
from monsoontray.rollouts.messages import ReadEvidence, UsePlans, VersionSuspected
from monsoontray.settings.service import SettingsChanged

if TYPE_CHECKING:
    from monsoontray.decisions.rollouts import Plan
    from monsoontray.decisions.routing import RouteTable
    from monsoontray.forwarding.connection import Connection
    from monsoontray.forwarding.exchange import Exchange
    from monsoontray.metrics.service import Metrics
    from monsoontray.settings.settings import Address, Settings

NAME = "forwarding"
THREAD_SWITCH_S = 0.0005  # longest turn of a thread that keeps the interpreter
COLLECT_AFTER = 50_000  # new objects between two garbage collections
IDLE_CLOSE_S = 0.5  # time that idle callers keep their connection at a stop
MAX_CALL_ID_LENGTH = 128
HEARD_S = 3.0  # time that a node which is not listed is used since it answered
#: Share of the fleet's retry ratio that each route may use for itself. A call that
#: runs again makes its own calls again, which count as retries where they go: a
#: route that only such calls use gets as many again from their callers' routes.
RETRY_SHARE = 0.45
SLACK_SHARE = 0.2  # of the fleet's free retries, for each route; a service has a few
#: Reasons after which a local server may be gone or another one.
_DOUBTFUL = frozenset((Reason.UNREACHABLE, Reason.CONNECTION_LOST))


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
        self._interface = find_interface(settings)
        self.vocabulary = self._interface.vocabulary
        self.entitlements = NO_ENTITLEMENTS
        self.route_table: RouteTable | None = None
        self.servers = ServerTable()
        self.loads = LoadView()
        self.guards: dict[str, GuardState] = {}
        self.server_addresses: dict[str, Address] = {}
        self.pool = UpstreamPool(self)
        self.dirty_connections: list[Connection] = []
        self.stopping = False
        #: Whether responses ask their callers to use another connection.
        self.closes_connections = False
        bounds = self._interface.bounds
        self._cold = ColdLimits(bounds.cold_factor, bounds.cold_slack)
        self._report = Report(self)
        self._fleet_size = 1
        self._stop_deadline = 0.0
        self._versions = VersionGate()
        self._evacuated: frozenset[str] = frozenset()
        self._budgets: dict[tuple[str, str], RetryBudget] = {}
        self._callers: set[CallerConnection] = set()
        self._calls: set[Call] = set()
        self._call_count = 0
        self._rechecks: set[str] = set()  # servers whose queue is looked at again
        self._entry_address = settings.get_address("entry_address")
        self._guard_address = settings.get_bind_address("guard_address")
        self._listeners: list[Listener] = []

    def open(self) -> None:
        """Listen for callers and for other nodes."""
        sys.setswitchinterval(THREAD_SWITCH_S)
        gc.freeze()
        gc.set_threshold(COLLECT_AFTER, 20, 50)
        self._listeners = [
            Listener(self._entry_address, self._interface.entry_side, self),
            Listener(self._guard_address, self._interface.guard_side, self),
        ]

    def begin_stop(self, deadline: float) -> None:
        """Give callers time to go elsewhere; end when the running calls have ended."""
        self.stopping = True
        self.kernel.post("membership", NodeLeaves())
        self._stop_deadline = deadline
        if self.limits.stop_notice_s:
            self.timers.add(self.now + self.limits.stop_notice_s, self._close_doors)
        else:
            self._close_doors()
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

    def start_call(
        self, caller: CallerConnection, exchange: Exchange, head: RequestHead
    ) -> None:
        """Start the call that a request asks for, or refuse it."""
        route = find_route(caller.side, head, self)
        call_id = self._find_call_id(head)
        if isinstance(route, Refusal):
            self._report.refuse_head(route, call_id, head)
            exchange.refuse(route, None, call_id)
            return
        call = Call(self, exchange, head, route, call_id)
        self._calls.add(call)
        exchange.call = call
        call.start()

    def forget_call(self, call: Call) -> None:
        """Forget a call that has ended."""
        self._calls.discard(call)
        self._end_if_done()

    def find_candidates(self, service: str, is_retry: bool) -> list[Endpoint]:
        """Return the servers of a service that may take a call now."""
        for name, guard in self.guards.items():
            self.loads.hear(name, guard.report_load(self.now), self.now)
        heard_since = self.now - HEARD_S
        usable = [
            each
            for each in self.servers.find(service)
            if each.zone not in self._evacuated
            and (
                not each.unlisted or self.loads.get_heard_at(each.server) > heard_since
            )
        ]
        return self._versions.select(service, usable, is_retry, self.random)

    def release_slot(self, guard: GuardState) -> None:
        """Free a slot and pass it to the call that waits for it."""
        waiting = guard.release_slot(self.now)
        if waiting is not None:
            use_slot(waiting, guard)

    def recheck_waiting(self, guard: GuardState) -> None:
        """Look at a queue again soon, in case no slot is released meanwhile."""
        server = guard.record.server
        if server not in self._rechecks:
            self._rechecks.add(server)
            self.timers.add(self.now + RECHECK_S, lambda: self._recheck(server))

    def doubt_server(self, guard: GuardState, reason: Reason) -> None:
        """Treat a local server as cold until it announces itself again."""
        if reason in _DOUBTFUL and guard.confirmed:
            guard.confirmed = False
            self.kernel.post(
                "membership", ServerDoubted(guard.record.server, reason.value)
            )

    def weigh_call(
        self, guard: GuardState, route: str, seconds: float, failed: bool
    ) -> None:
        """Take how a local server's call has ended, in case it is on trial."""
        if not self._versions.weigh(guard, route, seconds, failed, self.now):
            return
        self._close_guards()
        self.timers.add(self._versions.get_brake_deadline(), self._release_brake)
        self.kernel.post("rollouts", VersionSuspected(guard.record.service))
        logger.bind(
            server=guard.record.server,
            server_version=guard.record.version,
            route=route,
            calls=guard.suspicion.calls,
        ).warning("version is suspected; its server gets nothing for now")

    def weigh_unfinished(self, guard: GuardState, route: str, seconds: float) -> None:
        """Take a call that was given up while a local server was at work on it."""
        if self._versions.is_too_slow(guard, route, seconds):
            self.weigh_call(guard, route, seconds, True)

    def use_plans(self, plans: tuple[Plan, ...]) -> None:
        """Take the changed plans of rollouts."""
        self._versions.use_plans(plans)
        self._close_guards()

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
                call.fail_attempt(refuse_unrun(Reason.SERVER_LEAVING))
        for local in message.servers:
            name = local.record.server
            self.server_addresses[name] = local.address
            known = self.guards.get(name)
            if known is None:
                known = GuardState(local.record, self.limits.queue_length, self._cold)
                self.guards[name] = known
            known.confirmed = True
            for call in known.update_record(self._complete(local.record), now):
                use_slot(call, known)
        self._close_guards()

    def use_routes(self, table: RouteTable) -> None:
        """Put a configuration of routes in force."""
        if self.route_table is not None and table.number <= self.route_table.number:
            return
        self.route_table = table
        self._limit_callers(table)
        for guard in self.guards.values():
            guard.record = self._complete(guard.record)
        self._close_guards()

    def use_settings(self, settings: Settings) -> None:
        """Take over changed limits and bounds; addresses need a restart."""
        self._interface = find_interface(settings)
        self.limits = read_limits(settings)
        bounds = self._interface.bounds
        self._cold = ColdLimits(bounds.cold_factor, bounds.cold_slack)
        if self.route_table is not None:
            self._limit_callers(self.route_table)

    def _limit_callers(self, table: RouteTable) -> None:
        limits = table.routes.limits
        self.limits = replace(
            self.limits,
            head=replace(self.limits.head, head_bytes=limits.head_bytes),
            head_s=limits.head_timeout_s,
            idle_s=limits.idle_timeout_s,
        )

    def evacuate(self, zones: frozenset[str]) -> None:
        """Send nothing to the servers of some zones."""
        returns = self.place.zone in self._evacuated and self.place.zone not in zones
        self._evacuated = zones
        if returns:
            # Servers may have become cold while nothing was sent to them.
            for guard in self.guards.values():
                guard.confirmed = False
        self._close_guards()

    def describe(self) -> ForwardingState:
        """Return the state that operators see."""
        table = self.route_table
        number = self.entitlements.name.number if table is None else table.number
        return ForwardingState(
            callers=len(self._callers),
            calls=len(self._calls),
            version=number,
            slots_in_use=sum(guard.in_use for guard in self.guards.values()),
            waiting=sum(len(guard.waiting) for guard in self.guards.values()),
            stopping=self.stopping,
            servers=self.servers.count(),
        )

    def count_arrival(self, route: EntryRoute) -> None:
        """Count a call that a backend server has seen for the first time."""
        self._find_budget(route).count_call(self.now)

    def try_retry(self, route: EntryRoute) -> bool:
        """Take a retry from the node's part of the budget of a route."""
        return self._find_budget(route).try_retry(self.now)

    def use_servers(self, servers: ServerTable) -> None:
        """Take a changed table of the fleet's servers."""
        self.servers = servers
        known = servers.get_names()
        self.loads.forget_except(known)
        # The most ever seen: a node that is cut off sees fewer, but they live on.
        self._fleet_size = max(self._fleet_size, servers.count())
        for budget in self._budgets.values():
            budget.allowance = self._find_allowance()

    def count_retry(self, call: Call, retry: Retry) -> None:
        """Count and log a retry."""
        self._report.retry(call, retry)

    def count_cut(self, call: Call, cut: Abandon) -> None:
        """Count and log a response that was cut short."""
        self._report.cut(call, cut)

    def count_response(self, call: Call) -> None:
        """Count and log a whole response."""
        self._report.response(call)

    def count_cancelled(self, call: Call) -> None:
        """Count and log a call whose caller has gone."""
        self._report.cancelled(call)

    def log_refusal(self, refusal: Refusal, call: Call) -> None:
        """Count and log a refusal."""
        self._report.refusal(refusal, call)

    def log_rejection(self, refusal: Refusal, detail: str) -> None:
        """Count and log a refusal of something that is no request."""
        self._report.reject(refusal, detail)

    def _complete(self, record: ServerRecord) -> ServerRecord:
        """Add what the configuration says of a server's service."""
        table = self.route_table
        policy = None if table is None else table.find_policy(record.service)
        if policy is None:
            return record
        return replace(
            record,
            connections=policy.max_connections,
            cold_per_s=policy.cold_per_s,
        )

    def _close_guards(self) -> None:
        """Pass nothing on to local servers that may get nothing now."""
        is_out = self.place.zone in self._evacuated
        for guard in self.guards.values():
            closed = Reason.ZONE_EVACUATED if is_out else None
            if self.vocabulary.callers_name_calls and self.route_table is None:
                # What a cold server bears is not known yet.
                closed = Reason.NO_VERSION
            closed = closed or self._versions.find_closed_reason(guard, self.now)
            guard.closed = closed
            if closed is None:
                continue
            for call in list(guard.waiting):
                guard.forget_waiting(call)
                call.fail_attempt(refuse_unrun(closed))

    def _find_budget(self, route: EntryRoute) -> RetryBudget:
        key = (route.service, route.name)
        budget = self._budgets.get(key)
        if budget is None:
            bounds = self._interface.bounds
            budget = RetryBudget(
                bounds.retry_ratio * RETRY_SHARE,
                bounds.retry_window_s,
                self._find_allowance(),
            )
            self._budgets[key] = budget
        return budget

    def _find_allowance(self) -> float:
        slack = self._interface.bounds.retry_slack
        return slack * SLACK_SHARE / max(1, self._fleet_size)

    def _find_call_id(self, head: RequestHead) -> str:
        given = head.own.get(self.vocabulary.call_id)
        if given and len(given) <= MAX_CALL_ID_LENGTH:
            return given.decode("latin-1")
        self._call_count += 1
        return f"{self.place.node}-{self._call_count:x}"

    def _release_brake(self) -> None:
        for guard in self.guards.values():
            guard.suspicion.clear()
        self._close_guards()

    def _recheck(self, server: str) -> None:
        self._rechecks.discard(server)
        guard = self.guards.get(server)
        if guard is None:
            return
        while (call := guard.grant_waiting(self.now)) is not None:
            use_slot(call, guard)
        if guard.waiting:
            self.recheck_waiting(guard)

    def _close_doors(self) -> None:
        """Take no new connections; close those that carry no call."""
        self.closes_connections = True
        for listener in self._listeners:
            listener.close()
        idle_deadline = min(self._stop_deadline, self.now + IDLE_CLOSE_S)
        self.timers.add(idle_deadline, self._close_idle)

    def _close_idle(self) -> None:
        for caller in list(self._callers):
            caller.close_if_idle()
        self._end_if_done()

    def _end_if_done(self) -> None:
        if self.closes_connections and not self._calls and not self._callers:
            self.end()


@singledispatch
def handle_message(message: Any, forwarder: Forwarder) -> None:
    """Act on a message."""
    raise TypeError(f"no such message: {message!r}")


@handle_message.register(EnforceEntitlements)
def _(message: EnforceEntitlements, forwarder: Forwarder) -> None:
    if message.entitlements.name.number > forwarder.entitlements.name.number:
        forwarder.entitlements = message.entitlements


@handle_message.register(UseRoutes)
def _(message: UseRoutes, forwarder: Forwarder) -> None:
    forwarder.use_routes(message.table)


@handle_message.register(EvacuateZones)
def _(message: EvacuateZones, forwarder: Forwarder) -> None:
    forwarder.evacuate(message.zones)


@handle_message.register(UseServers)
def _(message: UseServers, forwarder: Forwarder) -> None:
    forwarder.use_servers(message.servers)


@handle_message.register(GuardServers)
def _(message: GuardServers, forwarder: Forwarder) -> None:
    forwarder.use_local_servers(message)


@handle_message.register(SettingsChanged)
def _(message: SettingsChanged, forwarder: Forwarder) -> None:
    forwarder.use_settings(message.settings)


@handle_message.register(UsePlans)
def _(message: UsePlans, forwarder: Forwarder) -> None:
    forwarder.use_plans(message.plans)


@handle_message.register(ReadEvidence)
def _(message: ReadEvidence, forwarder: Forwarder) -> None:
    message.reply.put(read_evidence(forwarder.guards.values()))


@handle_message.register(DescribeForwarding)
def _(message: DescribeForwarding, forwarder: Forwarder) -> None:
    message.reply.put(forwarder.describe())


def setup(kernel: Kernel) -> None:
    """Register the service."""
    # Calls are taken last at the start and given up first at the stop, while the
    # services that carry news still run.
    follows = ("configuration", "peers", "watcher", "operator", "store-watch",
               "endpoint")  # fmt: skip
    requires = ("settings", "metrics", "membership")
    kernel.register(Registration(NAME, requires, Forwarder, follows=follows))
