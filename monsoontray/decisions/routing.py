"""Choice of the route and the service of a request."""

from __future__ import annotations

from monsoontray.routing.model import HostRoute, RouteSet, ServicePolicy


class RouteTable:
    """Index of one set of routes; only the round-robin weights change."""

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
        """Return the number of the set of routes."""
        return self.routes.number

    def find_route(self, host: str, target: str) -> HostRoute | None:
        """Return the route of a host with the longest prefix of the path."""
        path = target.partition("?")[0]
        for route in self._by_host.get(_drop_port(host).lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_policy(self, service: str) -> ServicePolicy | None:
        """Return the policy of a service."""
        return self._policies.get(service)

    def choose_service(self, route: HostRoute) -> str:
        """Return the service for the next request, by smooth weighted round-robin.

        The service furthest below its share gets the request, so that the shares are
        kept even over a few requests.
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
