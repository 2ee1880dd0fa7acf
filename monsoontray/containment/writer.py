"""The task that writes what ended servers were running to the store."""

from __future__ import annotations

from functools import singledispatch
from random import Random
from typing import TYPE_CHECKING, Any

from monsoontray.containment.messages import RecordsFound, WriteRecords
from monsoontray.decisions.backoff import compute_retry_time
from monsoontray.kernel.kernel import CrashPolicy, Kernel, Registration
from monsoontray.kernel.task import Task
from monsoontray.logs import logger
from monsoontray.store.outcomes import (
    ABSENT,
    Cause,
    Conflict,
    Done,
    Lease,
    NotDone,
    Put,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from monsoontray.settings.settings import Settings
    from monsoontray.store.client import StoreClient
    from monsoontray.store.outcomes import Record

NAME = "containment-writer"
INITIAL_RETRY_DELAY_S = 0.1  # doubled after each further failed call
MAX_RETRY_DELAY_S = 0.8
#: A lease is used for further records while this share of its lifetime is left.
MIN_LIFETIME_SHARE = 0.9
MAX_PUTS = 16  # in one call to the store, which also has a condition for each
MAX_UNWRITTEN = 256  # records; the oldest are dropped
MAX_POSITIONS = 1_024  # remembered ones; the oldest are forgotten


class ContainmentWriter(Task):
    """Task that owns a client of the store and the records that are not written yet.

    The records outlive this node's process, and expire with their leases. A write is
    conditional on the positions of its keys: one that is done late replaces no later
    one, and none replaces what another node has written meanwhile.
    """

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(NAME, kernel, handle_message)
        settings: Settings = kernel.find("settings").settings
        self._client: StoreClient = kernel.find("store").open_client("ends")
        self._lifetime_s = settings.get_seconds("containment_ms")
        self._random = Random(settings.get_string("node"))
        self._unwritten: dict[str, bytes] = {}  # values by key
        self._positions: dict[str, int] = {}  # of records that exist, by key
        self._lease: Lease | None = None
        self._failures = 0
        self._next_attempt_at = 0.0

    def find_next_deadline(self) -> float | None:
        """Return when the next records are written."""
        return self._next_attempt_at if self._unwritten else None

    def on_deadline(self) -> None:
        """Write some of the records."""
        if self._write():
            self._failures = 0
            return
        self._next_attempt_at = compute_retry_time(
            self.clock.now(),
            self._failures,
            INITIAL_RETRY_DELAY_S,
            MAX_RETRY_DELAY_S,
            self._random,
        )
        self._failures += 1

    def add(self, values: Mapping[str, bytes], positions: Mapping[str, int]) -> None:
        """Add records to be written, and where those in their place were read."""
        for key, value in values.items():
            self._unwritten.pop(key, None)
            self._unwritten[key] = value
        for key, position in positions.items():
            self._set_position(key, max(position, self._positions.get(key, ABSENT)))
        while len(self._unwritten) > MAX_UNWRITTEN:
            del self._unwritten[next(iter(self._unwritten))]
        if not self._failures:
            self._next_attempt_at = self.clock.now()

    def close(self) -> None:
        """Close the client; the records stay until their leases end."""
        self._client.close()

    def _write(self) -> bool:
        """Write some of the records; return whether the store confirmed them."""
        lease = self._ensure_lease()
        if lease is None:
            return False
        written = list(self._unwritten.items())[:MAX_PUTS]
        puts = tuple(Put(key, value, lease.lease_id) for key, value in written)
        expected = {key: self._positions.get(key, ABSENT) for key, _ in written}
        outcome = self._client.commit(expected, puts)
        if outcome == NotDone(Cause.LEASE_EXPIRED):
            self._lease = None
        if isinstance(outcome, Conflict):
            return self._handle_conflict(expected, outcome.records)
        if not isinstance(outcome, Done):
            logger.bind(records=len(puts)).info("records of ended servers not written")
            return False
        for key, _ in written:
            del self._unwritten[key]
            self._set_position(key, outcome.revision)
        return True

    def _handle_conflict(
        self, expected: dict[str, int], records: tuple[Record, ...]
    ) -> bool:
        """Leave records that are found to their service; return whether any moved.

        The service adds what it knows to them, and lets them be written again.
        """
        found = {record.key: record for record in records}
        moved = [
            key
            for key, position in expected.items()
            if position != (found[key].revision if key in found else ABSENT)
        ]
        others = []
        for key in moved:
            record = found.get(key)
            self._set_position(key, ABSENT if record is None else record.revision)
            if record is not None:
                value = self._unwritten.pop(key)
                others += [record] if record.value != value else []
        if others:
            self.kernel.post("containment", RecordsFound(tuple(others)))
        return bool(moved)

    def _set_position(self, key: str, position: int) -> None:
        self._positions.pop(key, None)
        if position != ABSENT:
            self._positions[key] = position
        while len(self._positions) > MAX_POSITIONS:
            del self._positions[next(iter(self._positions))]

    def _ensure_lease(self) -> Lease | None:
        """Return a lease most of whose lifetime is left, or None."""
        lease = self._lease
        min_left_s = MIN_LIFETIME_SHARE * self._lifetime_s
        if lease is not None and lease.deadline - self.clock.now() >= min_left_s:
            return lease
        outcome = self._client.grant_lease(self._lifetime_s)
        self._lease = outcome if isinstance(outcome, Lease) else None
        return self._lease


@singledispatch
def handle_message(message: Any, writer: ContainmentWriter) -> None:
    """Handle a message to the writer."""
    raise TypeError(f"unsupported message: {message!r}")


@handle_message.register(WriteRecords)
def _(message: WriteRecords, writer: ContainmentWriter) -> None:
    writer.add(message.values, message.positions)


def setup(kernel: Kernel) -> None:
    """Register the service."""
    requires = ("settings", "store")
    registration = Registration(NAME, requires, ContainmentWriter, CrashPolicy.RESTART)
    kernel.register(registration)
