from __future__ import annotations

import pytest

from monsoontray.discovery.messages import StoreChanged, StoreListed
from monsoontray.discovery.mirror_client import PeerUpdate
from monsoontray.discovery.watch import (
    BATCH_PAUSE_S,
    OUTAGE_WAIT_S,
    START_BATCH_PAUSE_S,
    START_S,
    StoreWatch,
)
from monsoontray.store.outcomes import Record
from tests.fakes import FakeKernel, record_waits


@pytest.fixture
def kernel():
    kernel = FakeKernel()
    kernel.replies["membership"] = ()
    return kernel


def step(watch):
    return watch.read()


def test_each_service_receives_only_the_keys_it_subscribes_to(kernel):
    kernel.store.put("op/config", b"1")
    kernel.store.put("nodes/a", b"2")
    watch = StoreWatch(kernel)
    step(watch)
    (listed,) = kernel.pop_posted("operator")
    assert [record.key for record in listed.records] == ["op/config"]
    kernel.pop_posted("membership")
    kernel.store.put("rollouts/plans/x", b"3")
    kernel.store.remove("nodes/a")
    step(watch)
    (removed,) = kernel.pop_posted("membership")
    assert isinstance(removed, StoreChanged)
    assert [record.key for record in removed.removed] == ["nodes/a"]
    assert kernel.pop_posted("operator") == []


def test_store_is_listed_after_its_history_was_compacted(kernel):
    watch = StoreWatch(kernel)
    step(watch)
    kernel.pop_posted("operator")
    kernel.store.put("op/config", b"2")
    kernel.store.compacted = True
    step(watch)
    assert kernel.pop_posted("operator") == []
    step(watch)
    (listed,) = kernel.pop_posted("operator")
    assert isinstance(listed, StoreListed)
    assert listed.records[0].value == b"2"


def test_change_during_an_outage_is_posted_after_it(kernel):
    watch = StoreWatch(kernel)
    step(watch)
    kernel.pop_posted("operator")
    kernel.store.unreachable = True
    due = step(watch)
    assert kernel.clock.now() < due < kernel.clock.now() + 1.0
    kernel.store.put("op/config", b"2")
    kernel.store.unreachable = False
    step(watch)
    assert len(kernel.pop_posted("operator")) == 1


def test_watches_are_short_while_the_store_is_unreachable(kernel):
    waits = record_waits(kernel.store)
    watch = StoreWatch(kernel)
    step(watch)
    step(watch)
    kernel.store.unreachable = True
    step(watch)
    step(watch)
    kernel.store.unreachable = False
    step(watch)
    step(watch)
    usual = waits[0]
    assert waits == [usual, usual, OUTAGE_WAIT_S, OUTAGE_WAIT_S, usual]
    assert usual > OUTAGE_WAIT_S


def test_newer_update_of_a_peer_is_posted_while_the_store_is_unreachable(kernel):
    watch = StoreWatch(kernel)
    step(watch)
    kernel.pop_posted("operator")
    known = []

    class FakeMirrorClient:
        def add_delta_bases(self, records):
            pass

        def poll_peers(self, revision):
            known.append(revision)
            return [PeerUpdate(60, True, True, (Record("op/config", 50, b"new"),), ())]

    watch._mirror_client = FakeMirrorClient()
    kernel.store.unreachable = True
    step(watch)
    (listed,) = kernel.pop_posted("operator")
    assert listed.records[0].value == b"new"
    step(watch)
    assert kernel.pop_posted("operator") == []  # the update is not newer any more
    assert known[-1] == 60


def test_node_that_starts_reads_the_servers_of_others_that_start_without_delay(kernel):
    """After all power was off, nodes refused calls until the next batch of changes."""
    watch = StoreWatch(kernel)
    step(watch)
    kernel.store.put("nodes/a", b"1")
    assert step(watch) == kernel.clock.now() + START_BATCH_PAUSE_S
    kernel.clock.advance(START_S)
    kernel.store.put("nodes/b", b"1")
    assert step(watch) == kernel.clock.now() + BATCH_PAUSE_S
