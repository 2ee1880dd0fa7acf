"""Decide which nodes read the store themselves, and whom the others read through."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from monsoontray.decisions.servers import Place

if TYPE_CHECKING:
    from monsoontray.decisions.directory import ListedNode


@dataclass(slots=True, frozen=True)
class StoreAccess:
    """Say how a node learns what is in the store."""

    #: Nodes to read it through, the best first; none where it reads the store itself.
    sources: tuple[ListedNode, ...] = ()
    for_others: bool = False  # other nodes read the store through this one


def choose_readers(nodes: Iterable[ListedNode]) -> dict[str, ListedNode]:
    """Return the node of each zone that reads the store for it.

    All nodes that know the same come to the same choice. The fastest links are
    taken, since a reader gets each configuration whole.
    """
    readers: dict[str, ListedNode] = {}
    for node in sorted(nodes, key=lambda node: (-node.link_mbps, node.node)):
        if not node.stopping:
            readers.setdefault(node.zone, node)
    return readers


def choose_store_access(
    place: Place, listed: Collection[ListedNode], read_by_all: int, random: Random
) -> StoreAccess:
    """Decide how a node reads the store.

    In a fleet of ``read_by_all`` nodes or fewer each reads it itself, beyond that one
    node a zone.
    """
    if len(listed) <= read_by_all:
        return StoreAccess()
    readers = choose_readers(listed)
    near = readers.pop(place.zone, None)
    if near is None:
        return StoreAccess()
    if near.node == place.node:
        return StoreAccess(for_others=True)
    far = list(readers.values())
    random.shuffle(far)
    far.sort(key=lambda node: node.region != place.region)
    return StoreAccess((near, *far))
