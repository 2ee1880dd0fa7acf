"""The narrow interface to the platform's key-value service."""

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
    """Call the key-value service; one task owns each client."""

    def get(self, key: str) -> ReadOutcome:
        """Return the record of a key; its revision is ABSENT when none exists."""

    def compare_and_swap(
        self, key: str, revision: int, value: bytes, lease_id: str = ""
    ) -> WriteOutcome:
        """Write a key that is still at a revision, bound to a lease if one is named."""

    def list_prefix(self, prefix: str) -> ListOutcome:
        """Return the records below a prefix, and the revision to watch from."""

    def watch_prefix(
        self, prefix: str, revision: int, wait_s: float
    ) -> WatchPrefixOutcome:
        """Wait for changes below a prefix after a revision."""

    def commit(
        self,
        expected: dict[str, int],
        puts: Sequence[Put] = (),
        removed: Sequence[str] = (),
    ) -> WriteOutcome:
        """Make all changes, or none unless every key is at its expected revision."""

    def grant_lease(self, lifetime_s: float) -> LeaseOutcome:
        """Obtain a lease; keys bound to it vanish when it lapses."""

    def renew_lease(self, lease_id: str, lifetime_s: float) -> LeaseOutcome:
        """Extend a lease."""

    def revoke_lease(self, lease_id: str) -> WriteOutcome:
        """Give a lease back."""

    def watch(self, key: str, revision: int, wait_s: float) -> WatchOutcome:
        """Wait until a key is at another revision than the one given."""

    def close(self) -> None:
        """Release the client's connections."""
