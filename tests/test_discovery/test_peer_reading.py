"""In a large fleet, most nodes read the store through one reader per zone."""

from __future__ import annotations

import pytest

from monsoontray.decisions.sources import StoreAccess
from monsoontray.decisions.store_retry import MAX_LISTENING_S
from monsoontray.discovery.messages import ChooseStoreAccess, StoreAccessChanged
from monsoontray.discovery.mirror_client import PeerUpdate
from monsoontray.discovery.watch import (
    EXCLUSION_S,
    MAX_REPLAY_S,
    OUTAGE_WAIT_S,
    POLL_PAUSE_S,
    READER_WAIT_S,
    StoreWatch,
)
from monsoontray.store.outcomes import Record
from tests.fakes import FakeKernel, record_waits
from tests.test_decisions.test_directory import build_node

SOURCES = tuple(build_node(f"reader-{i}") for i in range(3))
ACCESS_REQUEST = ("membership", ChooseStoreAccess)


class FakeMirrorClient:
    """Answers requests with the update set for the polled node."""

    def __init__(self):
        self.updates = {}
        self.polled = []

    def add_delta_bases(self, records):
        pass

    def poll_peers(self, known):
        return []

    def poll_reader(self, source, known, wait_s):
        self.polled.append(source.node)
        return self.updates.get(source.node)


@pytest.fixture
def kernel():
    kernel = FakeKernel()
    kernel.store.put("op/config", b"1")
    return kernel


@pytest.fixture
def watch(kernel):
    watch = StoreWatch(kernel)
    watch._mirror_client = FakeMirrorClient()
    watch.read()
    kernel.replies[ACCESS_REQUEST] = StoreAccess(SOURCES)
    for name in ("operator", "mirror"):
        kernel.pop_posted(name)
    return watch


def build_update(revision, *records, reads_store=True, is_complete=False, removed=()):
    return PeerUpdate(revision, reads_store, is_complete, records, removed)


def test_update_of_a_reader_is_posted_like_changes_of_the_store(watch, kernel):
    new, removed = Record("op/config", 9, b"2"), Record("nodes/x", 8, b"")
    watch._mirror_client.updates["reader-0"] = build_update(9, new, removed=(removed,))
    watch.read()
    assert kernel.pop_posted("operator")[0].records == (new,)
    assert kernel.pop_posted("membership")[-1].removed == (removed,)
    assert watch._mirror_client.polled == ["reader-0"]


def test_node_that_polls_a_reader_does_not_call_the_store(watch, kernel):
    watch._mirror_client.updates["reader-0"] = build_update(2)
    kernel.store.unreachable = True  # a call would fail
    for _ in range(5):
        due = watch.read()
        assert due == kernel.clock.now() + POLL_PAUSE_S
    assert kernel.pop_posted("mirror") == [StoreAccessChanged(False)]


def test_next_reader_is_polled_when_one_gives_no_update(watch, kernel):
    new = Record("op/config", 9, b"2")
    watch._mirror_client.updates["reader-1"] = build_update(30, new, reads_store=False)
    assert watch.read() == kernel.clock.now()
    watch._reads_directly_until = 0.0
    watch.read()
    assert watch._mirror_client.polled == ["reader-0", "reader-1"]
    assert kernel.pop_posted("operator") == []


def test_node_reads_the_store_for_a_time_after_readers_gave_no_update(watch, kernel):
    kernel.store.put("op/config", b"2")
    for _ in range(3):
        assert watch.read() == kernel.clock.now()
    watch.read()
    assert kernel.pop_posted("operator")[0].records[0].value == b"2"
    assert kernel.pop_posted("mirror")[:2] == [
        StoreAccessChanged(False),
        StoreAccessChanged(True),
    ]
    kernel.clock.advance(EXCLUSION_S)
    watch._mirror_client.updates["reader-0"] = build_update(
        40, Record("op/config", 40, b"3"), is_complete=True
    )
    watch.read()
    assert kernel.pop_posted("operator")[-1].records[0].value == b"3"


def test_watch_of_a_reader_is_shorter_than_of_other_nodes(watch, kernel):
    waits = record_waits(kernel.store)
    kernel.replies[ACCESS_REQUEST] = StoreAccess(for_others=True)
    watch.read()
    kernel.replies[ACCESS_REQUEST] = StoreAccess()
    watch.read()
    assert waits[0] == READER_WAIT_S < waits[1]


def test_reader_reports_outage_and_recovery_of_the_store(watch, kernel):
    kernel.replies[ACCESS_REQUEST] = StoreAccess(for_others=True)
    kernel.store.unreachable = True
    watch.read()
    assert kernel.pop_posted("mirror") == [StoreAccessChanged(False)]
    kernel.store.unreachable = False
    watch.read()
    assert StoreAccessChanged(True) in kernel.pop_posted("mirror")


def fail_all_readers(watch):
    for _ in range(3):
        watch.read()


def test_node_that_missed_many_versions_reads_only_the_current_records(watch, kernel):
    """Reading each missed version over a slow link took longer than the link was cut.

    The versions that were written meanwhile came into force too late.
    """
    read_values = []

    def record_values(name):
        read = getattr(kernel.store, name)

        def read_and_record(*arguments):
            outcome = read(*arguments)
            read_values.extend(record.value for record in outcome.records)
            return outcome

        setattr(kernel.store, name, read_and_record)

    record_values("list_prefix")
    record_values("watch_prefix")
    fail_all_readers(watch)
    kernel.clock.advance(MAX_REPLAY_S)
    for number in range(2, 10):
        kernel.store.put("op/config", b"%d" % number)
    watch.read()
    assert read_values == [b"9"]
    assert kernel.pop_posted("operator")[0].records[0].value == b"9"


def test_read_after_failed_readers_is_short(watch, kernel):
    """A usual wait that began before the end of a cut delayed the recovery by 2 s."""
    waits = record_waits(kernel.store)
    fail_all_readers(watch)
    watch.read()
    watch.read()
    assert waits[0] == OUTAGE_WAIT_S < waits[1]


def test_node_polls_its_reader_again_as_soon_as_the_reader_answers(watch, kernel):
    fail_all_readers(watch)
    kernel.store.unreachable = True
    new = Record("op/config", 9, b"2")
    watch._mirror_client.updates["reader-0"] = build_update(9, new)
    watch.read()
    assert kernel.pop_posted("operator")[0].records == (new,)
    watch._mirror_client.polled.clear()
    watch.read()
    assert watch._mirror_client.polled == ["reader-0"]


# Each node of a large fleet called a store that was down every 0.6 s.
def test_node_leaves_the_calls_to_a_lost_store_to_its_reader(watch, kernel):
    for source in SOURCES:
        watch._mirror_client.updates[source.node] = build_update(2, reads_store=False)
    kernel.store.unreachable = True
    waits = record_waits(kernel.store)
    kernel.clock.advance(MAX_REPLAY_S)
    listings = []
    list_prefix = kernel.store.list_prefix
    kernel.store.list_prefix = lambda key: listings.append(key) or list_prefix(key)
    back_at = kernel.clock.now() + 8.0
    while kernel.clock.now() < back_at:
        kernel.clock.seconds = max(watch.read(), kernel.clock.now() + 0.001)
    assert 2 <= len(waits) + len(listings) <= 7
    new = Record("op/config", 9, b"2")
    watch._mirror_client.updates["reader-0"] = build_update(9, new)
    watch.read()
    watch.read()
    assert kernel.pop_posted("operator")[0].records == (new,)
    assert kernel.clock.now() <= back_at + MAX_LISTENING_S
