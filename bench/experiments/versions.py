"""Propose versions and observe from outside which one is in force at each node.

Version n lets two customers call ``/probe/n``. One prober per node calls as the first
customer and then as the second. It observes which version is in force, and whether
the node returns to an older version, applies a version only in part, or has a route to
a service whose servers it does not know.
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
# An admitted probe may wait at a back end, which says nothing about the version.
PROBE_TIMEOUT_MS = "500"
# Multiplied by the number of nodes, so that all probers call equally often.
PROBE_PAUSE_S = 0.001


class NoVersionError(Exception):
    """The node has no version in force yet."""


@dataclass(slots=True)
class NodeObservation:
    """Observations of one node by its prober."""

    node: NodeHandle
    # Time at which a version was first seen in force, by version.
    in_force: dict[int, float] = field(default_factory=dict)
    regressions: int = 0
    partial_applies: int = 0
    dangling_routes: int = 0
    failed_probes: int = 0
    no_version_probes: int = 0  # to a node that has just started


@dataclass(slots=True)
class LatestVersion:
    """Latest accepted version and stop flag, shared with the probers."""

    number: int = 0
    proposals: int = 0
    stopped: bool = False


def start_fleet(fleet: Fleet, count: int) -> None:
    """Start nodes in three zones behind the proxy, and one server per zone."""
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
    """Propose the next version; return the time of acceptance, or 0.0 if refused."""
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
    operator = fleet.nodes[latest.proposals % len(fleet.nodes)].operator_address
    try:
        announce_fresh_service(fleet, fresh_service)
        result = fleet.post_json(operator, "/config", proposal)
    except (OSError, urllib3.exceptions.HTTPError):
        return 0.0
    # If the response to an accepted proposal was lost, the next attempt is answered
    # as overtaken by that same version.
    accepted = result.get("outcome") in ("accepted", "overtaken")
    if not accepted or result.get("number") != number:
        return 0.0
    latest.number = number
    return time.monotonic()


def announce_fresh_service(fleet: Fleet, service: str) -> None:
    """Announce a service that only one version has a route to, in each zone."""
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
            fleet.post_json(node.operator_address, "/announce", announcement)
        except (OSError, urllib3.exceptions.HTTPError):
            continue  # the node is unreachable


def probe_until_stopped(
    observation: NodeObservation, latest: LatestVersion, pause_s: float
) -> None:
    """Probe one node until the experiment stops."""
    router: Router | None = None
    while not latest.stopped:
        try:
            router = router or Router(observation.node.entry_address)
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
    """Check as both customers whether the latest version is in force."""
    number = latest.number
    highest = max(observation.in_force, default=0)
    if not is_allowed(router, f"/probe/{number}", TOKENS[0]):
        if highest and not is_any_in_force(router, highest, number + 1):
            observation.regressions += 1
        return
    observation.in_force.setdefault(number, time.monotonic())
    second_allowed = is_allowed(router, f"/probe/{number}", TOKENS[1])
    if not second_allowed and not is_any_in_force(router, number + 1, number + 1):
        observation.partial_applies += 1
    if number > 1 and is_allowed(router, f"/probe/{number - 1}", TOKENS[1]):
        observation.partial_applies += 1
    if highest < number:
        response = router.call(build_request(f"/fresh/{number}", TOKENS[0]))
        dangling = response.get_header(b"monsoontray-refusal") == b"no-server"
        observation.dangling_routes += dangling


def is_any_in_force(router: Router, lowest: int, highest: int) -> bool:
    """Return whether one of a range of versions is in force at a node.

    The versions are tried in ascending order, so that a node that adopts the next
    version in the meantime is not missed. Callers include the version after the latest
    accepted one: it may be in force before its proposer has received the response.
    """
    numbers = range(lowest, highest + 1)
    return any(is_allowed(router, f"/probe/{n}", TOKENS[1]) for n in numbers)


def is_allowed(router: Router, path: str, token: str) -> bool:
    """Return whether the version in force at a node allows a call."""
    request = build_request(path, token, Monsoontray_Timeout_Ms=PROBE_TIMEOUT_MS)
    response = router.call(request)
    refusal = response.get_header(b"monsoontray-refusal")
    if refusal == b"no-version":
        raise NoVersionError
    return refusal not in (b"not-in-plan", b"unknown-customer")


def count_violations(observations: list[NodeObservation]) -> dict[str, Any]:
    """Return the counts that must be 0 in every experiment."""
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
    """Probers of a fleet and the times at which versions were accepted."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.latest = LatestVersion()
        self.observations = [NodeObservation(node) for node in fleet.nodes]
        self.accepted_at: dict[int, float] = {}
        pause_s = PROBE_PAUSE_S * len(fleet.nodes)
        self._threads = [
            threading.Thread(
                target=probe_until_stopped,
                args=(observation, self.latest, pause_s),
                daemon=True,
            )
            for observation in self.observations
        ]
        self._threads.append(
            threading.Thread(target=self._renew_announcements, daemon=True)
        )

    def start(self) -> None:
        """Propose the first version and start the probers."""
        if not self.propose():
            raise FleetError("the first version was not accepted")
        for thread in self._threads:
            thread.start()

    def propose(self) -> bool:
        """Propose the next version and return whether it was accepted."""
        accepted_at = propose(self.fleet, self.latest)
        if accepted_at:
            self.accepted_at[self.latest.number] = accepted_at
        return bool(accepted_at)

    def propose_until(self, deadline: float, interval_s: float) -> None:
        """Propose one version per interval until a deadline."""
        while time.monotonic() < deadline:
            self.propose()
            time.sleep(max(0.0, min(interval_s, deadline - time.monotonic())))

    def wait_until_in_force(self, nodes: list[NodeHandle], timeout_s: float) -> float:
        """Return when nodes had the latest version in force, or now after a timeout."""
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
        """Repeat the announcements of the services of the latest and next version."""
        while not self.latest.stopped:
            for number in (self.latest.number, self.latest.number + 1):
                announce_fresh_service(self.fleet, f"fresh-{number}")
            time.sleep(ANNOUNCE_INTERVAL_S)

    def stop(self) -> None:
        """Stop the probers."""
        self.latest.stopped = True
        for thread in self._threads:
            thread.join()

    def summarize(self) -> dict[str, Any]:
        """Return the convergence times and the violations."""
        latest = max(self.accepted_at)
        delays_s = [
            max(0.0, observation.in_force[number] - accepted_at)
            for number, accepted_at in self.accepted_at.items()
            for observation in self.observations
            if number in observation.in_force
        ]
        percentiles = statistics.quantiles(delays_s, n=100, method="inclusive")
        never_seen = sum(
            latest not in observation.in_force for observation in self.observations
        )
        return {
            "changes": len(self.accepted_at),
            "converge_p50_s": round(percentiles[49], 3),
            "converge_p99_s": round(percentiles[98], 3),
            "converge_max_s": round(max(delays_s), 3),
            "never_seen": never_seen,
            "lost_probe_calls": sum(
                observation.failed_probes for observation in self.observations
            ),
            **count_violations(self.observations),
        }
