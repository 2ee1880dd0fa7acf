"""Decide which nodes read the store themselves, and through which the others do."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from random import Random
from typing import TYPE_CHECKING

from msgspec import Struct

from monsoontray.decisions.servers import Location

if TYPE_CHECKING:
    from monsoontray.decisions.directory import ListedNode


class StoreAccess(Struct, frozen=True):
    """How a node reads the store: itself or through other nodes."""

    #: Nodes to read it through, the best first; empty if it reads the store itself.
    sources: tuple[ListedNode, ...] = ()
    for_others: bool = False  # whether other nodes read the store through this one


def choose_readers(nodes: Iterable[ListedNode]) -> dict[str, ListedNode]:
    """Return the node of each zone that reads the store for the zone.

    All nodes with the same information make the same choice. The node with the fastest
    link is chosen, because a reader receives each configuration whole.
    """
    readers: dict[str, ListedNode] = {}
    for node in sorted(nodes, key=lambda node: (-node.link_mbps, node.node)):
        if not node.stopping:
            readers.setdefault(node.zone, node)
    return readers


def choose_store_access(
    location: Location, listed: Collection[ListedNode], read_by_all: int, random: Random
) -> StoreAccess:
    """Decide how a node reads the store.

    In a fleet of up to ``read_by_all`` nodes every node reads the store itself. In a
    larger one, one node per zone reads it and the others read through these nodes.
    """
    if len(listed) <= read_by_all:
        return StoreAccess()
    readers = choose_readers(listed)
    near = readers.pop(location.zone, None)
    if near is None:
        return StoreAccess()
    if near.node == location.node:
        return StoreAccess(for_others=True)
    far = list(readers.values())
    random.shuffle(far)
    far.sort(key=lambda node: node.region != location.region)
    return StoreAccess((near, *far))
