"""The task that exchanges the records of the fleet with other nodes."""

from __future__ import annotations

from functools import singledispatch
from random import Random
from typing import TYPE_CHECKING, Any

from msgspec.structs import replace

from monsoontray.configuration.messages import PeersAnswered, VersionReported
from monsoontray.decisions.fleet import Fleet, NodeRecord, NodeState
from monsoontray.decisions.marks import Mark, VersionMarks
from monsoontray.decisions.servers import Location, ServerState
from monsoontray.forwarding.messages import (
    LocalServer,
    NodeLeaving,
    UpdateLocalServers,
    UpdateServers,
)
from monsoontray.kernel.kernel import CrashPolicy, Kernel, Registration
from monsoontray.kernel.task import Task
from monsoontray.logs import logger
from monsoontray.membership.announcements import AnnouncedServers
from monsoontray.membership.encoding import Exchange
from monsoontray.membership.messages import (
    AnnounceServer,
    DescribeFleet,
    ExchangeAnswered,
    ExchangeFailed,
    ExchangeReceived,
    FleetState,
    SeedsFound,
    SendExchange,
    ServerLeaving,
    VersionInForce,
    WaitForVersion,
    WatchingChanged,
)
from monsoontray.membership.waiting import VersionWaiters
from monsoontray.plans.model import NO_VERSION, VersionName

if TYPE_CHECKING:
    from monsoontray.settings.settings import Settings

NAME = "membership"
PUSH_DELAY_S = 0.02  # time to collect several updates into one push
PUSH_FANOUT = 3  # peers per push
PUSH_INTERVAL_S = 0.2  # minimum time between two pushes
VIEW_ROTATION_INTERVAL_S = 15.0
_MS_PER_S = 1000


