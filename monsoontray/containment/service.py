"""The task that keeps what ended servers of the fleet were running."""

from __future__ import annotations

from functools import singledispatch
from random import Random
from typing import TYPE_CHECKING, Any

from monsoontray.containment.encoding import (
    CLEARANCE_PREFIX,
    END_PREFIX,
    build_end_key,
    decode_clearance,
    decode_end,
    encode_clearance,
    encode_end,
)
from monsoontray.containment.messages import (
    RecordsFound,
    RecordsLearned,
    RequestCleared,
    ServerEnded,
    ShareRecords,
    UpdateContainment,
    WriteRecords,
)
from monsoontray.decisions.containment import Clearance
from monsoontray.decoding.errors import DecodingError
from monsoontray.decoding.refusals import EntryRefusals
from monsoontray.discovery.messages import StoreChanged, StoreListed
from monsoontray.kernel.kernel import CrashPolicy, Kernel, Registration
from monsoontray.kernel.task import Task
from monsoontray.logs import logger
from monsoontray.store.eras import get_era
from monsoontray.store.outcomes import Record

if TYPE_CHECKING:
    from collections.abc import Iterable

    from monsoontray.decisions.containment import ServerEnd
    from monsoontray.settings.settings import Settings

NAME = "containment"
PEERS = "containment-peers"
WRITER = "containment-writer"
#: Longest time until a clearance is written. Many nodes may clear the same request;
#: those that read the clearance of another one meanwhile write none.
MAX_CLEARANCE_DELAY_S = 1.5
NO_REVISION = 0  # of records that were not read from the store


