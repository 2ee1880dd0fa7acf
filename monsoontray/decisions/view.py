"""The few nodes that a node exchanges with, most of them in its zone."""

from __future__ import annotations

from collections.abc import Collection
from random import Random

CROSS_ZONE_SHARE = 0.25  # exchanges that leave the zone
VIEW_NEAR = 5  # nodes of the own zone that a node exchanges with
VIEW_FAR = 3  # nodes of other zones that it exchanges with


class View:
    """Hold the names of nodes near and far."""

    __slots__ = ("_far", "_near")

    def __init__(self) -> None:
        self._near: list[str] = []
        self._far: list[str] = []

    def fill(self, near: Collection[str], far: Collection[str], random: Random) -> None:
        """Drop nodes that are gone and fill up from those that are there."""
        self._near = _fill(self._near, near, VIEW_NEAR, random)
        self._far = _fill(self._far, far, VIEW_FAR, random)

    def drop_one(self, random: Random) -> None:
        """Drop a node on each side, so that all meet in time."""
        for members in (self._near, self._far):
            if members:
                members.pop(random.randrange(len(members)))

    def choose(self, count: int, random: Random) -> list[str]:
        """Choose different nodes to exchange with."""
        near, far = list(self._near), list(self._far)
        chosen: list[str] = []
        while (near or far) and len(chosen) < count:
            leave = not near or (bool(far) and random.random() < CROSS_ZONE_SHARE)
            pool = far if leave else near
            chosen.append(pool.pop(random.randrange(len(pool))))
        return chosen


def _fill(
    members: list[str], candidates: Collection[str], size: int, random: Random
) -> list[str]:
    present = set(candidates)
    kept = [node for node in members if node in present]
    wanted = size - len(kept)
    if wanted <= 0:
        return kept
    others = [node for node in candidates if node not in kept]
    return kept + random.sample(others, min(wanted, len(others)))
