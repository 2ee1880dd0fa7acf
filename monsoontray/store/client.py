"""Interface of clients of the platform's key-value service."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from monsoontray.store.outcomes import (
    LeaseOutcome,
    ListOutcome,
    Put,
    ReadOutcome,
    WatchOutcome,
    WatchPrefixOutcome,
    WriteOutcome,
)


class StoreClient(Protocol):
    """A client of the key-value service; each client belongs to one task."""

    def get(self, key: str) -> ReadOutcome:
        """Return the record of a key; its revision is ABSENT if the key is missing."""

    def compare_and_swap(
        self, key: str, revision: int, value: bytes, lease_id: str = ""
    ) -> WriteOutcome:
        """Write a key, bound to a lease if given, if its revision is as expected."""

    def list_prefix(self, prefix: str) -> ListOutcome:
        """Return the records with a key prefix, and the revision to watch from."""

    def watch_prefix(
        self, prefix: str, revision: int, wait_s: float
    ) -> WatchPrefixOutcome:
        """Wait for changes after a revision to keys with a prefix."""

    def commit(
        self,
        expected: dict[str, int],
        puts: Sequence[Put] = (),
        removed: Sequence[str] = (),
    ) -> WriteOutcome:
        """Apply all changes, or none if a key is not at its expected revision."""

    def grant_lease(self, lifetime_s: float) -> LeaseOutcome:
        """Create a lease; keys bound to it are deleted when it expires."""

    def renew_lease(self, lease_id: str, lifetime_s: float) -> LeaseOutcome:
        """Extend a lease."""

    def revoke_lease(self, lease_id: str) -> WriteOutcome:
        """Revoke a lease and delete the keys bound to it."""

    def watch(self, key: str, revision: int, wait_s: float) -> WatchOutcome:
        """Wait until the revision of a key differs from the given one."""

    def close(self) -> None:
        """Close the client's connections."""
