from __future__ import annotations

import pytest

from monsoontray.discovery.messages import StoreChanged, StoreListed
from monsoontray.discovery.mirror_client import PeerUpdate
from monsoontray.discovery.watch import OUTAGE_WAIT_S, StoreWatch
from monsoontray.store.outcomes import Record
from tests.fakes import Services


@pytest.fixture
def services():
    services = Services()
    services.answers["membership"] = ()
    return services


def step(watch):
    return watch.read()


def test_each_service_receives_only_the_keys_it_subscribes_to(services):
    services.store.put("op/config", b"1")
    services.store.put("nodes/a", b"2")
    watch = StoreWatch(services)
    step(watch)
    (listed,) = services.take("operator")
    assert [record.key for record in listed.records] == ["op/config"]
    services.take("membership")
    services.store.put("rollouts/plans/x", b"3")
    services.store.remove("nodes/a")
    step(watch)
    (removed,) = services.take("membership")
    assert isinstance(removed, StoreChanged)
    assert [record.key for record in removed.removed] == ["nodes/a"]
    assert services.take("operator") == []


def test_store_is_listed_after_its_history_was_compacted(services):
    watch = StoreWatch(services)
    step(watch)
    services.take("operator")
    services.store.put("op/config", b"2")
    services.store.compacted = True
    step(watch)
    assert services.take("operator") == []
    step(watch)
    (listed,) = services.take("operator")
    assert isinstance(listed, StoreListed)
    assert listed.records[0].value == b"2"


def test_change_during_an_outage_is_posted_after_it(services):
    watch = StoreWatch(services)
    step(watch)
    services.take("operator")
    services.store.down = True
    due = step(watch)
    assert services.clock.now() < due < services.clock.now() + 1.0
    services.store.put("op/config", b"2")
    services.store.down = False
    step(watch)
    assert len(services.take("operator")) == 1


def test_watches_are_short_while_the_store_is_unreachable(services):
    waits = []
    watch_prefix = services.store.watch_prefix

    def record_wait(prefix, revision, wait_s):
        waits.append(wait_s)
        return watch_prefix(prefix, revision, wait_s)

    services.store.watch_prefix = record_wait
    watch = StoreWatch(services)
    step(watch)
    step(watch)
    services.store.down = True
    step(watch)
    step(watch)
    services.store.down = False
    step(watch)
    step(watch)
    usual = waits[0]
    assert waits == [usual, usual, OUTAGE_WAIT_S, OUTAGE_WAIT_S, usual]
    assert usual > OUTAGE_WAIT_S


def test_newer_update_of_a_peer_is_posted_while_the_store_is_unreachable(services):
    watch = StoreWatch(services)
    step(watch)
    services.take("operator")
    known = []

    class FakeMirrorClient:
        def remember(self, records):
            pass

        def poll_peers(self, revision):
            known.append(revision)
            return PeerUpdate(60, True, True, (Record("op/config", 50, b"new"),), ())

    watch._mirror_client = FakeMirrorClient()
    services.store.down = True
    step(watch)
    (listed,) = services.take("operator")
    assert listed.records[0].value == b"new"
    step(watch)
    assert services.take("operator") == []  # the update is not newer any more
    assert known[-1] == 60
