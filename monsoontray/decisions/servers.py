"""Backend servers, their load, and the choice of a server for a call."""

from __future__ import annotations

import enum
import math
from collections.abc import Collection, Iterable
from random import Random

from msgspec import Struct

#: A load report is ignored after this time, which is longer than most calls take.
REPORT_LIFETIME_S = 0.5
DEFAULT_SERVICE_TIME_S = 0.1  # used until a server of the service reports one
UTILIZATION_SLOWDOWN = 0.3  # a nearly full server is slower by about this share
FAILURE_WEIGHT = 0.1  # of the latest call in the moving average
FAILURE_COST = 4.0  # in service times: the time until the failure and the retry
#: Share of the idempotent calls that go to a server of the own zone whose load is not
#: known or out of date, so that new and recovered servers get calls.
EXPLORATION_SHARE = 0.05
STALE_LOAD_S = 2.0  # since the latest response; the load is then out of date
#: Servers of the own zone and of the others whose costs are compared for a call.
MAX_NEAR_CANDIDATES = 8
MAX_FAR_CANDIDATES = 4
ESTIMATE_NOISE = 0.1  # largest random increase of an estimate, as a share
#: Cost of a call to another zone, which includes the price of traffic between zones:
#: 2.5 kB cost about a thirtieth of what a small call earns, 60 kB half of what an
#: upload earns.
ZONE_COST_S = 0.03
ZONE_COST_S_PER_BYTE = 4e-6
UNKNOWN_BODY_BYTES = 60_000  # assumed size of a chunked body
REGION_COST_S = 0.5  # round trips and price of traffic to another region


class ServerState(enum.Enum):
    """Whether a server accepts new calls."""

    SERVING = "serving"
    LEAVING = "leaving"


class ServerRecord(Struct, frozen=True):
    """Backend server as it announced itself to its node."""

    server: str
    service: str
    version: str
    resources: tuple[str, ...]
    slots: int
    connections: int
    state: ServerState
    born: int = 0  # milliseconds since the epoch at which this incarnation started
    cold_until: float = 0.0  # monotonic seconds; until then the server is cold
    cold_per_s: float = 0.0  # calls a second that it accepts while cold


class Endpoint(Struct, frozen=True):
    """Backend server and the address of its guard."""

    server: str
    service: str
    version: str
    slots: int
    node: str
    region: str
    zone: str
    guard_address: str
    resources: frozenset[str]
    unlisted: bool = False  # its node's record was removed; used while it responds
    born: int = 0  # start of its incarnation, milliseconds since the epoch


class ServerTable:
    """Servers that accept new calls, by service; immutable."""

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
        """Return the number of servers."""
        return sum(map(len, self._by_service.values()))

    def get_names(self) -> frozenset[str]:
        """Return the names of all servers."""
        found = self._by_service.values()
        return frozenset(each.server for servers in found for each in servers)

    def offers(self, service: str, resource: str) -> bool:
        """Return whether a server of the service offers the resource.

        Without a resource, any server of the service is enough.
        """
        found = self.find(service)
        return any(not resource or resource in each.resources for each in found)


class LoadReport(Struct, frozen=True):
    """Load of a server, as the responses of its guard report it."""

    calls: int  # running and queued, from all nodes
    slots: int  # calls that the server currently runs at once
    service_s: float  # mean time that the server takes for a call
    failure_rate: float = 0.0  # moving average of the share of failed calls
    run_s: float = 0.0  # mean time of the calls of one route; 0 if unknown
    wait_s: float = 0.0  # expected time in the queue of a call that is queued now


class TypicalTimes(Struct, frozen=True):
    """Times of servers that reported none, as means over the servers of a service."""

    service_s: float = DEFAULT_SERVICE_TIME_S  # of all calls
    run_s: float = 0.0  # of the calls of one route; 0 if unknown


class ServerLoad:
    """Load of one server, as seen by this node."""

    __slots__ = (
        "calls",
        "calls_at_report",
        "failure_rate",
        "full_until",
        "last_response_at",
        "report",
        "report_deadline",
        "run_times",
        "unreachable",
    )

    def __init__(self) -> None:
        self.calls = 0  # from this node
        self.report: LoadReport | None = None
        self.calls_at_report = 0
        self.report_deadline = 0.0
        self.run_times: dict[str, float] = {}  # mean by route, as its guard reported
        self.failure_rate = 0.0  # of the calls from this node
        self.full_until = 0.0  # as its guard reported
        self.unreachable = False
        self.last_response_at = -math.inf


