"""Propose versions and watch from outside which are in force at each node.

Version n lets two customers call ``/probe/n``. A prober for each node asks as the
one and then as the other, so it sees which version is in force, whether a node ever
goes back, applies a version in part, or points a route at a service that it lacks.
"""

from __future__ import annotations

import statistics
import threading
import time
from dataclasses import dataclass, field
from typing import Any

import urllib3

from bench.caller import CutResponseError, Router, build_request
from bench.fleet import Fleet, FleetError, NodeHandle
from bench.lists import build_customer, build_lists, build_plan, build_route
from bench.progress import show_progress

ZONES = ("zone-a", "zone-b", "zone-c")
TOKENS = ("token-of-first", "token-of-second")
ANNOUNCE_INTERVAL_S = 1.0
PROBE_TIMEOUT_MS = "500"  # an admitted call may wait at a back end, its version not
PROBE_PAUSE_S = 0.001  # for each node, so that all probers ask equally often


class NoVersionError(Exception):
    """Report a node that has no version in force yet."""


@dataclass(slots=True)
class NodeObservation:
    """What the prober of one node saw."""

    node: NodeHandle
    in_force: dict[int, float] = field(default_factory=dict)  # version to time
    regressions: int = 0
    partial_applies: int = 0
    dangling_routes: int = 0
    failed_probes: int = 0
    no_version_probes: int = 0  # to a node that has just started


@dataclass(slots=True)
class LatestVersion:
    """The latest accepted version, shared with the probers."""

    number: int = 0
    proposals: int = 0
    stopped: bool = False


def start_fleet(fleet: Fleet, count: int) -> None:
    """Start nodes in three zones, reached through the proxy, with servers."""
    fleet.probe_path = "/catalogue/poison"
    fleet.probe_token = TOKENS[0]
    fleet.start_store()
    fleet.start_proxy()
    nodes = [fleet.add_node(f"node-{i}", ZONES[i % len(ZONES)]) for i in range(count)]
    for node in nodes:
        fleet.start_node(node)
    fleet.label_processes()
    for node in nodes:
        fleet.wait_for_node(node)
    for i, node in enumerate(nodes[: len(ZONES)]):
        fleet.start_backend(f"server-{i}", "catalogue", node, "--slots=32")
    fleet.wait_for_servers("catalogue", min(count, len(ZONES)))
    show_progress(f"{count} nodes started")


def propose(fleet: Fleet, latest: LatestVersion) -> float:
    """Propose the next version; return when it was accepted, or 0."""
    number = latest.number + 1
    latest.proposals += 1
    fresh_service = f"fresh-{number}"
    routes = [
        build_route(f"/probe/{number}", "catalogue"),
        build_route(f"/fresh/{number}", fresh_service),
        build_route("/catalogue", "catalogue"),
    ]
    plans = [build_plan("first", routes), build_plan("second", routes)]
    customers = [
        build_customer("first", "first", TOKENS[0]),
        build_customer("second", "second", TOKENS[1]),
    ]
    lists = build_lists(customers, plans, ["catalogue", fresh_service])
    proposal = {"based_on": number - 1, "author": "bench", "lists": lists}
    operator = fleet.nodes[latest.proposals % len(fleet.nodes)].operator
    try:
        announce_fresh_service(fleet, fresh_service)
        result = fleet.post_json(operator, "/config", proposal)
    except (OSError, urllib3.exceptions.HTTPError):
        return 0.0
    # A response that was lost shows as being overtaken by oneself.
    accepted = result.get("outcome") in ("accepted", "overtaken")
    if not accepted or result.get("number") != number:
        return 0.0
    latest.number = number
    return time.monotonic()


def announce_fresh_service(fleet: Fleet, service: str) -> None:
    """Announce a service that only one version's routes point at, in each zone."""
    backend = fleet.backends[0]
    for node in fleet.nodes[: len(ZONES)]:
        announcement = {
            "server": f"{service}-{node.name}",
            "service": service,
            "version": "1",
            "address": backend.address,
            "slots": 4,
            "connections": 8,
        }
        try:
            fleet.post_json(node.operator, "/announce", announcement)
        except (OSError, urllib3.exceptions.HTTPError):
            continue  # the node is down


def probe(observation: NodeObservation, latest: LatestVersion, pause_s: float) -> None:
    """Watch one node from outside until the experiment ends."""
    router: Router | None = None
    while not latest.stopped:
        try:
            router = router or Router(observation.node.entry)
            probe_once(router, observation, latest)
        except NoVersionError:
            observation.no_version_probes += 1
        except (OSError, CutResponseError, ValueError):
            observation.failed_probes += 1
            router = None
        time.sleep(pause_s)


