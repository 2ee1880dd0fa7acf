"""What a node knows of the fleet, and how news of it is merged."""

from __future__ import annotations

import enum
import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from math import ceil, log2
from random import Random

from monsoontray.decisions.servers import (
    Endpoint,
    ServerRecord,
    ServerState,
    ServerTable,
)
from monsoontray.decisions.view import PartialView

SUSPICION_TIMEOUT_S = 3.0  # time that a suspect has to refute
TOMBSTONE_RETENTION_S = 120.0  # time that a dead node is remembered
FAILURES_TO_SUSPECT = 2  # failed exchanges in a row
MAX_UPDATES_PER_EXCHANGE = 32  # records pushed in one exchange
PUSHES_PER_DOUBLING = 0.5  # pushes of news for each doubling of the fleet
MAX_HEALTH_PENALTY = 6  # failed exchanges that a node blames on itself at most


class NodeState(enum.IntEnum):
    """Say whether a node is believed to live; the larger overrides."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclass(slots=True, frozen=True)
class Stamp:
    """Tell the age of a record."""

    node: str
    incarnation: int
    sequence: int
    state: NodeState

    def is_newer_than(self, other: Stamp) -> bool:
        """Say whether this stamp overrides another of the same node."""
        return self._rank() > other._rank()

    def _rank(self) -> tuple[int, int, int]:
        return (self.incarnation, self.sequence, int(self.state))


@dataclass(slots=True, frozen=True)
class NodeRecord:
    """Describe a node and the backend servers beside it."""

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
        """Return the age of the record."""
        return Stamp(self.node, self.incarnation, self.sequence, self.state)


@dataclass(slots=True, frozen=True)
class Differences:
    """Say which records two nodes must still exchange."""

    ours: tuple[NodeRecord, ...]
    wanted: tuple[str, ...]


class Fleet:
    """Hold the records of all nodes that one node knows."""

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
        # Nodes that failed to answer lately, less exchanges that worked: a node to
        # which many do not answer is slow itself and suspects others later.
        self._health_penalty = 0
        self._set_record(own)

    def update_own(self, record: NodeRecord) -> None:
        """Change what this node says of itself."""
        self.own = replace(record, sequence=self.own.sequence + 1)
        self._set_record(self.own)

    def merge(self, records: Iterable[NodeRecord], now: float) -> bool:
        """Take records that are newer than those known; say whether any was."""
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

    def note_success(self, node: str) -> None:
        """Record that a node answered."""
        self._failures.pop(node, None)
        self._health_penalty = max(0, self._health_penalty - 1)

    def note_failure(self, node: str, now: float) -> bool:
        """Record that a node did not answer; say whether it is now a suspect."""
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
        """Declare overdue suspects dead and forget old tombstones."""
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
        """Return a number that is equal at nodes with the same records."""
        return self._digest

    def get_records(self) -> list[NodeRecord]:
        """Return every record, this node's own included."""
        return list(self._records.values())

    def get_stamps(self) -> list[Stamp]:
        """Return the age of every record."""
        return [record.get_stamp() for record in self._records.values()]

    def select_records(self, nodes: Iterable[str]) -> list[NodeRecord]:
        """Return the records of some nodes."""
        return [self._records[node] for node in nodes if node in self._records]

    def compare(self, stamps: Iterable[Stamp]) -> Differences:
        """Compare a peer's stamps with what is known here."""
        theirs = {stamp.node: stamp for stamp in stamps}
        ours = []
        for record in self._records.values():
            stamp = theirs.get(record.node)
            if stamp is None or record.get_stamp().is_newer_than(stamp):
                ours.append(record)
        wanted = []
        for stamp in theirs.values():
            record_here = self._records.get(stamp.node)
            if record_here is None:
                if stamp.state is not NodeState.DEAD:
                    wanted.append(stamp.node)
            elif stamp.is_newer_than(record_here.get_stamp()):
                wanted.append(stamp.node)
        return Differences(tuple(ours), tuple(wanted))

    def take_updates(self) -> list[NodeRecord]:
        """Return the news to push now and count it as told once."""
        chosen = sorted(self._pushes_left, key=lambda node: -self._pushes_left[node])
        chosen = chosen[:MAX_UPDATES_PER_EXCHANGE]
        for node in chosen:
            self._pushes_left[node] -= 1
            if self._pushes_left[node] <= 0:
                del self._pushes_left[node]
        return [self._records[node] for node in chosen]

    def has_updates(self) -> bool:
        """Say whether there is news to push."""
        return bool(self._pushes_left)

    def choose_peers(self, count: int, random: Random) -> list[NodeRecord]:
        """Choose nodes of the view to exchange with, most of them in this zone."""
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
        """Replace a node of the view on each side."""
        self._view.drop_random(random)

    def build_server_table(self) -> ServerTable:
        """Return the servers that take new work."""
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
        """Return the living nodes whose version in force is below a number."""
        return tuple(
            sorted(
                record.node
                for record in self._records.values()
                if record.state is not NodeState.DEAD
                and numbers.get(record.node, 0) < number
            )
        )

    def _refute(self, record: NodeRecord) -> bool:
        """Answer what others say of this node with something newer."""
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
    """Return a record's share of the digest; the dead have none."""
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
