"""The task that owns the directory of nodes and the state of the local server."""

from __future__ import annotations

import time
from functools import singledispatch
from random import Random
from typing import TYPE_CHECKING, Any

import msgspec

from monsoontray.decisions.announcements import AnnouncementEffect, LocalServerTracker
from monsoontray.decisions.directory import ListedNode, ListedServer, NodeDirectory
from monsoontray.decisions.servers import Location, ServerState
from monsoontray.decisions.sources import StoreAccess, choose_store_access
from monsoontray.decoding.errors import DecodingError
from monsoontray.decoding.refusals import EntryRefusals
from monsoontray.discovery.departures import DepartureRecords
from monsoontray.discovery.encoding import (
    DEPARTURES_KEY_PREFIX,
    NODE_KEY_PREFIX,
    decode_departures,
    decode_node,
)
from monsoontray.discovery.messages import (
    ChooseStoreAccess,
    DeparturesFound,
    DeparturesRecovered,
    DeparturesWritten,
    DescribeNodes,
    OwnRecordRead,
    PublishNode,
    ServerAnnounced,
    ServerLeft,
    StoreChanged,
    StoreListed,
)
from monsoontray.forwarding.messages import (
    LocalServer,
    NodeLeaving,
    ServerLeaving,
    ServerUnconfirmed,
    UpdateLocalServers,
    UpdateServers,
)
from monsoontray.kernel.kernel import Kernel, Registration
from monsoontray.kernel.task import Task
from monsoontray.logs import logger
from monsoontray.store.eras import get_era
from monsoontray.store.outcomes import ABSENT

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from monsoontray.decisions.announcements import Departure
    from monsoontray.settings.settings import Settings
    from monsoontray.store.outcomes import Record

NAME = "membership"


