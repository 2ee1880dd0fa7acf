"""Which zones are evacuated, also after the store came back from a copy."""

from __future__ import annotations

from collections.abc import Set as AbstractSet

#: Time in which the operator writes again what a store that came back from a copy lost.
REWRITE_S = 10.0


class Evacuations:
    """Evacuated zones as they are listed, or were before the store's latest copy."""

    __slots__ = ("_era", "_listed", "_unlisted")

    def __init__(self) -> None:
        self._era: int | None = None  # of the store, at the latest listing
        self._listed: set[str] = set()
        #: Zones that the copy lacks, and until when they stay evacuated.
        self._unlisted: dict[str, float] = {}

    def get_zones(self) -> frozenset[str]:
        """Return the zones that are evacuated."""
        return frozenset(self._listed) | self._unlisted.keys()

    def find_next_deadline(self) -> float | None:
        """Return when a zone that is no longer listed is used again."""
        return min(self._unlisted.values(), default=None)

    def expire(self, now: float) -> None:
        """Use the zones again whose evacuation was not ordered again."""
        for zone in [zone for zone, due in self._unlisted.items() if due <= now]:
            del self._unlisted[zone]

    def replace(self, zones: AbstractSet[str], era: int, now: float) -> None:
        """Take the zones of a listing; in a later era it may lack some."""
        if self._era is not None and era > self._era:
            lost = self._listed - zones
            self._unlisted |= dict.fromkeys(lost, now + REWRITE_S)
        self._era = era
        self._listed = set(zones)
        for zone in zones:
            self._unlisted.pop(zone, None)

    def change(self, zone: str, is_evacuated: bool) -> None:
        """Take one order of the operator."""
        self._unlisted.pop(zone, None)
        (self._listed.add if is_evacuated else self._listed.discard)(zone)