class Membership(Task):
    """Task that owns the fleet's records and the announcements on this VM."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(NAME, kernel, handle_message)
        settings: Settings = kernel.find("settings").settings
        self.location = Location(
            settings.get_string("node"),
            settings.get_string("region"),
            settings.get_string("zone"),
        )
        incarnation = int(self.clock.wall_time() * _MS_PER_S)
        own = NodeRecord(
            node=self.location.node,
            region=self.location.region,
            zone=self.location.zone,
            guard_address=settings.get_string("guard_address"),
            peer_address=settings.get_string("peer_address"),
            incarnation=incarnation,
            sequence=1,
        )
        self.fleet = Fleet(own)
        self.marks = VersionMarks()
        self._version = NO_VERSION
        self.set_version(NO_VERSION)
        self.random = Random(f"{self.location.node} {incarnation}")
        self._interval_s = settings.get_seconds("exchange_interval_ms")
        lifetime_s = settings.get_seconds("announcement_lifetime_ms")
        self._announced_servers = AnnouncedServers(lifetime_s)
        self._seeds: list[str] = list(settings.get_strings("seeds"))
        self._next_exchange_at = self.clock.now() + self.random.random() * 0.1
        self._next_push_at: float | None = None
        self._last_push_at = 0.0
        self._next_rotation_at = self.clock.now() + VIEW_ROTATION_INTERVAL_S
        self._answered_peers: set[str] = set()
        self._version_waiters = VersionWaiters()

    def find_next_deadline(self) -> float | None:
        """Return when the next exchange, push or expiry is due."""
        deadlines = [self._next_exchange_at]
        if self._next_push_at is not None:
            deadlines.append(self._next_push_at)
        for component in (self.fleet, self._announced_servers, self._version_waiters):
            expiry = component.find_next_deadline()
            if expiry is not None:
                deadlines.append(expiry)
        return min(deadlines)

    def on_deadline(self) -> None:
        """Expire records and start the exchanges that are due."""
        now = self.clock.now()
        if self.fleet.expire(now):
            self.marks.remove_except(r.node for r in self.fleet.get_records())
            self.publish_servers()
        self._expire_announcements(now)
        self.answer_waiters()
        if now >= self._next_exchange_at:
            jitter = 0.9 + 0.2 * self.random.random()
            self._next_exchange_at = now + self._interval_s * jitter
            if now >= self._next_rotation_at:
                self._next_rotation_at = now + VIEW_ROTATION_INTERVAL_S
                self.fleet.rotate_view(self.random)
            self._exchange(1)
        if self._next_push_at is not None and now >= self._next_push_at:
            self._next_push_at = None
            if self._has_updates():
                self._last_push_at = now
                self._exchange(PUSH_FANOUT)
                self.schedule_push()

    def schedule_push(self) -> None:
        """Schedule a push of the updates, if there are any."""
        if self._next_push_at is None and self._has_updates():
            earliest = self.clock.now() + PUSH_DELAY_S
            self._next_push_at = max(earliest, self._last_push_at + PUSH_INTERVAL_S)

    def wait_for_version(self, message: WaitForVersion) -> None:
        """Answer when a version is in force on all nodes, or at the deadline."""
        self._version_waiters.add(message)
        self.answer_waiters()

    def answer_waiters(self) -> None:
        """Answer waiting requests that are fulfilled or past their deadline."""
        self._version_waiters.answer(self._find_nodes_behind, self.clock.now())

    def _find_nodes_behind(self, number: int) -> tuple[str, ...]:
        return self.fleet.find_nodes_behind(number, self.marks.get_version_numbers())

    def publish_servers(self) -> None:
        """Post the table of servers to the services that use it."""
        message = UpdateServers(self.fleet.build_server_table())
        self.kernel.post("forwarding", message)
        self.kernel.post("configuration", message)

    def announce(self, message: AnnounceServer) -> None:
        """Apply the announcement of a server on this VM."""
        local_server = LocalServer(message.record, message.address)
        if self._announced_servers.announce(local_server, self.clock.now()):
            self._publish_local_servers()

    def mark_leaving(self, server: str) -> None:
        """Mark a server on this VM as leaving."""
        if self._announced_servers.mark_leaving(server, self.clock.now()):
            self._publish_local_servers()

    def mark_all_leaving(self) -> None:
        """Mark all servers on this VM as leaving and push this without delay."""
        for local_server in self._announced_servers.get_servers():
            self.mark_leaving(local_server.record.server)
        self._next_push_at = self.clock.now()  # before this node stops

    def set_seeds(self, addresses: tuple[str, ...]) -> None:
        """Replace the seed addresses and start an exchange with each of them."""
        own = self.fleet.own.peer_address
        self._seeds = [address for address in addresses if address != own]
        self._contact_seeds()

    def answer_exchange(self, exchange: Exchange) -> Exchange:
        """Apply a peer's exchange and return the answer.

        A repair is answered with the wanted records, a different digest with stamps.
        """
        self.apply_exchange(exchange)
        if exchange.repair:
            records = self.fleet.select_records(exchange.wanted)
            return self._build_exchange(tuple(records))
        if exchange.digest == self.fleet.get_digest():
            return self._build_exchange(())
        answer = self._build_exchange(())
        return replace(answer, stamps=tuple(self.fleet.get_stamps()))

    def handle_answer(self, message: ExchangeAnswered) -> None:
        """Apply a peer's answer and send a repair if records differ."""
        exchange = message.exchange
        self.fleet.record_success(exchange.sender)
        self.apply_exchange(exchange)
        # The reported version must be known before the peer counts for the baseline.
        self._count_answered_peer(exchange.sender)
        if not exchange.stamps:
            return
        differences = self.fleet.compare(exchange.stamps)
        if not differences.ours and not differences.wanted:
            return
        repair = self._build_exchange(differences.ours)
        repair = replace(repair, wanted=differences.wanted, repair=True)
        self._send(message.node, message.address, repair)

    def set_version(self, name: VersionName) -> None:
        """Set the version in force on this node."""
        self._version = name
        own = self.fleet.own
        self.marks.merge([Mark(own.node, own.incarnation, name.number)])

    def apply_exchange(self, exchange: Exchange) -> None:
        """Merge the records, marks and version of a peer."""
        if self.marks.merge(exchange.marks):
            self.schedule_push()
            self.answer_waiters()
        if self.fleet.merge(exchange.records, self.clock.now()):
            self.publish_servers()
            self.schedule_push()
        if exchange.version.number > self._version.number:
            address = self._find_address(exchange.sender)
            if address:
                self.kernel.post(
                    "configuration", VersionReported(exchange.version, address)
                )

    def update_own_record(self, record: NodeRecord) -> None:
        """Replace the record of this node and push it."""
        self.fleet.update_own(record)
        self.schedule_push()

    def record_failure(self, node: str) -> None:
        """Count a failed exchange with a peer, which may make it a suspect."""
        if node and self.fleet.record_failure(node, self.clock.now()):
            logger.warning("node {} does not answer and is suspected", node)
            self.schedule_push()

    def _has_updates(self) -> bool:
        return self.fleet.has_updates() or self.marks.has_updates()

    def _count_answered_peer(self, sender: str) -> None:
        """Report how many peers have answered since the start."""
        if sender in self._answered_peers:
            return
        self._answered_peers.add(sender)
        known = len(self.fleet.get_records()) - 1
        self.kernel.post(
            "configuration", PeersAnswered(len(self._answered_peers), known)
        )

    def _exchange(self, count: int) -> None:
        """Start exchanges with some peers, or with the seeds if there are no peers."""
        peers = self.fleet.choose_peers(count, self.random)
        updates = tuple(self.fleet.take_updates()) if peers else ()
        marks = tuple(self.marks.take_updates()) if peers else ()
        for peer in peers:
            records = updates
            if peer.state is not NodeState.ALIVE and peer not in updates:
                records = (peer, *updates)  # so that it can refute the suspicion
            exchange = replace(self._build_exchange(records), marks=marks)
            self._send(peer.node, peer.peer_address, exchange)
        if not peers:
            self._contact_seeds()

    def _contact_seeds(self) -> None:
        first_exchange = self._build_exchange((self.fleet.own,))
        for address in self._seeds:
            self._send("", address, first_exchange)

    def _send(self, node: str, address: str, exchange: Exchange) -> None:
        self.kernel.post("peers", SendExchange(node, address, exchange))

    def _build_exchange(self, records: tuple[NodeRecord, ...]) -> Exchange:
        own = self.fleet.own
        return Exchange(own.node, self._version, self.fleet.get_digest(), records)

    def _find_address(self, node: str) -> str:
        for record in self.fleet.select_records((node,)):
            return record.peer_address
        return ""

    def _expire_announcements(self, now: float) -> None:
        expired = self._announced_servers.expire(now)
        for local_server in expired:
            if local_server.record.state is ServerState.SERVING:
                logger.warning(
                    "server {} stopped announcing itself", local_server.record.server
                )
        if expired:
            self._publish_local_servers()

    def _publish_local_servers(self) -> None:
        local_servers = self._announced_servers.get_servers()
        self.kernel.post("forwarding", UpdateLocalServers(local_servers))
        servers = tuple(each.record for each in local_servers)
        self.update_own_record(replace(self.fleet.own, servers=servers))
        self.publish_servers()