class ContainmentService(Task):
    """Task that owns the records of ended servers; it waits for nobody.

    It learns of the ends of other nodes' servers through the store and, where nodes
    exchange records, from these nodes themselves.
    """

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(NAME, kernel, handle_message)
        settings: Settings = kernel.find("settings").settings
        self._lifetime_s = settings.get_seconds("containment_ms")
        self._refusals = EntryRefusals(kernel.find("metrics"), "containment")
        self._random = Random(settings.get_string("node"))
        self._has_peers = kernel.is_registered(PEERS)
        self._ends: dict[str, ServerEnd] = {}
        self._clearances: dict[str, Clearance] = {}
        #: When each record is forgotten, unless the store removes it before.
        self._deadlines: dict[str, float] = {}
        self._own_ends: set[str] = set()  # keys
        self._era = 0  # of the store, at the latest listing
        #: Positions of the records that the store has shown, by key.
        self._stored: dict[str, int] = {}
        self._own_clearances: set[str] = set()  # keys
        self._clearances_due: dict[str, float] = {}  # when they are written, by key

    def find_next_deadline(self) -> float | None:
        """Return when a clearance is written or a record is forgotten."""
        due = list(self._clearances_due.values())
        due += [
            deadline
            for key, deadline in self._deadlines.items()
            if key not in self._stored
        ]
        return min(due, default=None)

    def on_deadline(self) -> None:
        """Write the clearances that are due, and forget old records."""
        now = self.clock.now()
        for key in [key for key, due in self._clearances_due.items() if due <= now]:
            del self._clearances_due[key]
            self._deadlines.setdefault(key, now + self._lifetime_s)
            self._write(key, encode_clearance(self._clearances[key]))
        outdated = [
            key
            for key, deadline in self._deadlines.items()
            if deadline <= now and key not in self._stored
        ]
        for key in outdated:
            self._forget(key)
        if outdated:
            self._post_update()

    def add_end(self, end: ServerEnd) -> None:
        """Record the end of a local server; this node acts on it at once."""
        key = build_end_key(end)
        self._ends[key] = end
        self._own_ends.add(key)
        self._deadlines[key] = self.clock.now() + self._lifetime_s
        self._post_update()
        self._write(key, encode_end(end))

    def add_clearance(self, clearance: Clearance) -> None:
        """Record that a request completed at this node."""
        key = CLEARANCE_PREFIX + clearance.fingerprint
        self._own_clearances.add(key)
        if not self._merge_clearance(key, clearance):
            return
        self._deadlines.setdefault(key, self.clock.now() + self._lifetime_s)
        self._schedule_clearance(key)
        self._post_update()

    def learn(self, message: RecordsLearned) -> None:
        """Add records that another node has sent."""
        now = self.clock.now()
        is_changed = False
        for key, value in message.values.items():
            deadline = min(message.deadlines[key], now + self._lifetime_s)
            if deadline > now and self._apply(Record(key, NO_REVISION, value)):
                self._deadlines.setdefault(key, deadline)
                is_changed = True
                logger.bind(key=key).info("record of ended servers from another node")
        if is_changed:
            self._post_update()

    def apply_listing(self, records: Iterable[Record], revision: int = 0) -> None:
        """Replace the records that the store has shown before.

        What a store that came back from a copy has lost stays until its deadline; the
        node that had written it writes it again.
        """
        listed = {record.key: record for record in records}
        lost = self._stored.keys() - listed.keys()
        for key in lost:
            del self._stored[key]
        if get_era(revision) > self._era:
            self._era = get_era(revision)
            self._write_again(lost)
        else:
            for key in lost:
                self._forget(key)
        for record in listed.values():
            self._apply_stored(record)
        self._post_update()

    def _write_again(self, lost: Iterable[str]) -> None:
        """Write this node's records among those that the store has lost."""
        for key in lost:
            if key in self._own_ends:
                self._write(key, encode_end(self._ends[key]))
            elif key in self._own_clearances:
                self._schedule_clearance(key)

    def apply_changes(self, message: StoreChanged) -> None:
        """Apply records that were written or that expired."""
        for record in message.records:
            self._apply_stored(record)
        for record in message.removed:
            if record.key in self._stored:
                del self._stored[record.key]
                self._forget(record.key)
        self._post_update()

    def merge_found(self, message: RecordsFound) -> None:
        """Add records that the store has to this node's, and write what they lack."""
        for record in message.records:
            key = record.key
            self._apply_stored(record)
            if key in self._own_ends:
                self._write(key, encode_end(self._ends[key]))
            elif key in self._clearances:
                self._clearances_due.pop(key, None)
                value = encode_clearance(self._clearances[key])
                if value != record.value:
                    self._write(key, value)
        self._post_update()

    def _apply_stored(self, record: Record) -> None:
        """Apply a record of the store."""
        key = record.key
        self._apply(record)
        if key not in self._ends and key not in self._clearances:
            return
        self._stored[key] = record.revision
        self._deadlines.setdefault(key, self.clock.now() + self._lifetime_s)
        known = self._clearances.get(key)
        if known is None:
            return
        if encode_clearance(known) == record.value:
            self._clearances_due.pop(key, None)
        elif key in self._own_clearances:
            self._schedule_clearance(key)

    def _apply(self, record: Record) -> bool:
        """Apply a record; return whether it says anything new."""
        key = record.key
        try:
            if not key.startswith(END_PREFIX):
                clearance = decode_clearance(record.value)
                if key != CLEARANCE_PREFIX + clearance.fingerprint:
                    raise DecodingError("the record is of another request")
                return self._merge_clearance(key, clearance)
            end = decode_end(key, record.value)
        except DecodingError as error:
            self._refusals.report(record, error)
            return False
        is_new = key not in self._ends
        if key not in self._own_ends:
            self._ends[key] = end
        return is_new

    def _merge_clearance(self, key: str, clearance: Clearance) -> bool:
        """Add the ends of a clearance to the known ones; return whether any is new."""
        known = self._clearances.get(key)
        if known is None:
            self._clearances[key] = clearance
            return True
        if clearance.ends <= known.ends:
            return False
        ends = known.ends | clearance.ends
        self._clearances[key] = Clearance(clearance.fingerprint, ends)
        return True

    def _schedule_clearance(self, key: str) -> None:
        delay_s = self._random.uniform(0.0, MAX_CLEARANCE_DELAY_S)
        self._clearances_due.setdefault(key, self.clock.now() + delay_s)

    def _forget(self, key: str) -> None:
        self._deadlines.pop(key, None)
        self._ends.pop(key, None)
        self._own_ends.discard(key)
        if key not in self._clearances_due:
            self._clearances.pop(key, None)
            self._own_clearances.discard(key)

    def _post_update(self) -> None:
        update = UpdateContainment(dict(self._ends), tuple(self._clearances.values()))
        self.kernel.post("forwarding", update)
        if not self._has_peers:
            return
        values = {key: encode_end(end) for key, end in self._ends.items()}
        for key, clearance in self._clearances.items():
            values[key] = encode_clearance(clearance)
        self.kernel.post(PEERS, ShareRecords(values, dict(self._deadlines)))

    def _write(self, key: str, value: bytes) -> None:
        positions = {key: self._stored[key]} if key in self._stored else {}
        self.kernel.post(WRITER, WriteRecords({key: value}, positions))


@singledispatch
def handle_message(message: Any, service: ContainmentService) -> None:
    """Handle a message to the containment task."""
    raise TypeError(f"unsupported message: {message!r}")


@handle_message.register(ServerEnded)
def _(message: ServerEnded, service: ContainmentService) -> None:
    service.add_end(message.end)


@handle_message.register(RequestCleared)
def _(message: RequestCleared, service: ContainmentService) -> None:
    service.add_clearance(message.clearance)


@handle_message.register(RecordsLearned)
def _(message: RecordsLearned, service: ContainmentService) -> None:
    service.learn(message)


@handle_message.register(RecordsFound)
def _(message: RecordsFound, service: ContainmentService) -> None:
    service.merge_found(message)


@handle_message.register(StoreListed)
def _(message: StoreListed, service: ContainmentService) -> None:
    service.apply_listing(message.records, message.revision)


@handle_message.register(StoreChanged)
def _(message: StoreChanged, service: ContainmentService) -> None:
    service.apply_changes(message)


def setup(kernel: Kernel) -> None:
    """Register the service."""
    requires = ("settings", "metrics", WRITER)
    registration = Registration(
        NAME,
        requires,
        ContainmentService,
        CrashPolicy.RESTART,
        starts_after=(PEERS,),
    )
    kernel.register(registration)
