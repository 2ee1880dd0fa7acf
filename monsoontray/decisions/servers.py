"""Which backend servers exist, and which one takes a call."""

from __future__ import annotations

import enum
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from random import Random

PENALTY_S = 1.0  # time that a server is avoided after a failed connection
CHOICES = 2  # servers compared for one call


class ServerState(enum.Enum):
    """Say whether a server takes new work."""

    SERVING = "serving"
    LEAVING = "leaving"


@dataclass(slots=True, frozen=True)
class ServerRecord:
    """Describe a backend server that announced itself."""

    server: str
    service: str
    version: str
    resources: tuple[str, ...]
    slots: int
    connections: int
    state: ServerState


@dataclass(slots=True, frozen=True)
class Endpoint:
    """Name a backend server and the guard that stands before it."""

    server: str
    service: str
    version: str
    slots: int
    node: str
    region: str
    zone: str
    guard_address: str
    resources: frozenset[str]


class ServerTable:
    """Index the servers that take new work, by service; immutable."""

    __slots__ = ("_by_service",)

    def __init__(self, endpoints: Iterable[Endpoint] = ()) -> None:
        by_service: dict[str, list[Endpoint]] = {}
        for endpoint in endpoints:
            by_service.setdefault(endpoint.service, []).append(endpoint)
        self._by_service = {name: tuple(found) for name, found in by_service.items()}

    def find(self, service: str) -> tuple[Endpoint, ...]:
        """Return the servers of a service."""
        return self._by_service.get(service, ())

    def offers(self, service: str, resource: str) -> bool:
        """Say whether a server offers a resource, or the service if none is named."""
        found = self.find(service)
        return any(not resource or resource in each.resources for each in found)


class LoadView:
    """Remember what one node knows of the load of the servers it calls."""

    __slots__ = ("_avoid_until", "_calls")

    def __init__(self) -> None:
        self._calls: dict[str, int] = {}
        self._avoid_until: dict[str, float] = {}

    def begin(self, server: str) -> None:
        """Count a call that goes to a server."""
        self._calls[server] = self._calls.get(server, 0) + 1

    def end(self, server: str) -> None:
        """Count a call that has ended."""
        left = self._calls[server] - 1
        if left:
            self._calls[server] = left
        else:
            del self._calls[server]

    def avoid(self, server: str, now: float) -> None:
        """Avoid a server for a while since it could not be reached."""
        self._avoid_until[server] = now + PENALTY_S

    def is_avoided(self, server: str, now: float) -> bool:
        """Say whether a server is avoided; forgets deadlines that have passed."""
        if not self._avoid_until:
            return False
        deadline = self._avoid_until.get(server)
        if deadline is None:
            return False
        if deadline <= now:
            del self._avoid_until[server]
            return False
        return True

    def get_load(self, endpoint: Endpoint) -> float:
        """Return this node's calls on a server as a share of its slots."""
        return self._calls.get(endpoint.server, 0) / endpoint.slots


@dataclass(slots=True, frozen=True)
class Place:
    """Say where a node is."""

    node: str
    region: str
    zone: str


def choose_server(
    candidates: Collection[Endpoint],
    resource: str,
    place: Place,
    tried: Collection[str],
    loads: LoadView,
    now: float,
    random: Random,
) -> Endpoint | None:
    """Choose the least loaded of a few servers, the nearest ones first."""
    usable = [
        endpoint
        for endpoint in candidates
        if endpoint.server not in tried
        and (not resource or resource in endpoint.resources)
    ]
    if not usable:
        return None
    preferred = [
        endpoint for endpoint in usable if not loads.is_avoided(endpoint.server, now)
    ]
    nearest = _keep_nearest(preferred or usable, place, loads)
    if len(nearest) > CHOICES:
        nearest = random.sample(nearest, CHOICES)
    elif len(nearest) > 1:
        random.shuffle(nearest)
    return min(nearest, key=loads.get_load)


def _keep_nearest(
    endpoints: list[Endpoint], place: Place, loads: LoadView
) -> list[Endpoint]:
    """Return the nearest group that this node has not filled by itself."""
    if len(endpoints) == 1:
        return endpoints
    local = [e for e in endpoints if e.zone == place.zone and e.region == place.region]
    if any(loads.get_load(endpoint) < 1.0 for endpoint in local):
        return local
    regional = [e for e in endpoints if e.region == place.region]
    if any(loads.get_load(endpoint) < 1.0 for endpoint in regional):
        return regional
    return endpoints