@singledispatch
def handle_message(message: Any, membership: Membership) -> None:
    """Handle a message to the membership task."""
    raise TypeError(f"unsupported message: {message!r}")


@handle_message.register(AnnounceServer)
def _(message: AnnounceServer, membership: Membership) -> None:
    membership.announce(message)


@handle_message.register(ServerLeaving)
def _(message: ServerLeaving, membership: Membership) -> None:
    membership.mark_leaving(message.server)


@handle_message.register(NodeLeaving)
def _(message: NodeLeaving, membership: Membership) -> None:
    membership.mark_all_leaving()


@handle_message.register(ExchangeReceived)
def _(message: ExchangeReceived, membership: Membership) -> None:
    message.reply.put(membership.answer_exchange(message.exchange))


@handle_message.register(ExchangeAnswered)
def _(message: ExchangeAnswered, membership: Membership) -> None:
    membership.handle_answer(message)


@handle_message.register(ExchangeFailed)
def _(message: ExchangeFailed, membership: Membership) -> None:
    membership.record_failure(message.node)


@handle_message.register(SeedsFound)
def _(message: SeedsFound, membership: Membership) -> None:
    membership.set_seeds(message.addresses)


@handle_message.register(VersionInForce)
def _(message: VersionInForce, membership: Membership) -> None:
    membership.set_version(message.name)
    own = membership.fleet.own
    if own.waiting_routes != message.waiting_routes:
        record = replace(own, waiting_routes=message.waiting_routes)
        membership.update_own_record(record)
    membership.schedule_push()
    membership.answer_waiters()


@handle_message.register(WaitForVersion)
def _(message: WaitForVersion, membership: Membership) -> None:
    membership.wait_for_version(message)


@handle_message.register(WatchingChanged)
def _(message: WatchingChanged, membership: Membership) -> None:
    own = membership.fleet.own
    membership.update_own_record(replace(own, watching=message.watching))


@handle_message.register(DescribeFleet)
def _(message: DescribeFleet, membership: Membership) -> None:
    records = tuple(membership.fleet.get_records())
    versions = membership.marks.get_version_numbers()
    message.reply.put(FleetState(membership.location.node, records, versions))


def setup(kernel: Kernel) -> None:
    """Register the service."""
    registration = Registration(NAME, ("settings",), Membership, CrashPolicy.RESTART)
    kernel.register(registration)
