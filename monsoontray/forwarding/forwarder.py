"""Forwarding task: owns the connections and state of all calls on this node."""

from __future__ import annotations

import gc
import math
import socket
import sys
from functools import singledispatch
from random import Random
from typing import TYPE_CHECKING, Any

from msgspec.structs import replace

from monsoontray.containment.messages import UpdateContainment
from monsoontray.decisions.admission import NO_ENTITLEMENTS
from monsoontray.decisions.ages import CallerAges
from monsoontray.decisions.answers import AnswerSizes
from monsoontray.decisions.budget import RetryBudgets
from monsoontray.decisions.freshness import Freshness
from monsoontray.decisions.keys import check_key
from monsoontray.decisions.outcomes import Reason, Refusal, refuse_not_run
from monsoontray.decisions.servers import (
    Endpoint,
    LoadView,
    Location,
    ServerTable,
)
from monsoontray.decisions.timeouts import ResponseTimes
from monsoontray.forwarding.account import Account
from monsoontray.forwarding.announcements import Departures
from monsoontray.forwarding.call import Call
from monsoontray.forwarding.caller import CallerConnection
from monsoontray.forwarding.containment import RequestContainment
from monsoontray.forwarding.guards import LocalGuards
from monsoontray.forwarding.heads import RequestHead
from monsoontray.forwarding.holdings import CALL_COST, find_holding
from monsoontray.forwarding.interfaces import build_interface
from monsoontray.forwarding.limits import read_limits
from monsoontray.forwarding.listener import Listener
from monsoontray.forwarding.messages import (
    DescribeForwarding,
    ForwardingState,
    NodeLeaving,
    RoutesProven,
    UpdateEntitlements,
    UpdateEvacuatedZones,
    UpdateLocalServers,
    UpdateRoutes,
    UpdateServers,
)
from monsoontray.forwarding.reachability import Reachability
from monsoontray.forwarding.report import CallReporter
from monsoontray.forwarding.sides import find_route
from monsoontray.forwarding.upstream import UpstreamPool
from monsoontray.forwarding.usage import UsageRecorder
from monsoontray.forwarding.versions import VersionGate
from monsoontray.kernel.kernel import Kernel, Registration
from monsoontray.kernel.sockets import SocketTask
from monsoontray.rollouts.messages import ReadEvidence, UpdateRolloutPlans
from monsoontray.settings.service import SettingsChanged
from monsoontray.settings.settings import parse_address
from monsoontray.usage.messages import TakeUsage

if TYPE_CHECKING:
    from monsoontray.decisions.crowds import Holding
    from monsoontray.decisions.guard import GuardState
    from monsoontray.decisions.rollouts import RolloutPlan
    from monsoontray.decisions.routing import RouteTable
    from monsoontray.forwarding.connection import Connection
    from monsoontray.forwarding.transaction import HttpTransaction
    from monsoontray.metrics.service import Metrics
    from monsoontray.settings.settings import Settings

NAME = "forwarding"
THREAD_SWITCH_INTERVAL_S = 0.0005  # time after which a thread yields the GIL
GC_THRESHOLD = 50_000  # new objects between garbage collections
#: Time from the announcement that the node leaves until it stops accepting
#: connections. The other nodes need it to learn of the announcement.
LEAVE_ANNOUNCEMENT_S = 0.7
#: Share of the time for stopping in which calls are started; later ones may not end.
LAST_START_SHARE = 0.5
REFUSAL_MARGIN_S = 0.2  # time for the last refusals to reach their callers
IDLE_GRACE_S = 0.5  # time that callers' idle connections stay open while stopping
MAX_CALL_ID_LENGTH = 128
UNLISTED_USE_S = 3.0  # an unlisted node is used for this long after its last response


