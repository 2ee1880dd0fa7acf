"""Watch of one key by a client that watches prefixes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from monsoontray.store.outcomes import (
    ABSENT,
    Compacted,
    NotDone,
    Record,
    Unchanged,
    WatchOutcome,
)

if TYPE_CHECKING:
    from monsoontray.store.client import StoreClient


def watch_key(
    client: StoreClient, key: str, revision: int, absent_at: int, wait_s: float
) -> WatchOutcome:
    """Wait until the revision of a key differs from the given one.

    A key that does not exist is watched from ``absent_at``, the store's revision at
    which that was found; if it is ABSENT, the key is looked up first.
    """
    after = absent_at if revision == ABSENT else revision
    if after == ABSENT:
        listing = client.list_prefix(key)
        if isinstance(listing, NotDone):
            return listing
        for record in listing.records:
            if record.key == key:
                return record
        after = listing.revision
    outcome = client.watch_prefix(key, after, wait_s)
    if isinstance(outcome, Compacted):
        current = client.get(key)
        if isinstance(current, Record) and current.revision == revision:
            return Unchanged()
        return current
    if isinstance(outcome, NotDone):
        return outcome
    for record in reversed(outcome.records):
        if record.key == key:
            return record
    if any(record.key == key for record in outcome.removed):
        return Record(key, ABSENT, b"")
    return Unchanged()