class LoadView:
    """Loads of all servers, as seen by this node."""

    __slots__ = ("_loads",)

    def __init__(self) -> None:
        self._loads: dict[str, ServerLoad] = {}

    def begin_call(self, server: str) -> None:
        """Count a call that is sent to a server."""
        self._find(server).calls += 1

    def end_call(self, server: str) -> None:
        """Count a call that ends."""
        self._find(server).calls -= 1

    def record_response(
        self, server: str, report: LoadReport | None, now: float, route: str = ""
    ) -> None:
        """Store that a server's guard responded, and the load that it reported.

        ``route`` is the one of the call to which the guard responded.
        """
        load = self._find(server)
        load.last_response_at = now
        load.unreachable = False
        if report is not None:
            load.report = report
            load.calls_at_report = load.calls
            load.report_deadline = now + REPORT_LIFETIME_S
            if report.run_s:
                load.run_times[route] = report.run_s

    def record_outcome(self, server: str, failed: bool) -> None:
        """Update the failure rate of a server with a call that ended."""
        load = self._find(server)
        load.failure_rate = update_failure_rate(load.failure_rate, failed)

    def mark_unreachable(self, server: str) -> None:
        """Avoid a server until its guard responds."""
        self._find(server).unreachable = True

    def mark_reachable(self, server: str, now: float) -> None:
        """Stop avoiding a server whose guard accepted a connection."""
        self.record_response(server, None, now)

    def mark_full(self, server: str, until: float) -> None:
        """Avoid a server until the time at which its guard expects a free slot."""
        self._find(server).full_until = until

    def is_avoided(self, server: str, now: float) -> bool:
        """Return whether a server is unreachable or full."""
        load = self._loads.get(server)
        return load is not None and (load.unreachable or load.full_until > now)

    def has_free_slot(self, server: str) -> bool:
        """Return whether a server has a free slot, judging by its latest report."""
        load = self._loads.get(server)
        if load is None or load.report is None:
            return True
        calls_since = max(0, load.calls - load.calls_at_report)
        return load.report.calls + calls_since < load.report.slots

    def get_last_response_at(self, server: str) -> float:
        """Return when a server's guard last responded."""
        load = self._loads.get(server)
        return -math.inf if load is None else load.last_response_at

    def get_load_age_ms(self, server: str, now: float) -> int | None:
        """Return the milliseconds since the last response; None without one."""
        last_response_at = self.get_last_response_at(server)
        return (
            None
            if last_response_at == -math.inf
            else round((now - last_response_at) * 1000)
        )

    def remove_except(self, servers: Collection[str]) -> None:
        """Remove the servers that are not listed and have no call in progress."""
        for server in list(self._loads):
            if server not in servers and not self._loads[server].calls:
                del self._loads[server]

    def remove_routes_except(self, routes: Collection[str]) -> None:
        """Remove the times of routes that are not listed."""
        for load in self._loads.values():
            for route in load.run_times.keys() - routes:
                del load.run_times[route]

    def compute_typical_times(
        self, endpoints: Iterable[Endpoint], route: str
    ) -> TypicalTimes:
        """Return the means of the times that the servers reported."""
        service_times = []
        run_times = []
        for endpoint in endpoints:
            load = self._loads.get(endpoint.server)
            if load is None or load.report is None:
                continue
            if load.report.service_s:
                service_times.append(load.report.service_s)
            if route in load.run_times:
                run_times.append(load.run_times[route])
        return TypicalTimes(
            _compute_mean(service_times, DEFAULT_SERVICE_TIME_S),
            _compute_mean(run_times, 0.0),
        )

    def estimate_cost(
        self, endpoint: Endpoint, now: float, route: str, typical: TypicalTimes
    ) -> float:
        """Return the cost in seconds of one more call of a route to a server.

        The cost is the expected time plus the expected cost of a failure.
        """
        load = self._loads.get(endpoint.server)
        expected_s = self.estimate_time(endpoint, now, route, typical)
        if load is None:
            return expected_s
        failure_rate = load.failure_rate
        if load.report is not None:
            failure_rate = max(failure_rate, load.report.failure_rate)
        # Without this, a server that fails at once would seem fast.
        typical_s = typical.run_s or typical.service_s
        return expected_s + failure_rate * FAILURE_COST * max(expected_s, typical_s)

    def estimate_time(
        self, endpoint: Endpoint, now: float, route: str, typical: TypicalTimes
    ) -> float:
        """Return the seconds that one more call of a route to a server would take.

        The time of a call depends on its route; the time that it waits depends on all
        calls of the server. With one mean for both, a server that happens to run long
        calls would seem slow and get no short ones.
        """
        load = self._loads.get(endpoint.server)
        if load is None:
            run_s = typical.run_s or typical.service_s
            return run_s * (1.0 + UTILIZATION_SLOWDOWN / endpoint.slots)
        calls, slots, service_s = load.calls, endpoint.slots, typical.service_s
        report = load.report
        if report is not None:
            service_s = report.service_s or service_s
            if load.report_deadline > now:
                slots = max(1, report.slots)
                calls_since = load.calls - load.calls_at_report
                calls = max(calls, report.calls + calls_since)
        run_s = load.run_times.get(route) or typical.run_s or service_s
        utilization = (calls + 1) / slots
        queueing = max(0.0, utilization - 1.0)
        slowdown = UTILIZATION_SLOWDOWN * min(utilization, 1.0)
        return run_s * (1.0 + slowdown) + service_s * queueing

    def _find(self, server: str) -> ServerLoad:
        load = self._loads.get(server)
        if load is None:
            load = self._loads[server] = ServerLoad()
        return load


