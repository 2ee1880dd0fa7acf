"""Client of a store whose records and leases end with its era."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, Any, Protocol, TypeVar

from msgspec.structs import replace

from monsoontray.store.client import StoreClient
from monsoontray.store.eras import StoreEra, build_position, get_era, get_revision
from monsoontray.store.outcomes import (
    ABSENT,
    Cause,
    Changes,
    Compacted,
    Conflict,
    Done,
    Lease,
    LeaseOutcome,
    Listing,
    ListOutcome,
    NotDone,
    Put,
    ReadOutcome,
    Record,
    Unknown,
    WatchOutcome,
    WatchPrefixOutcome,
    WriteOutcome,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

_LEASE_SEPARATOR = "/"
_Outcome = TypeVar("_Outcome")


class EraStoreClient(StoreClient, Protocol):
    """A client that gives the store's revisions, and the era of its latest answer."""

    era: StoreEra


class PositionedStoreClient:
    """Client that gives positions in place of revisions.

    A record of an ended era is no condition, and a lease of one is gone.
    """

    def __init__(self, client: EraStoreClient) -> None:
        self._client = client

    def get(self, key: str) -> ReadOutcome:
        """Return the record of a key, with revision ABSENT if it does not exist."""
        return self._locate(self._client.get(key))

    def list_prefix(self, prefix: str) -> ListOutcome:
        """Return the records with a key prefix, and the position to watch from."""
        return self._read_in_one_era(lambda: self._client.list_prefix(prefix))

    def watch_prefix(
        self, prefix: str, revision: int, wait_s: float
    ) -> WatchPrefixOutcome:
        """Wait for changes to keys with a prefix after a position."""
        outcome = self._client.watch_prefix(prefix, get_revision(revision), wait_s)
        if not isinstance(outcome, NotDone) and self._has_ended(revision):
            return Compacted()
        return self._locate(outcome)

    def watch(self, key: str, revision: int, wait_s: float) -> WatchOutcome:
        """Wait until the position of a key differs from the given one."""
        if self._has_ended(revision):
            return self.get(key)
        outcome = self._client.watch(key, get_revision(revision), wait_s)
        if self._has_ended(revision):
            return self.get(key)
        return self._locate(outcome)

    def compare_and_swap(
        self, key: str, revision: int, value: bytes, lease_id: str = ""
    ) -> WriteOutcome:
        """Write a key if it is still at the given position."""
        return self.commit({key: revision}, (Put(key, value, lease_id),))

    def commit(
        self,
        expected: dict[str, int],
        puts: Sequence[Put] = (),
        removed: Sequence[str] = (),
    ) -> WriteOutcome:
        """Make all changes if every key is at its expected position, otherwise none."""
        if any(map(self._has_ended, expected.values())):
            return Conflict(ABSENT)
        if any(self._has_lease_ended(put.lease_id) for put in puts):
            return NotDone(Cause.LEASE_EXPIRED)
        outcome = self._client.commit(
            {key: get_revision(position) for key, position in expected.items()},
            [replace(put, lease_id=_decode_lease(put.lease_id)) for put in puts],
            removed,
        )
        if isinstance(outcome, Done) and (
            any(map(self._has_ended, expected.values()))
            or any(self._has_lease_ended(put.lease_id) for put in puts)
        ):
            # The store met the condition by a number that it gave out again.
            return Unknown(Cause.ERA_ENDED)
        return self._locate(outcome)

    def grant_lease(self, lifetime_s: float) -> LeaseOutcome:
        """Request a new lease."""
        outcome = self._client.grant_lease(lifetime_s)
        if not isinstance(outcome, Lease):
            return outcome
        era = self._client.era.number
        known_as = f"{era}{_LEASE_SEPARATOR}{outcome.lease_id}"
        return Lease(known_as, outcome.deadline, era)

    def renew_lease(self, lease_id: str, lifetime_s: float) -> LeaseOutcome:
        """Renew a lease for the lifetime that it was granted with."""
        if self._has_lease_ended(lease_id):
            return NotDone(Cause.LEASE_EXPIRED)
        outcome = self._client.renew_lease(_decode_lease(lease_id), lifetime_s)
        if self._has_lease_ended(lease_id):
            return NotDone(Cause.LEASE_EXPIRED)
        if not isinstance(outcome, Lease):
            return outcome
        return Lease(lease_id, outcome.deadline, self._client.era.number)

    def revoke_lease(self, lease_id: str) -> WriteOutcome:
        """Revoke a lease."""
        if self._has_lease_ended(lease_id):
            return NotDone(Cause.LEASE_EXPIRED)
        return self._client.revoke_lease(_decode_lease(lease_id))

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    def _read_in_one_era(self, read: Callable[[], _Outcome]) -> _Outcome:
        """Read, and once more if the era ended between two pages."""
        before = self._client.era.number
        outcome = read()
        if before >= 0 and before != self._client.era.number:
            outcome = read()
        return self._locate(outcome)

    def _has_ended(self, position: int) -> bool:
        return position > ABSENT and get_era(position) < self._client.era.number

    def _has_lease_ended(self, lease_id: str) -> bool:
        era, separator, _ = lease_id.partition(_LEASE_SEPARATOR)
        return bool(separator) and int(era) < self._client.era.number

    def _locate(self, outcome: Any) -> Any:
        return locate(outcome, self._client.era.number)


def _decode_lease(lease_id: str) -> str:
    """Return the store's id of a lease."""
    return lease_id.rpartition(_LEASE_SEPARATOR)[2]


@singledispatch
def locate(outcome: Any, era: int) -> Any:
    """Return an outcome with positions of an era in place of revisions."""
    return outcome


@locate.register(Record | Done)
def _(outcome: Record | Done, era: int) -> Record | Done:
    return replace(outcome, revision=build_position(era, outcome.revision))


@locate.register(Conflict)
def _(outcome: Conflict, era: int) -> Conflict:
    records = tuple(locate(record, era) for record in outcome.records)
    return Conflict(build_position(era, outcome.revision), records)


@locate.register(Listing)
def _(outcome: Listing, era: int) -> Listing:
    records = tuple(locate(record, era) for record in outcome.records)
    return Listing(records, build_position(era, outcome.revision))


@locate.register(Changes)
def _(outcome: Changes, era: int) -> Changes:
    records = tuple(locate(record, era) for record in outcome.records)
    removed = tuple(locate(record, era) for record in outcome.removed)
    return Changes(records, removed, build_position(era, outcome.revision))
