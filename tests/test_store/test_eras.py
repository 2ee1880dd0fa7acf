"""A store that is away for a moment and comes back from a copy some seconds old."""

from __future__ import annotations

import pytest

from bench.fleet import Fleet
from monsoontray.kernel.clock import SystemClock
from monsoontray.platform.store import PlatformStoreClient
from monsoontray.store.eras import StoreEra, build_position, get_era, get_revision
from monsoontray.store.outcomes import (
    ABSENT,
    Cause,
    Changes,
    Compacted,
    Conflict,
    Done,
    Lease,
    NotDone,
    Put,
    Unknown,
)
from monsoontray.store.positions import PositionedStoreClient


@pytest.fixture
def store():
    with Fleet() as fleet:
        fleet.start_store()
        yield fleet


def open_client(store):
    endpoints = [f"http://{store.store_address}"]
    return PositionedStoreClient(PlatformStoreClient(endpoints, 2.0, SystemClock()))


@pytest.fixture
def client(store):
    client = open_client(store)
    yield client
    client.close()


def control(store, **actions):
    store.post_json(store.store_address, "/control", actions)


def test_positions_rise_with_eras_and_are_revisions_without():
    assert build_position(0, 7) == 7
    assert build_position(3, ABSENT) == ABSENT
    assert build_position(2, 1) > build_position(1, 1_000_000)
    assert get_era(build_position(2, 9)) == 2
    assert get_revision(build_position(2, 9)) == 9


def test_what_is_read_after_the_copy_counts_as_newer(client, store):
    control(store, copy=True)
    for value in b"a", b"b", b"c":
        client.commit({}, (Put("key", value),))
    before = client.get("key")
    control(store, restore=True)
    assert client.get("key").revision == ABSENT
    after = client.commit({}, (Put("key", b"d"),))
    assert get_revision(after.revision) < get_revision(before.revision)
    assert after.revision > before.revision


def test_watch_that_began_before_the_copy_is_told_to_list(client, store):
    control(store, copy=True)
    client.commit({}, (Put("key", b"a"),))
    revision = client.list_prefix("").revision
    control(store, restore=True)
    assert client.watch_prefix("", revision, 0.1) == Compacted()
    client.commit({}, (Put("key", b"b"), Put("other", b"b")))
    # The revision exists again, and the history behind it is another one.
    assert client.watch_prefix("", revision, 0.1) == Compacted()
    listing = client.list_prefix("")
    assert client.watch_prefix("", listing.revision, 0.1) == Changes(
        (), (), listing.revision
    )


def test_record_of_an_ended_era_is_no_condition(client, store):
    control(store, copy=True)
    written = client.compare_and_swap("key", ABSENT, b"mine")
    control(store, restore=True)
    other = open_client(store)
    rewritten = other.compare_and_swap("key", ABSENT, b"theirs")
    assert get_revision(rewritten.revision) == get_revision(written.revision)
    # This client doesn't know of the era yet; the store's answer tells it.
    assert client.compare_and_swap("key", written.revision, b"x") == Unknown(
        Cause.ERA_ENDED
    )
    assert client.compare_and_swap("key", written.revision, b"x") == Conflict(ABSENT)
    current = client.get("key")
    assert isinstance(client.compare_and_swap("key", current.revision, b"y"), Done)
    other.close()


def test_lease_of_an_ended_era_is_gone_though_its_number_is_given_out(client, store):
    control(store, copy=True)
    lease = client.grant_lease(60.0)
    control(store, restore=True)
    other = open_client(store)
    theirs = other.grant_lease(60.0)
    assert isinstance(theirs, Lease)
    assert theirs.lease_id.rpartition("/")[2] == lease.lease_id.rpartition("/")[2]
    assert client.renew_lease(lease.lease_id, 60.0) == NotDone(Cause.LEASE_EXPIRED)
    put = Put("key", b"mine", lease.lease_id)
    assert client.commit({}, (put,)) == NotDone(Cause.LEASE_EXPIRED)
    assert client.revoke_lease(lease.lease_id) == NotDone(Cause.LEASE_EXPIRED)
    assert isinstance(other.renew_lease(theirs.lease_id, 60.0), Lease)
    assert isinstance(client.grant_lease(60.0), Lease)
    other.close()


@pytest.mark.parametrize("given", [b"", b"-1", b"one", b"9" * 30])
def test_answer_that_names_no_era_changes_nothing(given):
    era = StoreEra()
    for value, is_current in ((b"2", True), (given, True), (b"1", False)):
        assert era.read(value) is is_current
        assert era.number == 2