class Location(Struct, frozen=True):
    """Node with its region and zone."""

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
    route: str = "",
) -> Endpoint | None:
    """Return the server with the lowest cost, including that of its distance.

    A small share of the calls with ``may_explore`` go to a server of unknown load.
    """
    usable = [
        endpoint
        for endpoint in candidates
        if endpoint.server not in tried
        and (not resource or resource in endpoint.resources)
    ]
    if not usable:
        return None
    drawn = draw_candidates(usable, location, random)
    preferred = _find_preferred(drawn, loads, now)
    if not preferred and len(drawn) < len(usable):
        drawn, preferred = usable, _find_preferred(usable, loads, now)
    if may_explore and random.random() < EXPLORATION_SHARE:
        stale = [
            endpoint
            for endpoint in preferred
            if endpoint.zone == location.zone
            and loads.get_last_response_at(endpoint.server) < now - STALE_LOAD_S
        ]
        if stale:
            return random.choice(stale)
    typical = loads.compute_typical_times(drawn, route)

    def score(endpoint: Endpoint) -> float:
        distance_cost_s = _compute_distance_cost(endpoint, location, body_bytes)
        # Without noise, all nodes with the same loads would choose the same server.
        noise = 1.0 + ESTIMATE_NOISE * random.random()
        return (
            loads.estimate_cost(endpoint, now, route, typical) * noise + distance_cost_s
        )

    return min(preferred or drawn, key=score)


def draw_candidates(
    usable: list[Endpoint], location: Location, random: Random
) -> list[Endpoint]:
    """Return the servers whose costs are compared for one call.

    In a large fleet they are drawn at random. A choice among all would take a node
    longer than the rest of the call, and what it knows of most loads is out of date.
    """
    if len(usable) <= MAX_NEAR_CANDIDATES + MAX_FAR_CANDIDATES:
        return usable
    near = [endpoint for endpoint in usable if endpoint.zone == location.zone]
    far = [endpoint for endpoint in usable if endpoint.zone != location.zone]
    if len(near) > MAX_NEAR_CANDIDATES:
        near = random.sample(near, MAX_NEAR_CANDIDATES)
    if len(far) > MAX_FAR_CANDIDATES:
        far = random.sample(far, MAX_FAR_CANDIDATES)
    return near + far


def _find_preferred(
    endpoints: list[Endpoint], loads: LoadView, now: float
) -> list[Endpoint]:
    """Return the servers that are neither unreachable nor full."""
    return [each for each in endpoints if not loads.is_avoided(each.server, now)]


def update_failure_rate(failure_rate: float, failed: bool) -> float:
    """Return the moving average of failures after one more call."""
    return failure_rate + ((1.0 if failed else 0.0) - failure_rate) * FAILURE_WEIGHT


def _compute_mean(values: Collection[float], default: float) -> float:
    return sum(values) / len(values) if values else default


def _compute_distance_cost(
    endpoint: Endpoint, location: Location, body_bytes: int
) -> float:
    """Return the cost in seconds of calling a server in another zone or region."""
    if endpoint.region != location.region:
        return REGION_COST_S
    if endpoint.zone != location.zone:
        return ZONE_COST_S + body_bytes * ZONE_COST_S_PER_BYTE
    return 0.0
