"""Writes of a key that one process at a time writes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from monsoontray.store.outcomes import ABSENT, Done, Put

if TYPE_CHECKING:
    from monsoontray.store.client import StoreClient
    from monsoontray.store.outcomes import WriteOutcome


class OwnedKey:
    """A key, and the position of its record as far as the owner knows.

    Every write is conditional on this position. The store may do a write that it didn't
    answer seconds later. By then a later write has moved the key, and the condition of
    the earlier one no longer holds.
    """

    __slots__ = ("key", "position")

    def __init__(self, key: str) -> None:
        self.key = key
        self.position = ABSENT

    def advance(self, position: int) -> bool:
        """Take over a position that was read; return whether it is a later one."""
        is_later = position > self.position
        self.position = max(self.position, position)
        return is_later

    def write(
        self, client: StoreClient, value: bytes, lease_id: str = ""
    ) -> WriteOutcome:
        """Write the key if it is where the owner knows it."""
        put = Put(self.key, value, lease_id)
        outcome = client.commit({self.key: self.position}, (put,))
        if isinstance(outcome, Done):
            self.position = outcome.revision
        return outcome
