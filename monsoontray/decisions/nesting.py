"""Recognition of routes whose calls are made by running servers."""

from __future__ import annotations

from collections.abc import Collection

MIN_CALLS = 16  # of a route before anything is concluded
MAX_CALLS = 256  # then the counts are halved, so that older calls weigh less
#: Calls of running servers come from the services that make them; those of other
#: callers come from wherever these are.
NESTED_SHARE = 0.97
SPREAD_SHARE = 0.9


class RouteCallers:
    """Services of the VMs from which the calls of each route came to this guard."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: dict[str, dict[bytes, float]] = {}

    def record_call(self, route: str, service: bytes) -> None:
        """Count a call of a route that entered beside a server of a service."""
        counts = self._counts.setdefault(route, {})
        counts[service] = counts.get(service, 0.0) + 1.0
        if sum(counts.values()) > MAX_CALLS:
            self._counts[route] = {
                name: count / 2 for name, count in counts.items() if count >= 1.0
            }

    def is_nested(self, route: str, own_service: bytes) -> bool:
        """Return whether the calls of a route seem to be made by running servers.

        They all come from VMs of one other service, while calls of another route come
        from VMs of several.
        """
        counts = self._counts.get(route, {})
        share = _find_largest_share(counts)
        if share < NESTED_SHARE or max(counts, key=counts.__getitem__) == own_service:
            return False
        return any(
            0.0 < _find_largest_share(others) < SPREAD_SHARE
            for others in self._counts.values()
        )

    def remove_routes_except(self, routes: Collection[str]) -> None:
        """Remove the counts of routes that are not listed."""
        for route in self._counts.keys() - routes:
            del self._counts[route]


def _find_largest_share(counts: dict[bytes, float]) -> float:
    """Return the share of the most frequent service; 0 after too few calls."""
    total = sum(counts.values())
    return max(counts.values()) / total if total >= MIN_CALLS else 0.0
