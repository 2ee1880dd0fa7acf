"""Find the route of a request and the service that takes it."""

from __future__ import annotations

from monsoontray.routing.model import HostRoute, RouteSet, ServicePolicy


class RouteTable:
    """Index one configuration of routes; immutable but for the turns of splits."""

    __slots__ = ("_by_host", "_current_weights", "_policies", "routes")

    def __init__(self, routes: RouteSet) -> None:
        self.routes = routes
        self._policies = {policy.name: policy for policy in routes.services}
        self._current_weights: dict[str, list[float]] = {}
        by_host: dict[str, list[HostRoute]] = {}
        for route in routes.routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        self._by_host = {
            host: tuple(sorted(found, key=lambda r: len(r.prefix), reverse=True))
            for host, found in by_host.items()
        }

    @property
    def number(self) -> int:
        """Return the number of the configuration."""
        return self.routes.number

    def find_route(self, host: str, target: str) -> HostRoute | None:
        """Return the route of a host whose prefix begins the path the longest."""
        path = target.partition("?")[0]
        for route in self._by_host.get(_drop_port(host).lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_policy(self, service: str) -> ServicePolicy | None:
        """Return what the servers of a service bear."""
        return self._policies.get(service)

    def choose_service(self, route: HostRoute) -> str:
        """Return the service whose turn it is, each by its weight.

        The service that is furthest behind its share takes the request, so that
        shares hold over any few requests.
        """
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        current_weights = self._current_weights.setdefault(
            route.name, [0.0] * len(shares)
        )
        total = sum(share.weight for share in shares)
        chosen = 0
        for i, share in enumerate(shares):
            current_weights[i] += share.weight
            if current_weights[i] > current_weights[chosen]:
                chosen = i
        current_weights[chosen] -= total
        return shares[chosen].service


def _drop_port(host: str) -> str:
    name, separator, port = host.rpartition(":")
    return name if separator and port.isdigit() else host
