"""Departures of backend servers that a node keeps for other nodes."""

from __future__ import annotations

from collections.abc import Iterable

from monsoontray.decisions.announcements import MAX_DEPARTURES, Departure

#: Longer than a server serves after its departure and its heartbeats may be late.
RETENTION_S = 120.0
MAX_KEPT_NODES = 1_024  # those told of first are dropped


class KeptDepartures:
    """Departures by the node that acknowledged them."""

    __slots__ = ("_by_node", "_deadlines")

    def __init__(self) -> None:
        self._by_node: dict[str, dict[tuple[str, int], Departure]] = {}
        self._deadlines: dict[str, float] = {}  # when they are forgotten, by node

    def add(self, node: str, departures: Iterable[Departure], now: float) -> None:
        """Add departures of a node; of one told twice the later is kept."""
        kept = self._by_node.setdefault(node, {})
        for each in departures:
            key = (each.server, each.born)
            known = kept.pop(key, each)
            kept[key] = max(known, each, key=_get_time)
            self._deadlines[node] = now + RETENTION_S
        while len(kept) > MAX_DEPARTURES:
            del kept[next(iter(kept))]
        self._drop_old(now)

    def find(self, node: str, now: float) -> tuple[Departure, ...]:
        """Return the departures of a node."""
        self._drop_old(now)
        return tuple(self._by_node.get(node, {}).values())

    def _drop_old(self, now: float) -> None:
        for node in list(self._by_node):
            is_due = self._deadlines.get(node, now) <= now
            if is_due or len(self._by_node) > MAX_KEPT_NODES:
                del self._by_node[node]
                self._deadlines.pop(node, None)


def _get_time(departure: Departure) -> int:
    return departure.left_ms
