"""Which backend servers exist, and which one takes a call."""

from __future__ import annotations

import enum
import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from random import Random

REPORT_LIFETIME_S = 0.5  # a report is older than most calls take after this time
DEFAULT_SERVICE_TIME_S = 0.1  # assumed while no server of a service reported any
UTILIZATION_SLOWDOWN = 0.3  # servers slow down by about this share when nearly full
FAILURE_WEIGHT = 0.1  # of the latest call in the share of failed calls
FAILURE_COST = 4.0  # service times that a failed call costs: the wait and the retry
#: Share of the idempotent calls that may go to a near server which was not heard of
#: for some time, so that new servers are used and recovered ones found.
EXPLORATION_SHARE = 0.05
STALE_LOAD_S = 2.0
ESTIMATE_NOISE = 0.1  # share by which estimates are varied at random
#: Handicaps of another zone. Bytes between zones have a price: that of 2.5 kB is
#: about a thirtieth of what a small call earns, that of 60 kB half of an upload's.
ZONE_COST_S = 0.03
ZONE_COST_S_PER_BYTE = 4e-6
UNKNOWN_BODY_BYTES = 60_000  # assumed of a body that is sent in chunks
REGION_COST_S = 0.5  # handicap of another region: its round trips and its price


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
    born: int = 0  # milliseconds since the epoch at which this incarnation started
    cold_until: float = 0.0  # monotonic seconds until which it bears little
    cold_per_s: float = 0.0  # calls a second that it bears until then


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
    unlisted: bool = False  # its node's record is gone; usable while it answers


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

    def count(self) -> int:
        """Return how many servers there are."""
        return sum(map(len, self._by_service.values()))

    def get_names(self) -> frozenset[str]:
        """Return the names of all servers."""
        found = self._by_service.values()
        return frozenset(each.server for servers in found for each in servers)

    def offers(self, service: str, resource: str) -> bool:
        """Say whether a server offers a resource, or the service if none is named."""
        found = self.find(service)
        return any(not resource or resource in each.resources for each in found)


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Tell a guard's load, as its responses carry it."""

    calls: int  # running and waiting, from all nodes
    slots: int  # calls that the server takes at once now
    service_s: float  # mean time that the server needs for one call
    failure_rate: float = 0.0  # share of the calls that fail, the latest counting most


class ServerLoad:
    """Hold what one node knows of the load of one server."""

    __slots__ = (
        "calls",
        "calls_at_report",
        "failure_rate",
        "full_until",
        "last_response_at",
        "report",
        "report_deadline",
        "unreachable",
    )

    def __init__(self) -> None:
        self.calls = 0  # of this node
        self.report: LoadReport | None = None
        self.calls_at_report = 0
        self.report_deadline = 0.0
        self.failure_rate = 0.0  # share of failed calls, the latest counting most
        self.full_until = 0.0  # as its guard has said
        self.unreachable = False
        self.last_response_at = -math.inf


