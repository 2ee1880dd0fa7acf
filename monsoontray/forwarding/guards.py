"""Guards of the backend servers on this VM."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from msgspec.structs import replace

from monsoontray.decisions.capacity import Capacity
from monsoontray.decisions.cold import COLD_WINDOW_S, ColdLimits
from monsoontray.decisions.fallible_capacity import FallibleCapacity
from monsoontray.decisions.guard import GuardState
from monsoontray.decisions.nesting import RouteCallers
from monsoontray.decisions.outcomes import Ran, Reason, Refusal, refuse_not_run
from monsoontray.decisions.rollouts import ServerEvidence
from monsoontray.forwarding.attempts import send_to_local_server
from monsoontray.forwarding.messages import ServerUnconfirmed, UpdateLocalServers
from monsoontray.forwarding.sides import find_caller
from monsoontray.forwarding.upstream import ConnectOutcome
from monsoontray.forwarding.versions import read_evidence
from monsoontray.logs import logger
from monsoontray.rollouts.messages import VersionSuspected

if TYPE_CHECKING:
    from collections.abc import Collection

    from monsoontray.decisions.servers import LoadView, ServerRecord
    from monsoontray.forwarding.call import Call
    from monsoontray.forwarding.forwarder import Forwarder
    from monsoontray.forwarding.interfaces import Interface
    from monsoontray.settings.settings import Address

#: Failures after which a local server may have stopped or restarted.
_RESTART_REASONS = frozenset((Reason.UNREACHABLE, Reason.CONNECTION_LOST))

#: Shortest time between two lines about the load of the local servers.
LOAD_LOG_INTERVAL_S = 5.0
_MS_PER_S = 1000


class LocalGuards:
    """Guards of the local backend servers; part of the forwarding task."""

    __slots__ = (
        "_addresses",
        "_cold_limits",
        "_cold_start_at",
        "_forwarder",
        "_guards",
        "_load_log_due_at",
        "_route_callers",
        "_scheduled_rechecks",
    )

    def __init__(self, forwarder: Forwarder, interface: Interface) -> None:
        self._forwarder = forwarder
        self._guards: dict[str, GuardState] = {}
        self._addresses: dict[str, Address] = {}
        #: Servers for whose queue a recheck is scheduled.
        self._scheduled_rechecks: set[str] = set()
        self._load_log_due_at = 0.0
        self._route_callers = RouteCallers()
        self._cold_start_at = forwarder.now + COLD_WINDOW_S
        self.update_interface(interface)

    def __contains__(self, server: object) -> bool:
        return server in self._guards

    def find(self, server: str) -> GuardState | None:
        """Return the guard of a server, if the server is on this VM."""
        return self._guards.get(server)

    def find_address(self, server: str) -> Address | None:
        """Return the address of a server, if the server is on this VM."""
        return self._addresses.get(server)

    def update_interface(self, interface: Interface) -> None:
        """Replace the limits of cold servers for guards that are created later."""
        bounds = interface.bounds
        self._cold_limits = ColdLimits(bounds.cold_factor, bounds.cold_slack)

    def update_servers(self, message: UpdateLocalServers) -> None:
        """Add, update and remove guards to match the servers on this VM."""
        forwarder = self._forwarder
        forwarder.containment.update_servers([s.record for s in message.servers])
        names = {local.record.server for local in message.servers}
        for name in self._guards.keys() - names:
            guard = self._guards.pop(name)
            forwarder.pool.close_address(self._addresses.pop(name))
            _fail_waiting(guard, Reason.SERVER_LEAVING)
        for local in message.servers:
            name = local.record.server
            self._addresses[name] = local.address
            current = self._guards.get(name)
            if current is None:
                current = self._create_guard(local.record)
                self._guards[name] = current
            current.confirmed = True
            record = self._apply_policy(local.record)
            for call in current.update_record(record, forwarder.now):
                send_to_local_server(call, current)
            if current.is_leaving:
                self.move_unsent(current)
        self.update_closed_guards()

    def move_unsent(self, guard: GuardState) -> None:
        """Fail the attempts of which a server that leaves has received nothing.

        Other servers can run these calls; later ones may reach this one after its end.
        """
        _fail_waiting(guard, Reason.SERVER_LEAVING)
        for call in self._forwarder.find_calls_at(guard):
            if call.is_active and not call.request.may_run:
                call.request.abort()
                call.fail_attempt(refuse_not_run(Reason.SERVER_LEAVING))

    def update_policies(self, routes: Collection[str]) -> None:
        """Apply the service policies and routes of a new configuration."""
        for guard in self._guards.values():
            guard.record = self._apply_policy(guard.record)
            guard.remove_routes_except(routes)
        self._route_callers.remove_routes_except(routes)
        self.update_closed_guards()

    def update_closed_guards(self) -> None:
        """Update which guards are closed, and fail the attempts waiting at these."""
        for guard in self._guards.values():
            guard.closed_reason = self._get_closed_reason(guard)
            if guard.closed_reason is not None:
                _fail_waiting(guard, guard.closed_reason)

    def handle_connection_failure(self, guard: GuardState, reason: Reason) -> None:
        """Handle a failed connection to a server, which may have restarted.

        If the server responded a short time ago, it is checked by a new connection,
        which only a running server accepts. Otherwise it becomes unconfirmed at once.
        """
        if reason not in _RESTART_REASONS or not guard.confirmed:
            return
        address = self._addresses.get(guard.record.server)
        if reason is Reason.UNREACHABLE or address is None:
            self._mark_unconfirmed(guard, reason)
        elif guard.responded_recently(self._forwarder.now):
            self._forwarder.pool.preconnect(
                address, partial(self._on_checked, guard, reason)
            )
        else:
            self._mark_unconfirmed(guard, reason)

    def is_nested(self, guard: GuardState, call: Call) -> bool:
        """Count a call that asks for a slot; return whether a server made it."""
        if not self._forwarder.http_profile.caller_service:
            return False
        name = call.route.name
        service = find_caller(call.transaction.side, call.head, call.route)
        self._route_callers.record_call(name, service)
        return self._route_callers.is_nested(name, guard.record.service.encode())

    def mark_all_unconfirmed(self) -> None:
        """Treat every server as cold until it announces itself again."""
        for guard in self._guards.values():
            guard.confirmed = False

    def record_sent(self, call: Call) -> None:
        """Record that the request of a call is sent to the server whose slot it holds.

        The time of the event may be long past if the process was held up.
        """
        if call.guard is not None:
            call.guard.record_sent(call, self._forwarder.clock.now())
            self._forwarder.usage.count(call)

    def release_slot(self, guard: GuardState, call: Call) -> None:
        """Release the slot of a call, and grant it to the next waiting call."""
        guard.record_unsent(call, self._forwarder.now)
        self._refuse_overdue(guard)
        waiting = guard.release_slot(self._forwarder.now)
        if waiting is not None:
            send_to_local_server(waiting, guard)

    def schedule_recheck(self, guard: GuardState) -> None:
        """Schedule a recheck of a queue, in case no slot is released before then."""
        server = guard.record.server
        if server not in self._scheduled_rechecks:
            self._scheduled_rechecks.add(server)
            now = self._forwarder.now
            due = now + guard.compute_recheck_delay(now)
            self._forwarder.timers.add(due, lambda: self._recheck(server))

    def remove_waiting(self, call: Call) -> None:
        """Remove a call from the queue in which it may be waiting."""
        for guard in self._guards.values():
            guard.remove_waiting(call)

    def record_call(
        self, guard: GuardState, route: str, seconds: float, failed: bool
    ) -> None:
        """Record the outcome of a server's call as evidence about its version."""
        forwarder = self._forwarder
        if forwarder.now >= self._load_log_due_at:
            self._load_log_due_at = forwarder.now + LOAD_LOG_INTERVAL_S
            self._log_loads()
        versions = forwarder.versions
        if not versions.record_call(guard, route, seconds, failed, forwarder.now):
            return
        self.update_closed_guards()
        forwarder.timers.add(guard.suspicion.suspected_until, self.update_closed_guards)
        forwarder.kernel.post("rollouts", VersionSuspected(guard.record.service))
        logger.bind(
            server=guard.record.server,
            server_version=guard.record.version,
            route=route,
            calls=guard.suspicion.calls,
        ).warning("version is suspected to be faulty; its server gets no calls for now")

    def record_unfinished(self, guard: GuardState, route: str, seconds: float) -> None:
        """Record an abandoned call as failed if it took far longer than usual."""
        if self._forwarder.versions.exceeds_baseline(guard, route, seconds):
            self.record_call(guard, route, seconds, True)

    def read_evidence(self) -> list[ServerEvidence]:
        """Return the guards' evidence about the versions of their servers."""
        return read_evidence(self._guards.values(), self._forwarder.now)

    def record_loads(self, loads: LoadView, route: str) -> None:
        """Record the loads of local servers for calls of a route.

        Loads of other servers are reported in the responses of their guards.
        """
        now = self._forwarder.now
        for name, guard in self._guards.items():
            loads.record_response(name, guard.report_load(now, route), now, route)

    def count_running(self) -> int:
        """Return how many calls hold a slot."""
        return sum(guard.in_use for guard in self._guards.values())

    def count_waiting(self) -> int:
        """Return how many calls wait for a slot."""
        return sum(len(guard.waiting) for guard in self._guards.values())

    def _create_guard(self, record: ServerRecord) -> GuardState:
        limits = self._forwarder.limits
        return GuardState(
            record,
            limits.guard_queue_length,
            self._cold_limits,
            self._cold_start_at,
            self._create_capacity(record),
        )

    def _create_capacity(self, record: ServerRecord) -> FallibleCapacity | None:
        """Return an estimate of what a server takes; None if it is not limited."""
        min_share = self._forwarder.limits.capacity_min_share
        if min_share >= 1.0:
            return None

        def build(slots: int) -> Capacity:
            return Capacity(slots, min_share)

        def report_fault(error: Exception) -> None:
            self._forwarder.metrics.count_estimate_fault()
            logger.bind(server=record.server).error(
                "estimate of the server's capacity failed; its announced slots hold",
                exception=error,
            )

        slots = min(record.slots, record.connections)
        return FallibleCapacity(slots, build, report_fault)

    def _log_loads(self) -> None:
        """Log what determines the share of the calls that the local servers get."""
        for name, guard in self._guards.items():
            logger.bind(
                server=name,
                service=guard.record.service,
                in_use=guard.in_use,
                waiting=len(guard.waiting),
                late=len(guard.waiting)
                - guard.waiting.count_on_time(self._forwarder.now),
                slots=guard.get_capacity(),
                announced_slots=guard.record.slots,
                slowing=guard.describe_slowing(),
                ended=guard.ended_calls,
                busy=guard.busy_refusals,
                service_ms=round(guard.service_s * _MS_PER_S, 1),
                failure_rate=round(guard.failure_rate, 2),
                limit_per_s=None if guard.pace is None else guard.pace.per_s,
            ).info("load of the local server")

    def _on_checked(
        self, guard: GuardState, reason: Reason, outcome: ConnectOutcome
    ) -> None:
        if outcome is not ConnectOutcome.CONNECTED:
            self._mark_unconfirmed(guard, reason)

    def _mark_unconfirmed(self, guard: GuardState, reason: Reason) -> None:
        """Treat a server as cold until it announces itself again."""
        guard.confirmed = False
        message = ServerUnconfirmed(guard.record.server, reason.value)
        self._forwarder.kernel.post("membership", message)

    def _get_closed_reason(self, guard: GuardState) -> Reason | None:
        forwarder = self._forwarder
        if forwarder.location.zone in forwarder.evacuated_zones:
            return Reason.ZONE_EVACUATED
        if (
            forwarder.http_profile.callers_assign_call_ids
            and forwarder.route_table is None
        ):
            # The call rate that a cold server accepts is not known yet.
            return Reason.NO_VERSION
        return forwarder.versions.find_closed_reason(guard, forwarder.now)

    def _apply_policy(self, record: ServerRecord) -> ServerRecord:
        """Return a server's record with the limits that its service policy sets."""
        table = self._forwarder.route_table
        policy = None if table is None else table.find_policy(record.service)
        if policy is None:
            return record
        return replace(
            record,
            connections=policy.max_connections,
            cold_per_s=policy.cold_per_s,
        )

    def _recheck(self, server: str) -> None:
        self._scheduled_rechecks.discard(server)
        guard = self._guards.get(server)
        if guard is None:
            return
        self._refuse_overdue(guard)
        while (call := guard.grant_waiting(self._forwarder.now)) is not None:
            send_to_local_server(call, guard)
        if guard.waiting:
            self.schedule_recheck(guard)

    def _refuse_overdue(self, guard: GuardState) -> None:
        """Refuse the waiting calls that can no longer be answered in time.

        Calls that arrived later but can still be on time may have overtaken them.
        """
        now = self._forwarder.now
        while (call := guard.pop_overdue(now)) is not None:
            load = guard.report_load(now, call.route.name)
            refusal = Refusal(Reason.NO_SLOT, Ran.NOT_RUN, guard.service_s, load)
            call.fail_attempt(refusal)


def _fail_waiting(guard: GuardState, reason: Reason) -> None:
    # One call at a time: the end of a call may cancel others of the same caller.
    while guard.waiting:
        call = next(iter(guard.waiting))
        guard.remove_waiting(call)
        call.fail_attempt(refuse_not_run(reason))
