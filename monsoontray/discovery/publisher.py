"""The task that keeps this node's record in the store."""

from __future__ import annotations

from functools import singledispatch
from random import Random
from typing import TYPE_CHECKING, Any

from monsoontray.decisions.backoff import compute_retry_time
from monsoontray.discovery.encoding import DEPARTURES_KEY_PREFIX, NODE_KEY_PREFIX
from monsoontray.discovery.messages import (
    DeparturesFound,
    DeparturesWritten,
    OwnRecordRead,
    PublishDepartures,
    PublishNode,
    WithdrawNode,
)
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
)
from monsoontray.store.ownership import OwnedKey

if TYPE_CHECKING:
    from monsoontray.settings.settings import Settings
    from monsoontray.store.client import StoreClient
    from monsoontray.store.outcomes import Record

NAME = "publisher"
RENEWALS_PER_LIFETIME = 3
INITIAL_RETRY_DELAY_S = 0.1  # doubled after each further failed call
MAX_RETRY_DELAY_S = 0.8
#: Time after which departures are written again though the store did not answer since.
DEPARTURES_RETRY_S = 3.0
MAX_SPREAD_S = 1.0
#: Writes in a row, each at the position that the one before was refused for.
MAX_WRITES = 3


class Publisher(Task):
    """Task that owns this node's records, a lease and a client of the store.

    The record of departures binds the next process, so it has no lease: one may lapse
    while the store is disturbed. It is bounded, and replaced by later departures.
    """

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(NAME, kernel, handle_message)
        settings: Settings = kernel.find("settings").settings
        node = settings.get_string("node")
        self._node_key = OwnedKey(NODE_KEY_PREFIX + node)
        self._client: StoreClient = kernel.find("store").open_client("record")
        self._departures_client: StoreClient = kernel.find("store").open_client(
            "departures"
        )
        self._lifetime_s = settings.get_seconds("watch_lease_ms")
        self._random = Random(node)
        self._failures = 0
        self._lease: Lease | None = None
        self._value = b""
        self._is_written = False
        self._departures_key = OwnedKey(DEPARTURES_KEY_PREFIX + node)
        self._departures: bytes | None = None  # the latest
        self._unwritten_departures: bytes | None = None
        self._departures_retry_at = 0.0
        self._era: int | None = None  # in which the store has the departures
        self._next_attempt_at = self.clock.now()

    def find_next_deadline(self) -> float | None:
        """Return when the lease or the record is next checked."""
        return self._next_attempt_at

    def on_deadline(self) -> None:
        """Obtain or renew the lease and write the records that are not written."""
        # New departures do not wait for a lease. Afterwards a renewal, which costs
        # less than a write, shows whether the store answers again.
        is_retry = (
            self._unwritten_departures is not None
            and self.clock.now() < self._departures_retry_at
        )
        are_departures_written = not is_retry and self._write_departures()
        has_lease = self._ensure_lease(must_renew=is_retry)
        if is_retry and has_lease:
            are_departures_written = self._write_departures()
        is_written = not self._value or self._is_written
        if are_departures_written and has_lease and (is_written or self._write()):
            self._failures = 0
            self._next_attempt_at = (
                self.clock.now() + self._lifetime_s / RENEWALS_PER_LIFETIME
            )
            return
        self._next_attempt_at = compute_retry_time(
            self.clock.now(),
            self._failures,
            INITIAL_RETRY_DELAY_S,
            MAX_RETRY_DELAY_S,
            self._random,
        )
        self._failures += 1

    def publish(self, value: bytes, position: int, is_spread: bool = False) -> None:
        """Write a record, even if it is the same as before.

        What all nodes write at once is spread over the time between two renewals.
        """
        self._node_key.advance(position)
        self._value = value
        self._is_written = False
        spread_s = min(self._lifetime_s / RENEWALS_PER_LIFETIME, MAX_SPREAD_S)
        delay_s = self._random.uniform(0.0, spread_s) if is_spread else 0.0
        due = self.clock.now() + delay_s
        self._next_attempt_at = min(self._next_attempt_at, due) if is_spread else due

    def publish_departures(self, value: bytes, position: int) -> None:
        """Write the record of departures."""
        self._departures_key.advance(position)
        self._departures = value
        self._unwritten_departures = value
        self._departures_retry_at = 0.0
        self._next_attempt_at = self.clock.now()

    def check_record(self, record: Record) -> None:
        """Replace a record that was written after the latest of this process."""
        if record.key == self._node_key.key:
            if self._node_key.advance(record.revision) and record.value != self._value:
                if self._is_written:
                    logger.warning("own record was replaced by an earlier one")
                self._is_written = False
                self._next_attempt_at = self.clock.now()
        elif (
            record.key == self._departures_key.key
            and self._departures_key.advance(record.revision)
            and record.value != self._departures
        ):
            self.kernel.post("membership", DeparturesFound(record))

    def withdraw(self) -> None:
        """Remove the record by revoking its lease."""
        self._value = b""
        if self._lease is not None:
            self._client.revoke_lease(self._lease.lease_id)
            self._drop_lease()

    def close(self) -> None:
        """Write what is left, revoke the lease of the node and close the client."""
        self._write_departures(is_last=True)
        self.withdraw()
        self._departures_client.close()
        self._client.close()

    def _ensure_lease(self, must_renew: bool = False) -> bool:
        """Obtain or renew the lease if necessary; return whether there is one."""
        now = self.clock.now()
        lease = self._lease
        if lease is None:
            outcome = self._client.grant_lease(self._lifetime_s)
        elif must_renew or lease.deadline - now < self._lifetime_s * (
            1.0 - 0.5 / RENEWALS_PER_LIFETIME
        ):
            outcome = self._client.renew_lease(lease.lease_id, self._lifetime_s)
        else:
            return True
        if isinstance(outcome, Lease):
            if lease is None:
                self._is_written = False
            self._lease = outcome
            self._set_era(outcome.era)
            return True
        if outcome == NotDone(Cause.LEASE_EXPIRED):
            logger.warning("lease of the node's record expired")
            self._drop_lease()
            self._is_written = False
        return False

    def _drop_lease(self) -> None:
        """Forget the lease, and the record that ended with it."""
        self._lease = None
        self._node_key.position = ABSENT

    def _set_era(self, era: int) -> None:
        """Write the departures again if the store may have lost them."""
        if self._era is not None and era != self._era:
            self._unwritten_departures = self._departures
            self._departures_retry_at = 0.0
            if self._departures is not None:
                self._next_attempt_at = self.clock.now()
        self._era = era

    def _write(self) -> bool:
        """Write the node's record; return whether the store confirmed it."""
        assert self._lease is not None
        lease_id = self._lease.lease_id
        for _ in range(MAX_WRITES):
            outcome = self._node_key.write(self._client, self._value, lease_id)
            if not isinstance(outcome, Conflict):
                break
            self._node_key.position = outcome.revision
        if outcome == NotDone(Cause.LEASE_EXPIRED):
            self._drop_lease()
        self._is_written = isinstance(outcome, Done)
        return self._is_written

    def _write_departures(self, is_last: bool = False) -> bool:
        """Write departures that are not written; return False to try again.

        Departures that are found in their place, of an earlier process or by a late
        write, are not lost: membership adds them and publishes all of them. Those found
        by the last write of a process that has read or written some are known.
        """
        value = self._unwritten_departures
        if value is None:
            return True
        self._departures_retry_at = self.clock.now() + DEPARTURES_RETRY_S
        outcome = self._departures_key.write(self._departures_client, value)
        if isinstance(outcome, Conflict):
            are_known = is_last and self._departures_key.position != ABSENT
            if outcome.records and not are_known:
                self._unwritten_departures = None
                found = DeparturesFound(outcome.records[0])
                self.kernel.post("membership", found)
                return True
            self._departures_key.position = outcome.revision
            outcome = self._departures_key.write(self._departures_client, value)
        if not isinstance(outcome, Done):
            return False
        self._unwritten_departures = None
        self.kernel.post("membership", DeparturesWritten(value))
        return True


@singledispatch
def handle_message(message: Any, publisher: Publisher) -> None:
    """Handle a message to the publisher task."""
    raise TypeError(f"unsupported message: {message!r}")


@handle_message.register(PublishNode)
def _(message: PublishNode, publisher: Publisher) -> None:
    publisher.publish(message.value, message.position, message.is_spread)


@handle_message.register(PublishDepartures)
def _(message: PublishDepartures, publisher: Publisher) -> None:
    publisher.publish_departures(message.value, message.position)


@handle_message.register(OwnRecordRead)
def _(message: OwnRecordRead, publisher: Publisher) -> None:
    publisher.check_record(message.record)


@handle_message.register(WithdrawNode)
def _(message: WithdrawNode, publisher: Publisher) -> None:
    publisher.withdraw()


def setup(kernel: Kernel) -> None:
    """Register the service."""
    requires = ("settings", "store")
    registration = Registration(NAME, requires, Publisher, CrashPolicy.RESTART)
    kernel.register(registration)