class LoadView:
    """Remember what one node knows of the servers it calls."""

    __slots__ = ("_loads",)

    def __init__(self) -> None:
        self._loads: dict[str, ServerLoad] = {}

    def begin(self, server: str) -> None:
        """Count a call that goes to a server."""
        self._find(server).calls += 1

    def end(self, server: str) -> None:
        """Count a call that has ended."""
        self._find(server).calls -= 1

    def record_response(
        self, server: str, report: LoadReport | None, now: float
    ) -> None:
        """Take an answer of a server's guard, with the load that it reports."""
        load = self._find(server)
        load.last_response_at = now
        load.unreachable = False
        if report is not None:
            load.report = report
            load.calls_at_report = load.calls
            load.report_deadline = now + REPORT_LIFETIME_S

    def record_outcome(self, server: str, failed: bool) -> None:
        """Take whether a call that a server took has failed."""
        load = self._find(server)
        load.failure_rate = update_failure_rate(load.failure_rate, failed)

    def mark_unreachable(self, server: str) -> None:
        """Avoid a server until its guard is heard of."""
        self._find(server).unreachable = True

    def mark_reachable(self, server: str, now: float) -> None:
        """Use a server again whose guard accepted a connection."""
        self.record_response(server, None, now)

    def mark_full(self, server: str, until: float) -> None:
        """Avoid a server until it has room, as its guard has said."""
        self._find(server).full_until = until

    def is_avoided(self, server: str, now: float) -> bool:
        """Say whether a server is avoided now."""
        load = self._loads.get(server)
        return load is not None and (load.unreachable or load.full_until > now)

    def has_free_slot(self, server: str) -> bool:
        """Say whether a server had a free slot, as far as its guard has reported."""
        load = self._loads.get(server)
        if load is None or load.report is None:
            return True
        since = max(0, load.calls - load.calls_at_report)
        return load.report.calls + since < load.report.slots

    def get_last_response_at(self, server: str) -> float:
        """Return when a server's guard answered last."""
        load = self._loads.get(server)
        return -math.inf if load is None else load.last_response_at

    def get_load_age_ms(self, server: str, now: float) -> int | None:
        """Return how old the news of a server is, in milliseconds; None without any."""
        last_response_at = self.get_last_response_at(server)
        return (
            None
            if last_response_at == -math.inf
            else round((now - last_response_at) * 1000)
        )

    def forget_except(self, servers: Collection[str]) -> None:
        """Forget the servers that are gone and have no call left."""
        for server in list(self._loads):
            if server not in servers and not self._loads[server].calls:
                del self._loads[server]

    def get_mean_service_s(self, endpoints: Iterable[Endpoint]) -> float:
        """Return the mean service time that the guards of some servers reported."""
        times = []
        for endpoint in endpoints:
            load = self._loads.get(endpoint.server)
            if load is not None and load.report is not None and load.report.service_s:
                times.append(load.report.service_s)
        return sum(times) / len(times) if times else DEFAULT_SERVICE_TIME_S

    def estimate_cost(
        self, endpoint: Endpoint, now: float, default_service_s: float
    ) -> float:
        """Return the seconds that a further call would cost at a server."""
        load = self._loads.get(endpoint.server)
        expected_s = self.estimate_time(endpoint, now, default_service_s)
        if load is None:
            return expected_s
        failure_rate = load.failure_rate
        if load.report is not None:
            failure_rate = max(failure_rate, load.report.failure_rate)
        # A server that fails at once must not seem fast.
        return expected_s + failure_rate * FAILURE_COST * max(
            expected_s, default_service_s
        )

    def estimate_time(
        self, endpoint: Endpoint, now: float, default_service_s: float
    ) -> float:
        """Return the seconds that a further call would take at a server.

        A server that reported nothing yet is assumed to take ``usual_s``.
        """
        load = self._loads.get(endpoint.server)
        if load is None:
            return default_service_s * (1.0 + UTILIZATION_SLOWDOWN / endpoint.slots)
        calls, slots, service_s = load.calls, endpoint.slots, default_service_s
        report = load.report
        if report is not None:
            service_s = report.service_s or default_service_s
            if load.report_deadline > now:
                slots = max(1, report.slots)
                since = load.calls - load.calls_at_report
                calls = max(calls, report.calls + since)
        utilization = (calls + 1) / slots
        waiting = max(0.0, utilization - 1.0)
        busy = UTILIZATION_SLOWDOWN * min(utilization, 1.0)
        return service_s * (1.0 + busy + waiting)

    def _find(self, server: str) -> ServerLoad:
        load = self._loads.get(server)
        if load is None:
            load = self._loads[server] = ServerLoad()
        return load


@dataclass(slots=True, frozen=True)
class Location:
    """Say where a node is."""

    node: str
    region: str
    zone: str


def choose_server(
    candidates: Collection[Endpoint],
    resource: str,
    location: Location,
    tried: Collection[str],
    loads: LoadView,
    now: float,
    random: Random,
    body_bytes: int = 0,
    may_explore: bool = False,
) -> Endpoint | None:
    """Choose the server that would answer soonest, distance included.

    A call that may explore now and then goes to a server of which little is known.
    """
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
    if may_explore and random.random() < EXPLORATION_SHARE:
        stale = [
            endpoint
            for endpoint in preferred
            if endpoint.zone == location.zone
            and loads.get_last_response_at(endpoint.server) < now - STALE_LOAD_S
        ]
        if stale:
            return random.choice(stale)
    default_service_s = loads.get_mean_service_s(usable)

    def score(endpoint: Endpoint) -> float:
        distance_cost_s = _compute_distance_cost(endpoint, location, body_bytes)
        # Noise keeps nodes that know the same from choosing the same server.
        noise = 1.0 + ESTIMATE_NOISE * random.random()
        return (
            loads.estimate_cost(endpoint, now, default_service_s) * noise
            + distance_cost_s
        )

    return min(preferred or usable, key=score)


def update_failure_rate(failure_rate: float, failed: bool) -> float:
    """Return the share of calls that fail, after a further call."""
    return failure_rate + ((1.0 if failed else 0.0) - failure_rate) * FAILURE_WEIGHT


def _compute_distance_cost(
    endpoint: Endpoint, location: Location, body_bytes: int
) -> float:
    """Return the seconds by which a server is considered farther than a near one."""
    if endpoint.region != location.region:
        return REGION_COST_S
    if endpoint.zone != location.zone:
        return ZONE_COST_S + body_bytes * ZONE_COST_S_PER_BYTE
    return 0.0