def probe_once(
    router: Router, observation: NodeObservation, latest: LatestVersion
) -> None:
    """Ask whether the latest version is in force, as both customers."""
    number = latest.number
    highest = max(observation.in_force, default=0)
    if not is_allowed(router, f"/probe/{number}", TOKENS[0]):
        if highest and not is_any_in_force(router, highest, number + 1):
            observation.regressions += 1
        return
    observation.in_force.setdefault(number, time.monotonic())
    second = is_allowed(router, f"/probe/{number}", TOKENS[1])
    if not second and not is_any_in_force(router, number + 1, number + 1):
        observation.partial_applies += 1
    if number > 1 and is_allowed(router, f"/probe/{number - 1}", TOKENS[1]):
        observation.partial_applies += 1
    if highest < number:
        response = router.call(build_request(f"/fresh/{number}", TOKENS[0]))
        dangling = response.get_header(b"monsoontray-refusal") == b"no-server"
        observation.dangling_routes += dangling


def is_any_in_force(router: Router, lowest: int, highest: int) -> bool:
    """Say whether one of some versions is in force at a node.

    They are asked for upwards, so that a node that moves on meanwhile is met; a
    version may come into force before its proposer has the response.
    """
    numbers = range(lowest, highest + 1)
    return any(is_allowed(router, f"/probe/{n}", TOKENS[1]) for n in numbers)


def is_allowed(router: Router, path: str, token: str) -> bool:
    """Say whether a node's version in force allows a call."""
    request = build_request(path, token, Monsoontray_Timeout_Ms=PROBE_TIMEOUT_MS)
    response = router.call(request)
    refusal = response.get_header(b"monsoontray-refusal")
    if refusal == b"no-version":
        raise NoVersionError
    return refusal not in (b"not-in-plan", b"unknown-customer")


def count_violations(observations: list[NodeObservation]) -> dict[str, Any]:
    """Return what every experiment must find to be 0."""
    return {
        "version_regressions": sum(
            observation.regressions for observation in observations
        ),
        "partial_applies": sum(
            observation.partial_applies for observation in observations
        ),
        "dangling_routes": sum(
            observation.dangling_routes for observation in observations
        ),
    }


class VersionWatcher:
    """Own the probers of a fleet and remember when versions were accepted."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.latest = LatestVersion()
        self.observations = [NodeObservation(node) for node in fleet.nodes]
        self.accepted: dict[int, float] = {}
        pause_s = PROBE_PAUSE_S * len(fleet.nodes)
        self._probers = [
            threading.Thread(
                target=probe, args=(observation, self.latest, pause_s), daemon=True
            )
            for observation in self.observations
        ]
        self._probers.append(
            threading.Thread(target=self._renew_announcements, daemon=True)
        )

    def start(self) -> None:
        """Have the first version accepted and start the probers."""
        if not self.propose():
            raise FleetError("the first version was not accepted")
        for prober in self._probers:
            prober.start()

    def propose(self) -> bool:
        """Propose the next version; say whether it was accepted."""
        accepted_at = propose(self.fleet, self.latest)
        if accepted_at:
            self.accepted[self.latest.number] = accepted_at
        return bool(accepted_at)

    def propose_until(self, deadline: float, interval_s: float) -> None:
        """Propose a version at every interval until a deadline."""
        while time.monotonic() < deadline:
            self.propose()
            time.sleep(max(0.0, min(interval_s, deadline - time.monotonic())))

    def wait_until_in_force(self, nodes: list[NodeHandle], timeout_s: float) -> float:
        """Return when the latest version was seen at nodes, or now at the limit."""
        number = self.latest.number
        names = {node.name for node in nodes}
        observations = [
            observation
            for observation in self.observations
            if observation.node.name in names
        ]
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if all(number in observation.in_force for observation in observations):
                return max(observation.in_force[number] for observation in observations)
            time.sleep(0.02)
        return time.monotonic()

    def _renew_announcements(self) -> None:
        """Repeat the announcements of the latest versions' services."""
        while not self.latest.stopped:
            for number in (self.latest.number, self.latest.number + 1):
                announce_fresh_service(self.fleet, f"fresh-{number}")
            time.sleep(ANNOUNCE_INTERVAL_S)

    def end(self) -> None:
        """End the probers."""
        self.latest.stopped = True
        for prober in self._probers:
            prober.join()

    def summarize(self) -> dict[str, Any]:
        """Return the figures of convergence."""
        latest = max(self.accepted)
        times = [
            max(0.0, observation.in_force[number] - accepted_at)
            for number, accepted_at in self.accepted.items()
            for observation in self.observations
            if number in observation.in_force
        ]
        points = statistics.quantiles(times, n=100, method="inclusive")
        never_seen = sum(
            latest not in observation.in_force for observation in self.observations
        )
        return {
            "changes": len(self.accepted),
            "converge_p50_s": round(points[49], 3),
            "converge_p99_s": round(points[98], 3),
            "converge_max_s": round(max(times), 3),
            "never_seen": never_seen,
            "lost_probe_calls": sum(
                observation.failed_probes for observation in self.observations
            ),
            **count_violations(self.observations),
        }
