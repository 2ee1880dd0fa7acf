"""Task that watches the head in the platform's store on behalf of its zone."""

from __future__ import annotations

from functools import singledispatch
from random import Random
from typing import TYPE_CHECKING, Any

import msgspec

from monsoontray.configuration.messages import BaselineFound, ContentFetched
from monsoontray.configuration.records import (
    DIRECTORY_KEY,
    HEAD_KEY,
    Directory,
    build_version_key,
    build_watch_key,
    decode_directory,
    decode_head,
)
from monsoontray.decisions.backoff import compute_retry_time
from monsoontray.decisions.fleet import NodeState
from monsoontray.decisions.servers import Location
from monsoontray.decisions.watching import (
    choose_seeds,
    choose_unknown_addresses,
    may_request_lease,
)
from monsoontray.decoding.errors import DecodingError
from monsoontray.kernel.errors import ReplyTimeoutError
from monsoontray.kernel.kernel import CrashPolicy, Kernel, Registration
from monsoontray.kernel.task import Task
from monsoontray.logs import logger
from monsoontray.membership.messages import (
    DescribeFleet,
    FleetState,
    SeedsFound,
    WatchingChanged,
)
from monsoontray.plans.model import NO_VERSION, VersionName
from monsoontray.store.outcomes import (
    ABSENT,
    Conflict,
    Done,
    Lease,
    NotDone,
    Record,
)

if TYPE_CHECKING:
    from monsoontray.settings.settings import Settings
    from monsoontray.store.client import StoreClient

NAME = "watcher"
INITIAL_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 10.0
DIRECTORY_INTERVAL_S = 2.0  # time between checks of the zone's directory entries
ASK_TIMEOUT_S = 1.0
CONTACT_TIMEOUT_S = 1.0  # time that contacted nodes have to answer
RENEWALS_PER_LEASE = 3


