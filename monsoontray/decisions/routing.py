"""Choice of the route and the service of a request."""

from __future__ import annotations

from monsoontray.decisions.keys import KeyIndex
from monsoontray.routing.model import HostRoute, RouteSet, ServicePolicy


class RouteTable:
    """Index of one set of routes; only the round-robin weights change."""

    __slots__ = (
        "_by_host",
        "_current_weights",
        "_longest_prefix",
        "_policies",
        "keys",
        "routes",
    )

    def __init__(self, routes: RouteSet) -> None:
        self.routes = routes
        customers = routes.customers
        #: Keys of the customers; None if requests need no keys.
        self.keys = None if customers is None else KeyIndex(customers)
        self._policies = {policy.name: policy for policy in routes.services}
        self._current_weights: dict[str, list[float]] = {}
        self._by_host: dict[str, dict[str, HostRoute]] = {}
        for route in routes.routes:
            by_prefix = self._by_host.setdefault(route.host.lower(), {})
            by_prefix.setdefault(route.prefix, route)
        prefix_lengths = (len(route.prefix) for route in routes.routes)
        self._longest_prefix = max(prefix_lengths, default=0)

    @property
    def number(self) -> int:
        """Return the number of the set of routes."""
        return self.routes.number

    def find_route(self, host: str, target: str) -> HostRoute | None:
        """Return the route of a host with the longest prefix of the path.

        Prefixes end with a slash, so only the parts of the path that do are looked up.
        """
        by_prefix = self._by_host.get(_drop_port(host).lower())
        if by_prefix is None:
            return None
        path = target.partition("?")[0]
        end = path.rfind("/", 0, self._longest_prefix)
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
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