class Discovery(Task):
    """Task that owns the directory of nodes and the local server's announcement."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(NAME, kernel, handle_message)
        settings: Settings = kernel.find("settings").settings
        self._settings = settings
        self._node = settings.get_string("node")
        self._key = NODE_KEY_PREFIX + self._node
        self._departures_key = DEPARTURES_KEY_PREFIX + self._node
        self._refusals = EntryRefusals(kernel.find("metrics"), "node")
        self._incarnation = time.time_ns()
        self._directory = NodeDirectory()
        self._local_server = LocalServerTracker()
        self._departures = DepartureRecords(
            kernel, self._node, self._local_server, self._directory
        )
        self._stopping = False
        #: Whether the store was read. Until then, and until departures are recovered,
        #: the record of an earlier process of this node is not replaced.
        self._is_listed = False
        self._era = 0  # of the store, at the latest listing
        self._position = ABSENT  # of this node's record, as read last
        self._random = Random(self._node)
        self._location = Location(
            self._node, settings.get_string("region"), settings.get_string("zone")
        )

    def find_next_deadline(self) -> float | None:
        """Return when an unlisted node is removed or a departure needs attention."""
        due = (
            self._directory.find_next_deadline(),
            self._departures.find_next_deadline(),
        )
        return min((each for each in due if each is not None), default=None)

    def on_deadline(self) -> None:
        """Remove nodes that have been unlisted for too long; record departures."""
        now = self.clock.now()
        was_recovered = self._departures.is_recovered
        self._departures.run_due(now)
        if self._departures.is_recovered and not was_recovered:
            logger.info("no answer from all nodes that may know which servers left")
            self._use_local_server()
        if self._directory.expire(now):
            self._update_servers()

    def apply_listing(self, records: Sequence[Record], revision: int = 0) -> None:
        """Replace the listed nodes by those of the store's records.

        A store that came back from a copy has lost records of many nodes.
        """
        is_copy = self._is_listed and get_era(revision) > self._era
        self._era = max(self._era, get_era(revision))
        for record in records:
            if record.key == self._departures_key:
                self._restore_departures(record)
            elif record.key == self._key:
                self._position = max(self._position, record.revision)
        decoded = [
            self._decode_node(record)
            for record in records
            if record.key.startswith(NODE_KEY_PREFIX)
        ]
        nodes = [node for node in decoded if node is not None]
        own = [node for node in nodes if node.node == self._node]
        others = [node for node in nodes if node.node != self._node]
        is_first = not self._is_listed
        self._is_listed = True
        self._take_over(own)
        self._directory.sync([*others, self._build_node()], self.clock.now())
        if is_first:
            self._departures.begin_recovery()
        else:
            self._departures.ask_keepers()
        if own != [self._build_node()]:
            self._publish(is_copy)
        self._update_servers()

    def apply_changes(self, message: StoreChanged) -> None:
        """Apply records that were written or removed in the store."""
        now = self.clock.now()
        for record in message.records:
            if record.key == self._departures_key:
                self.kernel.post("publisher", OwnRecordRead(record))
            if not record.key.startswith(NODE_KEY_PREFIX):
                continue  # departures of other nodes bind their next processes only
            node = self._decode_node(record)
            if record.key == self._key:
                self._check_own_record(record, node)
            elif node is None:
                # What the record replaced may still be true.
                self._directory.unlist(record.key.removeprefix(NODE_KEY_PREFIX), now)
            else:
                self._directory.add(node)
        for record in message.removed:
            if not record.key.startswith(NODE_KEY_PREFIX):
                continue
            name = record.key.removeprefix(NODE_KEY_PREFIX)
            if record.key == self._key:
                logger.warning("own record was removed from the store")
                self._position = ABSENT
                self._publish()
            else:
                logger.bind(peer=name).info("node is no longer listed")
                self._directory.unlist(name, now)
        self._departures.ask_keepers()
        self._update_servers()

    def handle_announcement(self, message: ServerAnnounced) -> None:
        """Apply an announcement of the local server and answer with its effect."""
        announcement = message.announcement
        effect = self._local_server.apply(announcement, self.clock.now())
        if effect is not AnnouncementEffect.STALE:
            self._update_guard()
        if effect is AnnouncementEffect.CHANGED:
            logger.bind(
                server=announcement.server,
                born=announcement.born,
                state=announcement.state.value,
                server_version=announcement.version,
                cold_for_s=announcement.cold_for_s,
            ).info("local server changed")
            self._publish()
            self._update_servers()
        if announcement.state is ServerState.LEAVING:
            self._departures.acknowledge(
                announcement.server, announcement.born, message.reply
            )
        else:
            message.reply.put(effect)

    def handle_departure(self, message: ServerLeft) -> None:
        """Remove a server that has left."""
        now, wall_time = self.clock.now(), self.clock.wall_time()
        is_known = self._local_server.remove(
            message.server, message.born, now, wall_time
        )
        logger.bind(server=message.server, known=is_known).info("local server left")
        if is_known:
            self._update_guard()
            self._publish()
            self._update_servers()
        self._departures.acknowledge(
            message.server, message.born, message.reply, has_left=True
        )

    def handle_departures_written(self, message: DeparturesWritten) -> None:
        """Acknowledge the leavings that the store has."""
        self._departures.handle_written(message.value)

    def handle_departures_found(self, message: DeparturesFound) -> None:
        """Add departures that the store has, and write all of them."""
        self._restore_departures(message.record)
        self._departures.publish()

    def recover_departures(self, message: DeparturesRecovered) -> None:
        """Take over which servers have left, as another node has kept it."""
        was_recovered = self._departures.is_recovered
        if self._departures.recover(message.departures, message.is_last):
            logger.info("local server is leaving, as another node knew")
        elif self._departures.is_recovered is was_recovered:
            return
        self._use_local_server()

    def handle_leaving(self, message: ServerLeaving) -> None:
        """Publish that a local server leaves, as it has said in a response."""
        if self._local_server.restore_departure(message.server, message.born):
            logger.bind(server=message.server, born=message.born).info(
                "local server says that it leaves"
            )
            self._departures.record(message.server, message.born)
            self._update_guard()
            self._publish()
            self._update_servers()

    def announce_stop(self) -> None:
        """Publish in this node's record that the node is stopping."""
        self._stopping = True
        self._publish()

    def choose_store_access(self) -> StoreAccess:
        """Decide how this node reads the store."""
        listed = self._directory.get_listed()
        read_by_all = self._settings.get_int("read_by_all")
        return choose_store_access(self._location, listed, read_by_all, self._random)

    def _restore_departures(self, record: Record) -> None:
        """Take over which servers have left, as earlier processes acknowledged it."""
        departures: tuple[Departure, ...] = ()
        try:
            departures = decode_departures(record)
        except DecodingError as error:
            self._refusals.report(record, error)
        if self._departures.read(departures, record.revision):
            logger.info("local server is leaving, as an earlier process knew")
            self._update_guard()

    def _use_local_server(self) -> None:
        """Let calls use the local server, now that it is known which have left."""
        self._update_guard()
        self._publish()
        self._update_servers()

    def _build_node(self) -> ListedNode:
        is_usable = self._departures.is_recovered
        server = _build_server(self._local_server) if is_usable else None
        return ListedNode(
            node=self._node,
            region=self._location.region,
            zone=self._location.zone,
            guard_address=self._settings.get_string("guard_address"),
            peer_address=self._settings.get_string("peer_address"),
            incarnation=self._incarnation,
            stopping=self._stopping,
            server=server,
            link_mbps=self._settings.get_float("link_mbps"),
        )

    def _decode_node(self, record: Record) -> ListedNode | None:
        """Return the node that a record describes, or None if it is refused."""
        try:
            return decode_node(record)
        except DecodingError as error:
            self._refusals.report(record, error)
            return None

    def _check_own_record(self, record: Record, node: ListedNode | None) -> None:
        """Publish this node's record again if another one has replaced it.

        Only the publisher knows the order of the records of this process.
        """
        self._position = max(self._position, record.revision)
        if node is not None:
            self._take_over((node,))
        if node is None or node.incarnation != self._incarnation:
            logger.warning("own record was replaced in the store")
            self._publish()
        else:
            self.kernel.post("publisher", OwnRecordRead(record))

    def _take_over(self, own: Iterable[ListedNode]) -> None:
        """Take over what earlier processes of this node have published.

        Start a later incarnation: the time of day may have gone back since then, and
        the other nodes would ignore the records of this process.
        """
        for node in own:
            if node.incarnation == self._incarnation:
                continue
            self._incarnation = max(self._incarnation, node.incarnation + 1)
            server = node.server
            if (
                server is not None
                and server.leaving
                and self._local_server.restore_departure(server.server, server.born)
            ):
                logger.bind(server=server.server).info("local server is leaving")
                self._update_guard()
                self._update_servers()

    def _publish(self, is_spread: bool = False) -> None:
        node = self._build_node()
        self._directory.add(node)
        if self._is_listed and self._departures.is_recovered:
            value = msgspec.json.encode(node)
            message = PublishNode(value, is_spread, self._position)
            self.kernel.post("publisher", message)

    def _update_guard(self) -> None:
        """Post the local server, if any, to the forwarding service."""
        record = self._local_server.build_record()
        local: tuple[LocalServer, ...] = ()
        if record is not None and self._departures.is_recovered:
            address = self._settings.get_address("server_address")
            local = (LocalServer(record, address),)
        self.kernel.post("forwarding", UpdateLocalServers(local))

    def _update_servers(self) -> None:
        self.kernel.post(
            "forwarding", UpdateServers(self._directory.build_server_table())
        )