class Watcher(Task):
    """Task that reads the baseline, holds the zone's lease and watches the head."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(NAME, kernel, handle_message)
        settings: Settings = kernel.find("settings").settings
        self._node = settings.get_string("node")
        region, zone = settings.get_string("region"), settings.get_string("zone")
        self._location = Location(self._node, region, zone)
        self._zone_name = f"{region}/{zone}"
        self._watch_key = build_watch_key(region, zone)
        self._lease_s = settings.get_seconds("watch_lease_ms")
        self._max_wait_s = settings.get_seconds("watch_wait_ms")
        self._random = Random(f"{self._node} {kernel.clock.wall_time()}")
        self._client: StoreClient = kernel.find("store").open_client("head")
        self._lease: Lease | None = None
        self._watching = False
        self._head_revision = -1
        self._fetched_version = NO_VERSION
        self._baseline_known = False
        self._peers_known = False
        self._failures = 0
        start_spread_s = settings.get_seconds("start_spread_ms")
        started = kernel.clock.now()
        self._next_step_at = started + start_spread_s * self._random.random()
        self._next_directory_check_at = 0.0
        # Until this time, wait for contacted peers to answer: one of them may already
        # watch the store for the zone.
        self._contact_deadline = 0.0

    def find_next_deadline(self) -> float | None:
        """Return when the next step is due."""
        return self._next_step_at

    def on_deadline(self) -> None:
        """Run one step; after a failure, schedule a retry."""
        if self._run_step():
            self._failures = 0
        else:
            self._failures += 1
            self._next_step_at = self._compute_retry_time()

    def close(self) -> None:
        """Revoke the lease, so that another node need not wait until it expires."""
        if self._lease is not None:
            self._client.revoke_lease(self._lease.lease_id)
        self._client.close()

    def _run_step(self) -> bool:
        """Run the next step; return False if it failed and must be retried."""
        now = self.clock.now()
        if not self._baseline_known and not self._read_baseline():
            return False
        fleet = self._read_fleet()
        if not self._peers_known:
            if now < self._contact_deadline and len(fleet.records) < 2:
                self._next_step_at = now + CONTACT_TIMEOUT_S / 4
                return True
            if not self._find_peers(fleet):
                return False
            if now < self._contact_deadline:
                self._next_step_at = now + CONTACT_TIMEOUT_S / 4
                return True
        if self._lease is None or self._lease.deadline <= now:
            if not may_request_lease(self._location, fleet.records):
                self._next_step_at = now + self._lease_s * (1 + self._random.random())
                return True
            if not self._acquire_lease():
                return False
        if self._lease is None:
            return True
        if now >= self._next_directory_check_at:
            self._next_directory_check_at = now + DIRECTORY_INTERVAL_S
            if not self._update_directory(fleet):
                return False
        return self._watch_head()

    def _read_baseline(self) -> bool:
        record = self._client.get(HEAD_KEY)
        if isinstance(record, NotDone):
            return False
        head = self._read_head(record)
        if head is None:
            return False
        self._baseline_known = True
        self.kernel.post("configuration", BaselineFound(head))
        return True

    def _find_peers(self, fleet: FleetState) -> bool:
        if len(fleet.records) > 1:
            self._peers_known = True
            return True
        record = self._client.get(DIRECTORY_KEY)
        if isinstance(record, NotDone):
            return False
        directory = self._read_directory(record)
        seeds = choose_seeds(self._location, directory.zones, self._random)
        if seeds:
            self.kernel.post("membership", SeedsFound(seeds))
            self._contact_deadline = self.clock.now() + CONTACT_TIMEOUT_S
        return True

    def _acquire_lease(self) -> bool:
        lease = self._client.grant_lease(self._lease_s)
        if not isinstance(lease, Lease):
            return False
        holder = self._node.encode()
        outcome = self._client.compare_and_swap(
            self._watch_key, ABSENT, holder, lease.lease_id
        )
        if isinstance(outcome, Done):
            self._lease = lease
            self._set_watching(True)
            self._head_revision = -1
            return True
        self._client.revoke_lease(lease.lease_id)
        if isinstance(outcome, Conflict):
            self._set_watching(False)
            now = self.clock.now()
            self._next_step_at = now + self._lease_s * (0.5 + self._random.random())
            return True
        return False

    def _watch_head(self) -> bool:
        """Renew the lease and wait for the head to change."""
        assert self._lease is not None
        renewed = self._client.renew_lease(self._lease.lease_id, self._lease_s)
        if not isinstance(renewed, Lease):
            self._lease = None
            return False
        self._lease = renewed
        wait_s = min(self._max_wait_s, self._lease_s / RENEWALS_PER_LEASE)
        outcome = self._client.watch(HEAD_KEY, self._head_revision, wait_s)
        self._next_step_at = self.clock.now()
        if isinstance(outcome, NotDone):
            return False
        if isinstance(outcome, Record):
            return self._fetch_head_content(outcome)
        return True

    def _fetch_head_content(self, record: Record) -> bool:
        head = self._read_head(record)
        if head is None:
            return False
        if head != self._fetched_version and head != NO_VERSION:
            content = self._client.get(build_version_key(head))
            if isinstance(content, NotDone):
                return False
            message = ContentFetched(head, content.value)
            self.kernel.post("configuration", message)
            self._fetched_version = head
        self._head_revision = record.revision
        return True

    def _update_directory(self, fleet: FleetState) -> bool:
        record = self._client.get(DIRECTORY_KEY)
        if isinstance(record, NotDone):
            return False
        directory = self._read_directory(record)
        self._contact_unknown_nodes(fleet, directory)
        addresses = {
            each.node: each.peer_address
            for each in fleet.records
            if f"{each.region}/{each.zone}" == self._zone_name
            and each.state is not NodeState.DEAD
        }
        if directory.zones.get(self._zone_name) == addresses:
            return True
        changed = Directory({**directory.zones, self._zone_name: addresses})
        value = msgspec.json.encode(changed)
        # A conflict or a lost answer needs no handling: the next check repairs it.
        self._client.compare_and_swap(DIRECTORY_KEY, record.revision, value)
        return True

    def _contact_unknown_nodes(self, fleet: FleetState, directory: Directory) -> None:
        """Contact nodes of the directory that the membership does not know.

        This joins parts of the fleet that do not know each other.
        """
        known = (record.node for record in fleet.records)
        unknown = choose_unknown_addresses(known, directory.zones, self._random)
        if unknown:
            self.kernel.post("membership", SeedsFound(unknown))

    def _read_head(self, record: Record) -> VersionName | None:
        try:
            return decode_head(record)
        except DecodingError as error:
            logger.error("the head record is corrupt: {}", error)
            return None

    def _read_directory(self, record: Record) -> Directory:
        try:
            return decode_directory(record)
        except DecodingError as error:
            logger.error("the directory is corrupt and will be rewritten: {}", error)
            return Directory({})

    def _read_fleet(self) -> FleetState:
        deadline = self.clock.now() + ASK_TIMEOUT_S
        try:
            answer: FleetState = self.kernel.ask("membership", DescribeFleet, deadline)
        except ReplyTimeoutError:
            return FleetState(self._node, (), {})
        return answer

    def _set_watching(self, watching: bool) -> None:
        if watching != self._watching:
            self._watching = watching
            self.kernel.post("membership", WatchingChanged(watching))
            change = "started" if watching else "stopped"
            logger.info("{} watching the store for the zone", change)

    def _compute_retry_time(self) -> float:
        now = self.clock.now()
        return compute_retry_time(
            now, self._failures, INITIAL_RETRY_DELAY_S, MAX_RETRY_DELAY_S, self._random
        )


@singledispatch
def handle_message(message: Any, watcher: Watcher) -> None:
    """Handle a message."""
    raise TypeError(f"unsupported message: {message!r}")


def setup(kernel: Kernel) -> None:
    """Register the service."""
    requires = ("settings", "store", "membership", "configuration")
    kernel.register(Registration(NAME, requires, Watcher, CrashPolicy.RESTART))
