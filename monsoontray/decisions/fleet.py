"""Records of the fleet's nodes, as one node knows them.

Nodes exchange records by gossip: a node pushes changed records to a few peers and
compares stamps with a peer whose digest differs. Failed exchanges make a node suspect.
A suspect that does not refute the suspicion in time is declared dead. This is similar
to the SWIM protocol.
"""

from __future__ import annotations

import enum
import hashlib
from collections.abc import Iterable, Mapping
from math import ceil, log2
from random import Random

from msgspec import Struct
from msgspec.structs import replace

from monsoontray.decisions.servers import (
    Endpoint,
    ServerRecord,
    ServerState,
    ServerTable,
)
from monsoontray.decisions.view import PartialView

SUSPICION_TIMEOUT_S = 3.0  # a suspect is declared dead after this time
TOMBSTONE_RETENTION_S = 120.0  # the record of a dead node is removed after this time
FAILURES_TO_SUSPECT = 2  # consecutive failed exchanges
MAX_UPDATES_PER_EXCHANGE = 32  # changed records
PUSHES_PER_DOUBLING = 0.5  # pushes of a changed record per doubling of the fleet's size
MAX_HEALTH_PENALTY = 6  # failed exchanges that a node attributes to itself


class NodeState(enum.IntEnum):
    """State of a node; of two equally new records the larger state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class Stamp(Struct, frozen=True):
    """Identity and age of a node's record."""

    node: str
    incarnation: int
    sequence: int
    state: NodeState

    def is_newer_than(self, other: Stamp) -> bool:
        """Return whether this stamp overrides another one of the same node."""
        return self._rank() > other._rank()

    def _rank(self) -> tuple[int, int, int]:
        return (self.incarnation, self.sequence, int(self.state))


class NodeRecord(Struct, frozen=True):
    """A node and the backend servers on its VM."""

    node: str
    region: str
    zone: str
    guard_address: str
    peer_address: str
    incarnation: int
    sequence: int
    state: NodeState = NodeState.ALIVE
    servers: tuple[ServerRecord, ...] = ()
    watching: bool = False
    waiting_routes: tuple[str, ...] = ()

    def get_stamp(self) -> Stamp:
        """Return the stamp of the record."""
        return Stamp(self.node, self.incarnation, self.sequence, self.state)


class Differences(Struct, frozen=True):
    """Records that two nodes must exchange to have the same records."""

    ours: tuple[NodeRecord, ...]  # the peer has none or older ones
    wanted: tuple[str, ...]  # nodes whose records this node does not have or has older