class Forwarder(SocketTask):
    """Task that owns all connections, guards and calls of the node."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(NAME, kernel, handle_message)
        settings: Settings = kernel.find("settings").settings
        self.limits = read_limits(settings)
        memory_mb = settings.get_int("memory_mb")
        descriptors = settings.get_int("max_descriptors")
        self.account = Account(self, memory_mb, descriptors)
        self.location = Location(
            settings.get_string("node"),
            settings.get_string("region"),
            settings.get_string("zone"),
        )
        self.random = Random(self.location.node)
        self.metrics: Metrics = kernel.find("metrics")
        self._interface = build_interface(settings)
        self.http_profile = self._interface.http_profile
        self.entitlements = NO_ENTITLEMENTS
        self.route_table: RouteTable | None = None
        self.freshness = Freshness(settings.get_float("key_withdrawal_s"))
        self.servers = ServerTable()
        self.loads = LoadView()
        self.guards = LocalGuards(self, self._interface)
        self.pool = UpstreamPool(self)
        self.reachability = Reachability(self)
        self.containment = RequestContainment(self)
        self.usage = UsageRecorder(self, settings.get_float("usage_window_s"))
        self._departures = Departures()
        self.ages = CallerAges()
        self.response_times = ResponseTimes()
        self.answer_sizes = AnswerSizes(settings.get_float("answer_weight"))
        self.dirty_connections: list[Connection] = []
        self.stopping = False
        #: Set when the node stops accepting connections; responses then close theirs.
        self.draining = False
        self.report = CallReporter(self)
        self.budgets = RetryBudgets(self._interface.bounds)
        self.versions = VersionGate()
        self.evacuated_zones: frozenset[str] = frozenset()
        self._stop_deadline = 0.0
        self._last_start_at = math.inf  # later calls are refused, as the node stops
        self._callers: set[CallerConnection] = set()
        self._calls: set[Call] = set()
        self._call_count = 0
        self._entry_address = settings.get_address("entry_address")
        self._guard_address = settings.get_bind_address("guard_address")
        self._listeners: list[Listener] = []

    def open(self) -> None:
        """Listen for connections from callers and from other nodes."""
        sys.setswitchinterval(THREAD_SWITCH_INTERVAL_S)
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD, 20, 50)
        self._listeners = [
            Listener(self._entry_address, self._interface.entry_side, self),
            Listener(self._guard_address, self._interface.guard_side, self),
        ]

    def begin_stop(self, deadline: float) -> None:
        """Give callers time to switch nodes; stop when all calls have ended."""
        self.stopping = True
        self._stop_deadline = deadline
        self._last_start_at = self.now + LAST_START_SHARE * (deadline - self.now)
        notice_s = self.limits.stop_notice_s
        if notice_s > LEAVE_ANNOUNCEMENT_S:
            self.timers.add(
                self.now + notice_s - LEAVE_ANNOUNCEMENT_S, self._announce_leaving
            )
        else:
            self._announce_leaving()
        if notice_s:
            self.timers.add(self.now + notice_s, self._stop_accepting)
        else:
            self._stop_accepting()
        self.timers.add(deadline - REFUSAL_MARGIN_S, self._refuse_unsent)
        self.timers.add(deadline, self.stop_serving)

    def close(self) -> None:
        """Report the last calls and close all connections."""
        self.usage.report_last()
        for caller in list(self._callers):
            caller.close()
        self.pool.close()
        super().close()

    def finish_event(self) -> None:
        """Flush the connections that were written to during the event."""
        if self.account.room < 0:
            self.account.relieve()
        while self.dirty_connections:
            dirty, self.dirty_connections = self.dirty_connections, []
            for connection in dirty:
                connection.flush()

    def accept_caller(self, sock: socket.socket, side: Any) -> None:
        """Add a new connection, or refuse it if there are too many."""
        caller = CallerConnection(sock, self, side)
        self._callers.add(caller)
        if not self.account.admit_connection():
            caller.close()
        elif len(self._callers) > self.limits.max_caller_connections:
            caller.refuse_connection(refuse_not_run(Reason.TOO_MANY_CONNECTIONS))

    def count_connections(self) -> int:
        """Return how many connections of callers and to servers are open."""
        return len(self._callers) + self.pool.open_count

    def find_holdings(self) -> list[Holding]:
        """Return what is held for each caller's connection."""
        return [find_holding(caller) for caller in self._callers]

    def record_lost_connection(self, error: OSError) -> None:
        """Count a connection that the system has ended."""
        self.metrics.count_lost_connection(error)

    def remove_caller(self, caller: CallerConnection) -> None:
        """Remove a connection that was closed."""
        self._callers.discard(caller)
        self._end_if_done()

    def start_call(
        self, caller: CallerConnection, transaction: HttpTransaction, head: RequestHead
    ) -> None:
        """Start the call of a request, or refuse it."""
        route = find_route(caller.side, head, self)
        if self.now > self._last_start_at:
            route = refuse_not_run(Reason.NODE_STOPPING)
        call_id = self._find_call_id(head)
        if isinstance(route, Refusal):
            self.report.record_refused_request(route, call_id, head)
            transaction.refuse(route, None, call_id)
            return
        call = Call(self, transaction, head, route, call_id)
        self._calls.add(call)
        self.account.room -= CALL_COST
        transaction.call = call
        call.start()

    def remove_call(self, call: Call) -> None:
        """Remove a call that has ended."""
        self._calls.discard(call)
        self._end_if_done()

    def check_key(self, digest: bytes) -> Refusal | None:
        """Return a refusal if a call's key must not be used any more."""
        keys = None if self.route_table is None else self.route_table.keys
        is_fresh = self.freshness.is_fresh(self.now)
        return check_key(keys, digest, is_fresh, self.random)

    def find_calls_at(self, guard: GuardState) -> list[Call]:
        """Return the calls that hold a slot of a local server."""
        return [call for call in self._calls if call.guard is guard]

    def find_candidates(
        self, service: str, route: str, is_retry: bool
    ) -> list[Endpoint]:
        """Return the servers of a service that may receive a call of a route now."""
        self.guards.record_loads(self.loads, route)
        usable = [
            each
            for each in self.servers.find(service)
            if each.zone not in self.evacuated_zones
            and not self._departures.includes(each)
            and (not each.unlisted or self._is_usable(each))
        ]
        return self.versions.select(service, usable, is_retry, self.random)

    def update_routes(self, table: RouteTable) -> None:
        """Put a configuration of routes into effect if it is newer."""
        if self.route_table is not None and table.number <= self.route_table.number:
            return
        self.route_table = table
        route_names = {each.name for each in table.routes.routes}
        self.response_times.remove_except(route_names)
        self.answer_sizes.remove_except(route_names)
        self.loads.remove_routes_except(route_names)
        self.ages.remove_routes_except(route_names)
        self._apply_route_limits(table)
        self.guards.update_policies(route_names)

    def update_settings(self, settings: Settings) -> None:
        """Apply changed limits; changed addresses need a restart."""
        self._interface = build_interface(settings)
        self.limits = read_limits(settings)
        self.answer_sizes.weight = settings.get_float("answer_weight")
        self.freshness.set_bound(settings.get_float("key_withdrawal_s"))
        self.account.update_budget(settings.get_int("memory_mb"))
        self.guards.update_interface(self._interface)
        self.budgets.set_bounds(self._interface.bounds)
        if self.route_table is not None:
            self._apply_route_limits(self.route_table)

    def _apply_route_limits(self, table: RouteTable) -> None:
        limits = table.routes.limits
        self.limits = replace(
            self.limits,
            head=replace(self.limits.head, head_bytes=limits.head_bytes),
            head_timeout_s=limits.head_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
        )

    def update_evacuated_zones(self, zones: frozenset[str]) -> None:
        """Replace the set of evacuated zones, whose servers get no calls."""
        is_local_zone_readmitted = (
            self.location.zone in self.evacuated_zones
            and self.location.zone not in zones
        )
        self.evacuated_zones = zones
        if is_local_zone_readmitted:
            # Local servers may have become cold while they got no calls.
            self.guards.mark_all_unconfirmed()
        self.guards.update_closed_guards()

    def describe(self) -> ForwardingState:
        """Return the state for the status page."""
        table = self.route_table
        number = self.entitlements.name.number if table is None else table.number
        return ForwardingState(
            callers=len(self._callers),
            calls=len(self._calls),
            version=number,
            slots_in_use=self.guards.count_running(),
            waiting=self.guards.count_waiting(),
            stopping=self.stopping,
            servers=self.servers.count(),
            contained=self.containment.count_contained(),
            fresh=self.freshness.is_fresh(self.now),
        )

    def update_servers(self, servers: ServerTable) -> None:
        """Replace the table of the fleet's servers."""
        self.servers = servers
        known = servers.get_names()
        self.loads.remove_except(known)
        self.reachability.remove_except(known)
        self.budgets.update_fleet_size(servers.count())

    def add_departure(self, service: str, server: str) -> None:
        """Send no more calls to a server whose response says that it leaves."""
        for endpoint in self.servers.find(service):
            if endpoint.server == server:
                self._departures.add(server, endpoint.born)

    def update_plans(self, plans: tuple[RolloutPlan, ...]) -> None:
        """Replace the rollout plans."""
        self.versions.update_plans(plans)
        self.guards.update_closed_guards()

    def _is_usable(self, endpoint: Endpoint) -> bool:
        """Return whether the node of an unlisted server responded a short time ago.

        The guard of a server that is not usable is probed.
        """
        if self.loads.get_last_response_at(endpoint.server) > self.now - UNLISTED_USE_S:
            return True
        self.reachability.mark_unreachable(
            endpoint.server, parse_address(endpoint.guard_address)
        )
        return False

    def _find_call_id(self, head: RequestHead) -> str:
        given = head.node_headers.get(self.http_profile.call_id)
        if given and len(given) <= MAX_CALL_ID_LENGTH:
            return given.decode("latin-1")
        self._call_count += 1
        return f"{self.location.node}-{self._call_count:x}"

    def _announce_leaving(self) -> None:
        """Tell other nodes to send no more calls to the local servers."""
        self.kernel.post("membership", NodeLeaving())

    def _stop_accepting(self) -> None:
        """Stop accepting connections, and close idle ones after a grace period."""
        self.draining = True
        for listener in self._listeners:
            listener.close()
        idle_deadline = min(self._stop_deadline, self.now + IDLE_GRACE_S)
        self.timers.add(idle_deadline, self._close_idle)

    def _refuse_unsent(self) -> None:
        """Refuse the calls that no server has received, before the others are cut."""
        for call in list(self._calls):
            if call.is_active and not call.may_have_run:
                call.refuse(refuse_not_run(Reason.NODE_STOPPING))

    def _close_idle(self) -> None:
        for caller in list(self._callers):
            caller.close_if_idle()
        self._end_if_done()

    def _end_if_done(self) -> None:
        if self.draining and not self._calls and not self._callers:
            self.stop_serving()


