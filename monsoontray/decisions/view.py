"""The few nodes that a node exchanges with, most of them in its zone."""

from __future__ import annotations

from collections.abc import Collection
from random import Random

OTHER_ZONE_SHARE = 0.25  # exchanges that leave the zone
MAX_SAME_ZONE_NODES = 5  # nodes of the own zone that a node exchanges with
MAX_OTHER_ZONE_NODES = 3  # nodes of other zones that it exchanges with


class PartialView:
    """Hold the names of nodes near and far."""

    __slots__ = ("_other_zones", "_same_zone")

    def __init__(self) -> None:
        self._same_zone: list[str] = []
        self._other_zones: list[str] = []

    def refill(
        self, same_zone: Collection[str], other_zones: Collection[str], random: Random
    ) -> None:
        """Drop nodes that are gone and fill up from those that are there."""
        self._same_zone = _refill(
            self._same_zone, same_zone, MAX_SAME_ZONE_NODES, random
        )
        self._other_zones = _refill(
            self._other_zones, other_zones, MAX_OTHER_ZONE_NODES, random
        )

    def drop_random(self, random: Random) -> None:
        """Drop a node on each side, so that all meet in time."""
        for members in (self._same_zone, self._other_zones):
            if members:
                members.pop(random.randrange(len(members)))

    def choose(self, count: int, random: Random) -> list[str]:
        """Choose different nodes to exchange with."""
        same_zone, other_zones = list(self._same_zone), list(self._other_zones)
        chosen: list[str] = []
        while (same_zone or other_zones) and len(chosen) < count:
            leave = not same_zone or (
                bool(other_zones) and random.random() < OTHER_ZONE_SHARE
            )
            pool = other_zones if leave else same_zone
            chosen.append(pool.pop(random.randrange(len(pool))))
        return chosen


def _refill(
    members: list[str], candidates: Collection[str], size: int, random: Random
) -> list[str]:
    present = set(candidates)
    kept = [node for node in members if node in present]
    wanted = size - len(kept)
    if wanted <= 0:
        return kept
    others = [node for node in candidates if node not in kept]
    return kept + random.sample(others, min(wanted, len(others)))