def _build_server(tracker: LocalServerTracker) -> ListedServer | None:
    """Return the local server, or as leaving the one that left last.

    The next process of this node learns from it which announcements are out of date.
    """
    record = tracker.build_record()
    if record is not None:
        leaving = record.state is ServerState.LEAVING
        return ListedServer(
            record.server,
            record.service,
            record.version,
            record.slots,
            leaving,
            record.born,
        )
    left = tracker.get_last_left()
    if left is None:
        return None
    return ListedServer(
        left.server, left.service, left.version, left.slots, True, left.born
    )


@singledispatch
def handle_message(message: Any, discovery: Discovery) -> None:
    """Handle a message to the discovery task."""
    raise TypeError(f"unsupported message: {message!r}")


@handle_message.register(StoreListed)
def _(message: StoreListed, discovery: Discovery) -> None:
    discovery.apply_listing(message.records, message.revision)


@handle_message.register(StoreChanged)
def _(message: StoreChanged, discovery: Discovery) -> None:
    discovery.apply_changes(message)


@handle_message.register(ServerAnnounced)
def _(message: ServerAnnounced, discovery: Discovery) -> None:
    discovery.handle_announcement(message)


@handle_message.register(ServerLeft)
def _(message: ServerLeft, discovery: Discovery) -> None:
    discovery.handle_departure(message)


@handle_message.register(DeparturesWritten)
def _(message: DeparturesWritten, discovery: Discovery) -> None:
    discovery.handle_departures_written(message)


@handle_message.register(DeparturesFound)
def _(message: DeparturesFound, discovery: Discovery) -> None:
    discovery.handle_departures_found(message)


@handle_message.register(DeparturesRecovered)
def _(message: DeparturesRecovered, discovery: Discovery) -> None:
    discovery.recover_departures(message)


@handle_message.register(ServerUnconfirmed)
def _(message: ServerUnconfirmed, discovery: Discovery) -> None:
    logger.bind(server=message.server, reason=message.reason).warning(
        "local server is in doubt until it announces itself again"
    )


@handle_message.register(ServerLeaving)
def _(message: ServerLeaving, discovery: Discovery) -> None:
    discovery.handle_leaving(message)


@handle_message.register(NodeLeaving)
def _(message: NodeLeaving, discovery: Discovery) -> None:
    discovery.announce_stop()


@handle_message.register(DescribeNodes)
def _(message: DescribeNodes, discovery: Discovery) -> None:
    message.reply.put(discovery._directory.get_nodes())


@handle_message.register(ChooseStoreAccess)
def _(message: ChooseStoreAccess, discovery: Discovery) -> None:
    message.reply.put(discovery.choose_store_access())


def setup(kernel: Kernel) -> None:
    """Register the service."""
    requires = ("settings", "metrics", "publisher", "departure-keepers")
    kernel.register(Registration(NAME, requires, Discovery))