@singledispatch
def handle_message(message: Any, forwarder: Forwarder) -> None:
    """Handle a message to the forwarding task."""
    raise TypeError(f"unsupported message: {message!r}")


@handle_message.register(UpdateEntitlements)
def _(message: UpdateEntitlements, forwarder: Forwarder) -> None:
    if message.entitlements.name.number > forwarder.entitlements.name.number:
        forwarder.entitlements = message.entitlements


@handle_message.register(UpdateRoutes)
def _(message: UpdateRoutes, forwarder: Forwarder) -> None:
    forwarder.update_routes(message.table)


@handle_message.register(RoutesProven)
def _(message: RoutesProven, forwarder: Forwarder) -> None:
    forwarder.freshness.prove(message.proof)


@handle_message.register(UpdateEvacuatedZones)
def _(message: UpdateEvacuatedZones, forwarder: Forwarder) -> None:
    forwarder.update_evacuated_zones(message.zones)


@handle_message.register(UpdateServers)
def _(message: UpdateServers, forwarder: Forwarder) -> None:
    forwarder.update_servers(message.servers)


@handle_message.register(UpdateLocalServers)
def _(message: UpdateLocalServers, forwarder: Forwarder) -> None:
    forwarder.guards.update_servers(message)


@handle_message.register(UpdateContainment)
def _(message: UpdateContainment, forwarder: Forwarder) -> None:
    forwarder.containment.update(message)


@handle_message.register(SettingsChanged)
def _(message: SettingsChanged, forwarder: Forwarder) -> None:
    forwarder.update_settings(message.settings)


@handle_message.register(UpdateRolloutPlans)
def _(message: UpdateRolloutPlans, forwarder: Forwarder) -> None:
    forwarder.update_plans(message.plans)


@handle_message.register(ReadEvidence)
def _(message: ReadEvidence, forwarder: Forwarder) -> None:
    message.reply.put(forwarder.guards.read_evidence())


@handle_message.register(TakeUsage)
def _(message: TakeUsage, forwarder: Forwarder) -> None:
    forwarder.usage.report(message)


@handle_message.register(DescribeForwarding)
def _(message: DescribeForwarding, forwarder: Forwarder) -> None:
    message.reply.put(forwarder.describe())


def setup(kernel: Kernel) -> None:
    """Register the service."""
    # Forwarding starts last and stops first, so that the services that distribute
    # configuration and server records are running while calls are forwarded.
    starts_after = ("configuration", "peers", "watcher", "operator", "store-watch",
               "endpoint")  # fmt: skip
    requires = ("settings", "metrics", "membership")
    kernel.register(Registration(NAME, requires, Forwarder, starts_after=starts_after))
