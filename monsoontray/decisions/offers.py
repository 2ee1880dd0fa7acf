"""Decide which records a node tells others, and which nodes it tells."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from hashlib import blake2b
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
#: Nodes that keep a node's departures, and those that its next process asks for them.
#: The list of nodes may have changed in between, so it asks more.
KEEPERS = PeerCount(2, 1)
ASKED_KEEPERS = PeerCount(4, 2)
_RANK_BYTES = 8
MAX_OFFERED = 128  # records in one offer
MAX_OFFERED_BYTES = 49_152


def choose_peers(
    location: Location, nodes: Sequence[ListedNode], random: Random, count: PeerCount
) -> list[ListedNode]:
    """Return random nodes of this node's zone and of the others."""
    local, remote = _split_by_zone(location, nodes)
    return [
        *random.sample(local, min(count.local, len(local))),
        *random.sample(remote, min(count.remote, len(remote))),
    ]


def choose_keepers(
    location: Location, nodes: Iterable[ListedNode], count: PeerCount
) -> list[ListedNode]:
    """Return the nodes that keep a node's departures; the same for each process.

    If the zone has too few, there are more of the others.
    """
    running = [node for node in nodes if not node.stopping]
    ranked = sorted(running, key=lambda node: _rank_keeper(location.node, node.node))
    local, remote = _split_by_zone(location, ranked)
    chosen = local[: count.local]
    return [*chosen, *remote[: count.local + count.remote - len(chosen)]]


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


def _split_by_zone(
    location: Location, nodes: Iterable[ListedNode]
) -> tuple[list[ListedNode], list[ListedNode]]:
    """Return the other nodes of a node's zone, and those of the other zones."""
    others = [node for node in nodes if node.node != location.node]
    local = [node for node in others if node.zone == location.zone]
    remote = [node for node in others if node.zone != location.zone]
    return local, remote


def _rank_keeper(node: str, keeper: str) -> bytes:
    content = f"{node}\n{keeper}".encode()
    return blake2b(content, digest_size=_RANK_BYTES).digest()
