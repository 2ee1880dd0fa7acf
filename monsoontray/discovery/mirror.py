"""The task that keeps a copy of the store for other nodes."""

from __future__ import annotations

from collections import deque
from functools import singledispatch
from typing import Any

from monsoontray.decisions.deltas import Delta, build_delta
from monsoontray.discovery.copies import LARGE_BYTES, CopiedRecord, Copy
from monsoontray.discovery.messages import (
    ReadMirror,
    StoreChanged,
    StoreListed,
    StoreServed,
)
from monsoontray.kernel.kernel import DeathPolicy, Kernel, Registration
from monsoontray.kernel.task import Task
from monsoontray.store.outcomes import Record

NAME = "mirror"
MAX_REMOVED = 1_000  # removals remembered; who knows less gets a whole copy
KEPT_VERSIONS = 8  # of large records: those written in the time of one fail-over
MAX_WAITING = 12  # askers that wait at a time; the others are answered at once


class Mirror(Task):
    """Own the copy: records by key, and the revision that they are from."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(NAME, kernel, handle_message)
        self._records: dict[str, Record] = {}
        self._removed: dict[str, int] = {}
        self._earlier: dict[str, deque[Record]] = {}  # versions of large records
        self._deltas: dict[tuple[str, int], Delta] = {}  # by key and base revision
        self._revision = 0
        self._floor = 0  # revision from which all removals are known
        self._is_served = False
        self._waiting: list[ReadMirror] = []

    def find_next_deadline(self) -> float | None:
        """Return when the next asker is answered without news."""
        return min((asker.deadline for asker in self._waiting), default=None)

    def wake(self) -> None:
        """Answer those who have waited long enough."""
        now = self.clock.now()
        self._answer([a for a in self._waiting if a.deadline <= now])

    def replace(self, message: StoreListed) -> None:
        """Take everything anew."""
        self._records = {record.key: record for record in message.records}
        self._removed.clear()
        self._deltas.clear()
        self._revision = self._floor = message.revision
        self._answer_known()

    def change(self, message: StoreChanged) -> None:
        """Take what was written and removed."""
        events = [(record, True) for record in message.records]
        events += [(record, False) for record in message.removed]
        for record, is_kept in sorted(events, key=lambda event: event[0].revision):
            if is_kept:
                self._keep(record)
            else:
                self._records.pop(record.key, None)
                self._removed[record.key] = record.revision
        while len(self._removed) > MAX_REMOVED:
            key = next(iter(self._removed))
            self._floor = max(self._floor, self._removed.pop(key))
        self._deltas.clear()
        self._revision = message.revision
        self._answer_known()

    def use_state(self, is_served: bool) -> None:
        """Take whether this node itself is served; tell those who wait if not."""
        self._is_served = is_served
        if not is_served:
            self._answer(self._waiting)

    def read(self, asker: ReadMirror) -> None:
        """Answer at once where there is news, else when there is."""
        has_news = self._revision > asker.known_revision or not self._is_served
        if has_news or len(self._waiting) >= MAX_WAITING:
            asker.reply.put(self.copy(asker.known_revision))
        else:
            self._waiting.append(asker)

    def copy(self, known_revision: int) -> Copy:
        """Return what is newer than what is known."""
        if self._revision <= known_revision:
            return Copy(self._revision, self._is_served)
        if known_revision < self._floor:
            records = tuple(
                CopiedRecord(each.key, each.revision, each.value)
                for each in self._records.values()
            )
            return Copy(self._revision, self._is_served, True, records)
        return Copy(
            self._revision,
            self._is_served,
            False,
            tuple(
                self._copy_record(record, known_revision)
                for record in self._records.values()
                if record.revision > known_revision
            ),
            tuple(r for r in self._removed.items() if r[1] > known_revision),
        )

    def _keep(self, record: Record) -> None:
        known = self._records.get(record.key)
        if known is not None and len(known.value) >= LARGE_BYTES:
            earlier = self._earlier.setdefault(record.key, deque(maxlen=KEPT_VERSIONS))
            earlier.append(known)
        self._records[record.key] = record
        self._removed.pop(record.key, None)

    def _copy_record(self, record: Record, known_revision: int) -> CopiedRecord:
        """Return a record by its difference from the version that is known."""
        earlier = self._earlier.get(record.key, ())
        base = max(
            (each for each in earlier if each.revision <= known_revision),
            key=lambda each: each.revision,
            default=None,
        )
        if base is None or len(record.value) < LARGE_BYTES:
            return CopiedRecord(record.key, record.revision, record.value)
        at = (record.key, base.revision)
        delta = self._deltas.get(at)
        if delta is None:
            delta = self._deltas[at] = build_delta(base.value, record.value)
        return CopiedRecord(record.key, record.revision, b"", base.revision, delta)

    def _answer_known(self) -> None:
        self._answer([a for a in self._waiting if a.known_revision < self._revision])

    def _answer(self, askers: list[ReadMirror]) -> None:
        answered = list(askers)
        self._waiting = [a for a in self._waiting if a not in answered]
        for asker in answered:
            asker.reply.put(self.copy(asker.known_revision))


@singledispatch
def handle_message(message: Any, mirror: Mirror) -> None:
    """Act on a message."""
    raise TypeError(f"no such message: {message!r}")


@handle_message.register(StoreListed)
def _(message: StoreListed, mirror: Mirror) -> None:
    mirror.replace(message)


@handle_message.register(StoreChanged)
def _(message: StoreChanged, mirror: Mirror) -> None:
    mirror.change(message)


@handle_message.register(StoreServed)
def _(message: StoreServed, mirror: Mirror) -> None:
    mirror.use_state(message.is_served)


@handle_message.register(ReadMirror)
def _(message: ReadMirror, mirror: Mirror) -> None:
    mirror.read(message)


def setup(kernel: Kernel) -> None:
    """Register the service."""
    kernel.register(Registration(NAME, (), Mirror, DeathPolicy.RESTART))
