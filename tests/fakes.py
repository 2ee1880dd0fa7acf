"""A kernel that records posted messages, and a store in memory."""

from __future__ import annotations

from collections import defaultdict

from monsoontray.decisions.sources import StoreAccess
from monsoontray.discovery.messages import ChooseStoreAccess
from monsoontray.kernel.clock import ManualClock
from monsoontray.settings.settings import check_settings
from monsoontray.store.eras import build_position, get_revision
from monsoontray.store.outcomes import (
    ABSENT,
    Cause,
    Changes,
    Compacted,
    Conflict,
    Done,
    Lease,
    Listing,
    NotDone,
    Record,
    Unknown,
)

SETTINGS = {
    "interface": "platform",
    "node": "node-0",
    "region": "norte",
    "zone": "zone-a",
    "service": "one",
    "entry_address": "127.0.0.1:1",
    "guard_address": "127.0.0.1:2",
    "peer_address": "127.0.0.1:3",
    "operator_address": "127.0.0.1:4",
    "server_address": "127.0.0.1:5",
    "store_endpoints": ["http://127.0.0.1:6"],
    "watch_lease_ms": 3000,
}


class MemoryStore:
    """Store client with keys and leases in memory; tests make it fail by attributes."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.records: dict[str, Record] = {}
        self.leases: dict[str, float] = {}
        self.lease_ids: dict[str, str] = {}  # by key; empty for none
        self.revision = 1
        self.era = 0
        self.unreachable = False
        self.loses_write_responses = False
        self.delays_writes = False
        self.delayed = []  # expected revisions and puts of writes to be done later
        self.compacted = False
        self.writes = 0
        self.events: list[tuple[Record, bool]] = []  # record, whether it was written

    def put(self, key, value, lease_id=""):
        self.revision += 1
        self.records[key] = Record(key, self.revision, value)
        self.lease_ids[key] = lease_id
        self.events.append((self.records[key], True))

    def remove(self, key):
        if self.records.pop(key, None) is not None:
            self.revision += 1
            self.events.append((Record(key, self.revision, b""), False))

    def take_copy(self):
        return dict(self.records), dict(self.leases), dict(self.lease_ids)

    def come_back(self, copy):
        """Come back from a copy; no client acts on a lease of an earlier era."""
        records, leases, lease_ids = copy
        self.era += 1
        self.records = {
            key: Record(key, self._reposition(record.revision), record.value)
            for key, record in records.items()
        }
        self.leases = {f"old-{name}": until for name, until in leases.items()}
        self.lease_ids = {key: f"old-{name}" for key, name in lease_ids.items() if name}
        self.revision = max(
            (record.revision for record in self.records.values()),
            default=build_position(self.era, 1),
        )
        self.events = []

    def _reposition(self, position):
        return build_position(self.era, get_revision(position))

    def expire_lease(self, lease_id):
        self.leases.pop(lease_id, None)
        for key in [k for k, each in self.lease_ids.items() if each == lease_id]:
            self.remove(key)

    def get(self, key):
        if self.unreachable:
            return NotDone(Cause.UNREACHABLE)
        return self.records.get(key, Record(key, ABSENT, b""))

    def list_prefix(self, prefix):
        if self.unreachable:
            return NotDone(Cause.UNREACHABLE)
        found = [r for key, r in self.records.items() if key.startswith(prefix)]
        return Listing(tuple(found), self.revision)

    def watch_prefix(self, prefix, revision, wait_s):
        if self.unreachable:
            return NotDone(Cause.UNREACHABLE)
        if self.compacted:
            self.compacted = False
            return Compacted()
        new = [e for e in self.events if e[0].revision > revision]
        return Changes(
            tuple(record for record, is_written in new if is_written),
            tuple(record for record, is_written in new if not is_written),
            self.revision,
        )

    def compare_and_swap(self, key, revision, value, lease_id=""):
        from monsoontray.store.outcomes import Put

        return self.commit({key: revision}, (Put(key, value, lease_id),))

    def commit(self, expected, puts=(), removed=()):
        self.writes += 1
        if self.unreachable:
            return NotDone(Cause.UNREACHABLE)
        if self.delays_writes:
            self.delayed.append((dict(expected), tuple(puts)))
            return Unknown(Cause.TIMEOUT)
        return self.apply(expected, puts)

    def do_delayed_writes(self):
        """Do the delayed writes whose conditions still hold."""
        for expected, puts in self.delayed:
            self.apply(expected, puts)
        self.delayed = []

    def apply(self, expected, puts):
        for put in puts:
            if put.lease_id and put.lease_id not in self.leases:
                return NotDone(Cause.LEASE_EXPIRED)
        for key, revision in expected.items():
            current = self.records[key].revision if key in self.records else ABSENT
            if current != revision:
                existing = [
                    self.records[key] for key in expected if key in self.records
                ]
                return Conflict(current, tuple(existing))
        for put in puts:
            self.put(put.key, put.value, put.lease_id)
        if self.loses_write_responses:
            return Unknown(Cause.CONNECTION_LOST)
        return Done(self.revision)

    def grant_lease(self, lifetime_s):
        if self.unreachable:
            return NotDone(Cause.UNREACHABLE)
        name = str(len(self.leases) + 100 + self.revision)
        self.revision += 1
        self.leases[name] = self.clock.now() + lifetime_s
        return Lease(name, self.leases[name], self.era)

    def renew_lease(self, lease_id, lifetime_s):
        if self.unreachable:
            return Unknown(Cause.TIMEOUT)
        if lease_id not in self.leases:
            return NotDone(Cause.LEASE_EXPIRED)
        self.leases[lease_id] = self.clock.now() + lifetime_s
        return Lease(lease_id, self.leases[lease_id], self.era)

    def revoke_lease(self, lease_id):
        self.expire_lease(lease_id)
        return Done(self.revision)

    def close(self):
        pass


class FakeKernel:
    """Kernel that acts as every service and records the messages posted to each."""

    def __init__(self, **settings) -> None:
        self.clock = ManualClock(100.0)
        self.store = MemoryStore(self.clock)
        self.settings = check_settings({**SETTINGS, **settings})
        self.posted = defaultdict(list)
        #: Replies to requests, by service or by service and type of the request.
        self.replies = {("membership", ChooseStoreAccess): StoreAccess()}

    def find(self, name):
        return self

    def is_registered(self, name):
        return True

    def open_client(self, reason, max_timeout_s=0.0):
        return self.store

    def count_refused_version(self):
        self.posted["metrics"].append("refused")

    def count_refused_entry(self, kind):
        self.posted["metrics"].append(kind)

    def count_proof(self):
        self.posted["metrics"].append("proof")

    def count_usage_report(self, outcome):
        self.posted["metrics"].append(outcome)

    def count_late_usage(self, calls):
        self.posted["metrics"].append(calls)

    def set_version(self, number):
        self.posted["metrics"].append(number)

    def post(self, name, message):
        self.posted[name].append(message)

    def ask(self, name, build, deadline):
        request_type = type(build(None))
        return self.replies.get((name, request_type)) or self.replies[name]

    def pop_posted(self, name):
        """Return and remove the messages posted to a service."""
        return self.posted.pop(name, [])


def record_waits(store):
    """Return a list to which the wait of each later watch of a store is added."""
    waits = []
    watch_prefix = store.watch_prefix

    def watch_and_record(prefix, revision, wait_s):
        waits.append(wait_s)
        return watch_prefix(prefix, revision, wait_s)

    store.watch_prefix = watch_and_record
    return waits