class Fleet:
    """Records of all nodes that one node knows, its own included."""

    __slots__ = (
        "_deadlines",
        "_digest",
        "_failures",
        "_health_penalty",
        "_pushes_left",
        "_records",
        "_view",
        "own",
    )

    def __init__(self, own: NodeRecord) -> None:
        self.own = own
        self._records: dict[str, NodeRecord] = {}
        self._pushes_left: dict[str, int] = {}
        self._deadlines: dict[str, float] = {}
        self._failures: dict[str, int] = {}
        self._digest = 0
        self._view = PartialView()
        # Nodes that failed to answer, minus successful exchanges. A node that gets no
        # answer from many peers is probably slow itself, so it suspects others later.
        self._health_penalty = 0
        self._set_record(own)

    def update_own(self, record: NodeRecord) -> None:
        """Replace this node's own record with a newer one."""
        self.own = replace(record, sequence=self.own.sequence + 1)
        self._set_record(self.own)

    def merge(self, records: Iterable[NodeRecord], now: float) -> bool:
        """Store records that are newer than the known ones; return whether any was."""
        changed = False
        for record in records:
            if record.node == self.own.node:
                changed |= self._refute(record)
                continue
            known = self._records.get(record.node)
            if known is not None and not record.get_stamp().is_newer_than(
                known.get_stamp()
            ):
                continue
            if known is None and record.state is NodeState.DEAD:
                continue
            self._set_record(record)
            self._set_deadline(record, now)
            changed = True
        return changed

    def record_success(self, node: str) -> None:
        """Count a successful exchange with a node."""
        self._failures.pop(node, None)
        self._health_penalty = max(0, self._health_penalty - 1)

    def record_failure(self, node: str, now: float) -> bool:
        """Count a failed exchange; return whether the node became a suspect."""
        failures = self._failures.get(node, 0) + 1
        self._failures[node] = failures
        if failures == 1:
            self._health_penalty = min(MAX_HEALTH_PENALTY, self._health_penalty + 1)
        tolerated = FAILURES_TO_SUSPECT + max(0, self._health_penalty - 1)
        record = self._records.get(node)
        if record is None or record.state is not NodeState.ALIVE:
            return False
        if failures < tolerated:
            return False
        suspect = replace(record, state=NodeState.SUSPECT)
        self._set_record(suspect)
        self._set_deadline(suspect, now)
        return True

    def expire(self, now: float) -> bool:
        """Declare overdue suspects dead and remove old records of dead nodes.

        Return whether any record changed.
        """
        due = [node for node, deadline in self._deadlines.items() if deadline <= now]
        for node in due:
            del self._deadlines[node]
            record = self._records[node]
            if record.state is NodeState.SUSPECT:
                dead = replace(record, state=NodeState.DEAD, servers=())
                self._set_record(dead)
                self._set_deadline(dead, now)
            else:
                self._remove(node)
        return bool(due)

    def find_next_deadline(self) -> float | None:
        """Return when ``expire`` is due."""
        return min(self._deadlines.values(), default=None)

    def get_digest(self) -> int:
        """Return a digest that is equal on nodes with the same records."""
        return self._digest

    def get_records(self) -> list[NodeRecord]:
        """Return all records, this node's own included."""
        return list(self._records.values())

    def get_stamps(self) -> list[Stamp]:
        """Return the stamps of all records."""
        return [record.get_stamp() for record in self._records.values()]

    def select_records(self, nodes: Iterable[str]) -> list[NodeRecord]:
        """Return the records of the given nodes; unknown nodes are skipped."""
        return [self._records[node] for node in nodes if node in self._records]

    def compare(self, stamps: Iterable[Stamp]) -> Differences:
        """Compare a peer's stamps with the records of this node."""
        theirs = {stamp.node: stamp for stamp in stamps}
        ours = []
        for record in self._records.values():
            stamp = theirs.get(record.node)
            if stamp is None or record.get_stamp().is_newer_than(stamp):
                ours.append(record)
        wanted = []
        for stamp in theirs.values():
            known = self._records.get(stamp.node)
            if known is None:
                if stamp.state is not NodeState.DEAD:
                    wanted.append(stamp.node)
            elif stamp.is_newer_than(known.get_stamp()):
                wanted.append(stamp.node)
        return Differences(tuple(ours), tuple(wanted))

    def take_updates(self) -> list[NodeRecord]:
        """Return the changed records to push now and count one push of each."""
        chosen = sorted(self._pushes_left, key=lambda node: -self._pushes_left[node])
        chosen = chosen[:MAX_UPDATES_PER_EXCHANGE]
        for node in chosen:
            self._pushes_left[node] -= 1
            if self._pushes_left[node] <= 0:
                del self._pushes_left[node]
        return [self._records[node] for node in chosen]

    def has_updates(self) -> bool:
        """Return whether there are changed records to push."""
        return bool(self._pushes_left)

    def choose_peers(self, count: int, random: Random) -> list[NodeRecord]:
        """Choose nodes to exchange with; most of them are in this node's zone."""
        zone = (self.own.region, self.own.zone)
        near: list[str] = []
        far: list[str] = []
        for record in self._records.values():
            if record.node == self.own.node or record.state is NodeState.DEAD:
                continue
            same_zone = (record.region, record.zone) == zone
            (near if same_zone else far).append(record.node)
        self._view.refill(near, far, random)
        return [self._records[node] for node in self._view.choose(count, random)]

    def rotate_view(self, random: Random) -> None:
        """Replace one node of this zone and one of other zones in the view."""
        self._view.drop_random(random)

    def build_server_table(self) -> ServerTable:
        """Return the servers that accept new calls."""
        endpoints = []
        for record in self._records.values():
            if record.state is NodeState.DEAD:
                continue
            endpoints += [
                _build_endpoint(record, server)
                for server in record.servers
                if server.state is ServerState.SERVING
            ]
        return ServerTable(endpoints)

    def find_nodes_behind(
        self, number: int, numbers: Mapping[str, int]
    ) -> tuple[str, ...]:
        """Return the nodes that are not dead and have a version below a number."""
        return tuple(
            sorted(
                record.node
                for record in self._records.values()
                if record.state is not NodeState.DEAD
                and numbers.get(record.node, 0) < number
            )
        )

    def _refute(self, record: NodeRecord) -> bool:
        """Override a peer's record of this node if it is newer than the node's own.

        Such a record comes from a suspicion or from an earlier process of the node.
        """
        if not record.get_stamp().is_newer_than(self.own.get_stamp()):
            return False
        incarnation = max(self.own.incarnation, record.incarnation)
        sequence = max(self.own.sequence, record.sequence) + 1
        self.own = replace(self.own, incarnation=incarnation, sequence=sequence)
        self._set_record(self.own)
        return True

    def _set_record(self, record: NodeRecord) -> None:
        known = self._records.get(record.node)
        if known is not None:
            self._digest ^= _hash_record(known)
        self._digest ^= _hash_record(record)
        self._records[record.node] = record
        doublings = log2(len(self._records) + 1)
        self._pushes_left[record.node] = max(2, ceil(PUSHES_PER_DOUBLING * doublings))

    def _remove(self, node: str) -> None:
        record = self._records.pop(node)
        self._digest ^= _hash_record(record)
        self._pushes_left.pop(node, None)
        self._failures.pop(node, None)

    def _set_deadline(self, record: NodeRecord, now: float) -> None:
        if record.state is NodeState.SUSPECT:
            factor = 1.0 + max(0, self._health_penalty - 1) / 2
            self._deadlines[record.node] = now + SUSPICION_TIMEOUT_S * factor
        elif record.state is NodeState.DEAD:
            self._deadlines[record.node] = now + TOMBSTONE_RETENTION_S
        else:
            self._deadlines.pop(record.node, None)
            self._failures.pop(record.node, None)


def _hash_record(record: NodeRecord) -> int:
    """Return a record's contribution to the digest; dead nodes contribute nothing."""
    if record.state is NodeState.DEAD:
        return 0
    stamp = record.get_stamp()
    text = f"{stamp.node} {stamp.incarnation} {stamp.sequence} {int(stamp.state)}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())


def _build_endpoint(record: NodeRecord, server: ServerRecord) -> Endpoint:
    return Endpoint(
        server=server.server,
        service=server.service,
        version=server.version,
        slots=server.slots,
        node=record.node,
        region=record.region,
        zone=record.zone,
        guard_address=record.guard_address,
        resources=frozenset(server.resources),
    )
