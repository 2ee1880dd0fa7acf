"""Decide which node watches the store for a zone and which peers are contacted."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from random import Random

from monsoontray.decisions.fleet import NodeRecord, NodeState
from monsoontray.decisions.servers import Location

MAX_SEEDS = 8  # peers contacted at once


def may_request_lease(location: Location, records: Iterable[NodeRecord]) -> bool:
    """Return whether no other node of the zone is known to be alive and watching."""
    for record in records:
        same_zone = (record.region, record.zone) == (location.region, location.zone)
        other = record.node != location.node
        if same_zone and other and record.watching and record.state is NodeState.ALIVE:
            return False
    return True


def choose_seeds(
    location: Location, directory: Mapping[str, Mapping[str, str]], random: Random
) -> tuple[str, ...]:
    """Choose peer addresses for a starting node; at most half are in its zone."""
    own_zone = f"{location.region}/{location.zone}"
    near = [
        address
        for node, address in directory.get(own_zone, {}).items()
        if node != location.node
    ]
    far = [
        address
        for zone, nodes in directory.items()
        if zone != own_zone
        for address in nodes.values()
    ]
    random.shuffle(near)
    random.shuffle(far)
    seeds = near[: MAX_SEEDS // 2]
    return tuple(seeds + far[: MAX_SEEDS - len(seeds)])


def choose_unknown_addresses(
    known: Iterable[str], directory: Mapping[str, Mapping[str, str]], random: Random
) -> tuple[str, ...]:
    """Choose addresses of nodes that are in the directory but not known yet."""
    names = set(known)
    addresses = [
        address
        for nodes in directory.values()
        for node, address in nodes.items()
        if node not in names
    ]
    random.shuffle(addresses)
    return tuple(addresses[:MAX_SEEDS])
