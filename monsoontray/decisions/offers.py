"""Decide which records a node tells others, and which nodes it tells."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from random import Random

from msgspec import Struct

from monsoontray.decisions.directory import ListedNode
from monsoontray.decisions.servers import Location


class PeerCount(Struct, frozen=True):
    """How many nodes of this node's zone and of the others are chosen."""

    local: int
    remote: int


#: Nodes that are told of a new record at once. Each of them tells as many, so that a
#: record reaches nearly all nodes of a zone although the other zones are cut off.
TOLD_PEERS = PeerCount(3, 2)
REPAIRED_PEERS = PeerCount(1, 1)  # nodes with which records are compared
MAX_OFFERED = 128  # records in one offer
MAX_OFFERED_BYTES = 49_152


def choose_peers(
    location: Location, nodes: Sequence[ListedNode], random: Random, count: PeerCount
) -> list[ListedNode]:
    """Return random nodes of this node's zone and of the others."""
    others = [node for node in nodes if node.node != location.node]
    local = [node for node in others if node.zone == location.zone]
    remote = [node for node in others if node.zone != location.zone]
    return [
        *random.sample(local, min(count.local, len(local))),
        *random.sample(remote, min(count.remote, len(remote))),
    ]


def select_offered(
    values: Mapping[str, bytes], known_there: Mapping[str, bytes], random: Random
) -> list[str]:
    """Return the keys of records that another node lacks, as far as one offer holds.

    Where it does not hold all, each offer has others.
    """
    missing = [key for key, value in values.items() if known_there.get(key) != value]
    random.shuffle(missing)
    selected: list[str] = []
    size = 0
    for key in missing[:MAX_OFFERED]:
        size += len(key) + len(values[key])
        if size > MAX_OFFERED_BYTES:
            break
        selected.append(key)
    return selected
