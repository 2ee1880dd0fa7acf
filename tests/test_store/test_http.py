from __future__ import annotations

import threading

import pytest

from bench.fleet import Fleet
from monsoontray.kernel.clock import SystemClock
from monsoontray.platform.store import PlatformStoreClient
from monsoontray.store.outcomes import (
    ABSENT,
    Cause,
    Conflict,
    Done,
    Lease,
    NotDone,
    Record,
    Unchanged,
    Unknown,
)

TIMEOUT_S = 2.0


@pytest.fixture(scope="module")
def store():
    with Fleet() as fleet:
        fleet.start_store()
        yield fleet


@pytest.fixture
def client(store):
    store.post_json(store.store_address, "/control", {})
    client = PlatformStoreClient(
        [f"http://{store.store_address}"], TIMEOUT_S, SystemClock()
    )
    yield client
    client.close()


def set_faults(store, **faults):
    store.post_json(store.store_address, "/control", faults)


def test_compare_and_swap_writes_only_at_the_expected_revision(client):
    assert client.get("a/b") == Record("a/b", ABSENT, b"")
    written = client.compare_and_swap("a/b", ABSENT, b"one")
    assert isinstance(written, Done)
    assert client.get("a/b") == Record("a/b", written.revision, b"one")
    current = Record("a/b", written.revision, b"one")
    assert client.compare_and_swap("a/b", ABSENT, b"two") == Conflict(
        written.revision, (current,)
    )
    assert isinstance(client.compare_and_swap("a/b", written.revision, b"two"), Done)


def test_values_are_limited_to_one_mebibyte(client):
    value = bytes(range(256)) * 4096
    assert isinstance(client.compare_and_swap("large", ABSENT, value), Done)
    assert client.get("large").value == value
    too_large = client.compare_and_swap("larger", ABSENT, value + b"x" * 10)
    assert too_large == NotDone(Cause.REFUSED)


def test_a_key_is_deleted_when_its_lease_expires(client, store):
    lease = client.grant_lease(60.0)
    assert isinstance(lease, Lease)
    assert isinstance(
        client.compare_and_swap("leased", ABSENT, b"me", lease.lease_id), Done
    )
    assert isinstance(client.renew_lease(lease.lease_id, 60.0), Lease)
    set_faults(store, lapse=True)
    assert client.get("leased").revision == ABSENT
    assert client.renew_lease(lease.lease_id, 60.0) == NotDone(Cause.LEASE_EXPIRED)
    late = client.compare_and_swap("leased", ABSENT, b"me", lease.lease_id)
    assert late == NotDone(Cause.LEASE_EXPIRED)


def test_revoking_a_lease_deletes_its_key(client):
    lease = client.grant_lease(60.0)
    client.compare_and_swap("revoked", ABSENT, b"me", lease.lease_id)
    assert isinstance(client.revoke_lease(lease.lease_id), Done)
    assert client.get("revoked").revision == ABSENT


def test_a_watch_returns_at_a_change_or_a_timeout(client, store):
    first = client.compare_and_swap("watched", ABSENT, b"1")
    other = PlatformStoreClient([f"http://{store.store_address}"], 2.0, SystemClock())
    writer = threading.Timer(
        0.05, other.compare_and_swap, ("watched", first.revision, b"2")
    )
    writer.start()
    seen = client.watch("watched", first.revision, 10.0)
    writer.join()
    assert seen.value == b"2"
    assert client.watch("watched", seen.revision, 0.05) == Unchanged()


def test_each_read_and_each_waiting_watch_is_one_call(client, store):
    before = store.get_json(store.store_address, "/observed")["counts"]
    client.get("counted")
    client.watch("counted", ABSENT, 0.05)
    after = store.get_json(store.store_address, "/observed")["counts"]
    assert after["read"] - before.get("read", 0) == 1
    assert after["watch"] - before.get("watch", 0) == 1


def test_a_write_without_a_response_may_have_taken_effect(client, store):
    set_faults(store, lose_answers=True)
    outcome = client.compare_and_swap("lost", ABSENT, b"written")
    assert outcome == Unknown(Cause.CONNECTION_LOST)
    assert client.get("lost").value == b"written"


def test_a_delayed_write_still_checks_its_expected_revision(client, store):
    set_faults(store, late_ms=300)
    assert isinstance(client.compare_and_swap("late", ABSENT, b"late"), Unknown)
    assert isinstance(client.compare_and_swap("beaten", ABSENT, b"late"), Unknown)
    assert client.get("late").revision == ABSENT
    set_faults(store)
    first = client.compare_and_swap("beaten", ABSENT, b"first")
    assert isinstance(first, Done)
    store.wait_for(lambda: client.get("late").value == b"late", "the delayed write")
    assert client.get("beaten") == Record("beaten", first.revision, b"first")


def test_reads_are_not_stale_unless_requested(client, store):
    written = client.compare_and_swap("stale", ABSENT, b"old")
    set_faults(store, stale=True)
    client.compare_and_swap("stale", written.revision, b"new")
    assert client.get("stale").value == b"new"
    (record,) = client.list_prefix("stale").records
    assert record.value == b"new"
    url = f"http://{store.store_address}/kv-key?key=stale&allow_stale=1"
    assert store.http.request("GET", url).json()["revision"] == written.revision


def test_during_an_outage_reads_fail_and_writes_are_unknown(client, store):
    set_faults(store, out=True)
    assert client.get("any") == NotDone(Cause.CONNECTION_LOST)
    assert isinstance(client.compare_and_swap("any", ABSENT, b"x"), Unknown)
    assert isinstance(client.watch("any", ABSENT, 0.1), NotDone)
    set_faults(store)
    assert client.get("any").revision == ABSENT


def test_a_write_refused_as_overload_has_no_effect(client, store):
    set_faults(store, writes_per_s=0.5)
    outcome = client.compare_and_swap("busy", ABSENT, b"x")
    assert outcome == NotDone(Cause.OVERLOADED)
    assert client.get("busy").revision == ABSENT


def test_calls_to_a_slow_store_time_out(store):
    set_faults(store, latency_ms=400)
    client = PlatformStoreClient([f"http://{store.store_address}"], 0.1, SystemClock())
    assert client.get("slow") == NotDone(Cause.TIMEOUT)
    slow_write = client.compare_and_swap("slow", ABSENT, b"x")
    assert slow_write == Unknown(Cause.TIMEOUT)
    client.close()


def test_after_an_unreachable_endpoint_the_next_one_is_used(store):
    set_faults(store)
    unreachable = f"http://127.0.0.1:{store.reserve_port()}"
    endpoints = [unreachable, f"http://{store.store_address}"]
    client = PlatformStoreClient(endpoints, 0.5, SystemClock())
    outcome = client.compare_and_swap("next", ABSENT, b"x")
    assert outcome == NotDone(Cause.UNREACHABLE)
    assert isinstance(client.compare_and_swap("next", ABSENT, b"x"), Done)
    client.close()


def test_every_call_is_counted_also_if_it_fails(store):
    counted = []
    endpoints = ["http://127.0.0.1:1", f"http://{store.store_address}"]
    client = PlatformStoreClient(endpoints, 0.5, SystemClock(), counted.append)
    client.get("a")
    client.list_prefix("a")
    lease = client.grant_lease(5.0)
    client.renew_lease(lease.lease_id, 5.0)
    client.commit({}, (), ("a",))
    client.revoke_lease(lease.lease_id)
    client.close()
    assert counted == ["read", "listing", "grant", "renewal", "write", "end"]
