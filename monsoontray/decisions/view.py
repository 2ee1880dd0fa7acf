"""The subset of the fleet that a node gossips with, mostly nodes of its zone."""

from __future__ import annotations

from collections.abc import Collection
from random import Random

OTHER_ZONE_SHARE = 0.25  # share of the exchanges that go to another zone
MAX_SAME_ZONE_NODES = 5
MAX_OTHER_ZONE_NODES = 3


class PartialView:
    """Names of a few nodes of this node's zone and of other zones."""

    __slots__ = ("_other_zones", "_same_zone")

    def __init__(self) -> None:
        self._same_zone: list[str] = []
        self._other_zones: list[str] = []

    def refill(
        self, same_zone: Collection[str], other_zones: Collection[str], random: Random
    ) -> None:
        """Remove nodes that are no longer candidates and add random candidates."""
        self._same_zone = _refill(
            self._same_zone, same_zone, MAX_SAME_ZONE_NODES, random
        )
        self._other_zones = _refill(
            self._other_zones, other_zones, MAX_OTHER_ZONE_NODES, random
        )

    def drop_random(self, random: Random) -> None:
        """Remove one node of this zone and one of other zones.

        The view is refilled at random, so over time a node exchanges with all others.
        """
        for members in (self._same_zone, self._other_zones):
            if members:
                members.pop(random.randrange(len(members)))

    def choose(self, count: int, random: Random) -> list[str]:
        """Choose distinct nodes to exchange with."""
        same_zone, other_zones = list(self._same_zone), list(self._other_zones)
        chosen: list[str] = []
        while (same_zone or other_zones) and len(chosen) < count:
            use_other_zone = not same_zone or (
                bool(other_zones) and random.random() < OTHER_ZONE_SHARE
            )
            pool = other_zones if use_other_zone else same_zone
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
