"""Report entries of other parties that were refused."""

from __future__ import annotations

from typing import TYPE_CHECKING

from monsoontray.logs import logger

if TYPE_CHECKING:
    from monsoontray.decoding.errors import DecodingError
    from monsoontray.metrics.service import Metrics
    from monsoontray.store.outcomes import Record

MAX_REMEMBERED = 256  # the oldest entries are forgotten


class EntryRefusals:
    """Counter and log of the refused entries of one kind; owned by one task."""

    __slots__ = ("_kind", "_metrics", "_revisions")

    def __init__(self, metrics: Metrics, kind: str) -> None:
        self._metrics = metrics
        self._kind = kind
        self._revisions: dict[str, int] = {}  # of the entries that were logged

    def report(self, record: Record, error: DecodingError) -> None:
        """Count and log a refused record, once for each key and revision."""
        if self._revisions.get(record.key) == record.revision:
            return
        self._revisions[record.key] = record.revision
        if len(self._revisions) > MAX_REMEMBERED:
            del self._revisions[next(iter(self._revisions))]
        self._metrics.count_refused_entry(self._kind)
        logger.bind(kind=self._kind, key=record.key, revision=record.revision).warning(
            "entry refused, what it replaces stays in force: {}", error
        )
