from __future__ import annotations

import pytest

from monsoontray.discovery.messages import (
    DeparturesFound,
    DeparturesWritten,
    OwnRecordRead,
    PublishDepartures,
    PublishNode,
)
from monsoontray.discovery.publisher import MAX_RETRY_DELAY_S, Publisher, handle_message
from monsoontray.store.outcomes import Cause, Record, Unknown
from tests.fakes import FakeKernel

KEY = "nodes/node-0"


@pytest.fixture
def kernel():
    return FakeKernel()


def run(publisher, kernel, seconds):
    """Run a publisher for some seconds of the manual clock."""
    end = kernel.clock.now() + seconds
    while (due := publisher.find_next_deadline()) is not None and due <= end:
        kernel.clock.seconds = max(due, kernel.clock.now())
        publisher.on_deadline()
    kernel.clock.seconds = end


def publish(kernel, value=b"me"):
    publisher = Publisher(kernel)
    handle_message(PublishNode(value), publisher)
    run(publisher, kernel, 0.1)
    return publisher


def test_record_is_written_with_a_lease_that_is_renewed(kernel):
    publisher = publish(kernel)
    assert kernel.store.records[KEY].value == b"me"
    lease = kernel.store.lease_ids[KEY]
    run(publisher, kernel, 20.0)
    assert kernel.store.leases[lease] > kernel.clock.now()
    assert kernel.store.writes == 1


def test_record_whose_lease_expired_is_written_again(kernel):
    publisher = publish(kernel)
    kernel.store.expire_lease(kernel.store.lease_ids[KEY])
    assert KEY not in kernel.store.records
    run(publisher, kernel, 1.5)
    assert kernel.store.records[KEY].value == b"me"
    assert kernel.store.writes == 2  # neither is refused for its position


def test_record_is_written_within_two_seconds_after_an_outage(kernel):
    publisher = publish(kernel)
    kernel.store.unreachable = True
    run(publisher, kernel, 30.0)
    kernel.store.expire_lease(kernel.store.lease_ids[KEY])
    kernel.store.unreachable = False
    run(publisher, kernel, 2.0)
    assert kernel.store.records[KEY].value == b"me"


def test_write_is_repeated_after_a_lost_response(kernel):
    kernel.store.loses_write_responses = True
    publisher = publish(kernel)
    kernel.store.loses_write_responses = False
    run(publisher, kernel, 1.0)
    assert kernel.store.records[KEY].value == b"me"
    writes = kernel.store.writes
    run(publisher, kernel, 5.0)
    assert kernel.store.writes == writes


# The first record of a process, done late, hid the server that the second one named.
@pytest.mark.parametrize("has_earlier", [False, True])
def test_record_that_is_written_late_replaces_no_later_one(kernel, has_earlier):
    if has_earlier:
        kernel.store.put(KEY, b"of an earlier process")
    kernel.store.delays_writes = True
    publisher = publish(kernel, b"without a server")
    kernel.store.delays_writes = False
    handle_message(PublishNode(b"with a server"), publisher)
    run(publisher, kernel, 1.0)
    kernel.store.do_delayed_writes()
    assert kernel.store.records[KEY].value == b"with a server"


# An earlier record, found in the store in place of the latest one, was left there.
def test_record_that_was_replaced_by_an_earlier_one_is_written_once(kernel):
    publisher = publish(kernel)
    latest = kernel.store.records[KEY]
    handle_message(OwnRecordRead(latest), publisher)
    handle_message(OwnRecordRead(Record(KEY, 1, b"older news")), publisher)
    run(publisher, kernel, 1.0)
    assert kernel.store.records[KEY] == latest
    kernel.store.put(KEY, b"late", kernel.store.lease_ids[KEY])
    writes = kernel.store.writes
    handle_message(OwnRecordRead(kernel.store.records[KEY]), publisher)
    run(publisher, kernel, 5.0)
    assert kernel.store.records[KEY].value == b"me"
    assert kernel.store.writes == writes + 1


def test_calls_to_an_unreachable_store_are_limited(kernel):
    publisher = publish(kernel)
    kernel.store.unreachable = True
    calls = 0
    renew_lease = kernel.store.renew_lease

    def count(*args):
        nonlocal calls
        calls += 1
        return renew_lease(*args)

    kernel.store.renew_lease = count
    run(publisher, kernel, 10.0)
    assert calls < 30


def test_lease_is_revoked_on_close(kernel):
    publisher = publish(kernel)
    publisher.close()
    assert kernel.store.records == {}


DEPARTURES_KEY = "departures/node-0"


# The record of a server's leaving was removed by the stop of the node that had
# acknowledged it, or with its lease while the store was disturbed.
def test_departures_outlive_the_process_and_all_leases(kernel):
    publisher = publish(kernel)
    handle_message(PublishDepartures(b"left"), publisher)
    run(publisher, kernel, 0.1)
    assert kernel.pop_posted("membership") == [DeparturesWritten(b"left")]
    publisher.close()
    for lease in list(kernel.store.leases):
        kernel.store.expire_lease(lease)
    assert KEY not in kernel.store.records
    assert kernel.store.records[DEPARTURES_KEY].value == b"left"


# A departure waited for a lease that was granted, but whose response was lost.
def test_departures_are_written_although_responses_are_lost(kernel):
    publisher = publish(kernel)
    kernel.store.loses_write_responses = True
    kernel.store.grant_lease = kernel.store.renew_lease = lambda *_: Unknown(
        Cause.CONNECTION_LOST
    )
    handle_message(PublishDepartures(b"left"), publisher)
    run(publisher, kernel, 0.1)
    assert kernel.store.records[DEPARTURES_KEY].value == b"left"


def test_departures_are_written_after_an_outage_and_at_the_stop(kernel):
    publisher = publish(kernel)
    kernel.store.unreachable = True
    handle_message(PublishDepartures(b"first"), publisher)
    run(publisher, kernel, 5.0)
    assert kernel.pop_posted("membership") == []
    kernel.store.unreachable = False
    run(publisher, kernel, 2.0)
    assert kernel.store.records[DEPARTURES_KEY].value == b"first"
    handle_message(PublishDepartures(b"second"), publisher)
    publisher.close()
    assert kernel.store.records[DEPARTURES_KEY].value == b"second"


# An earlier list of departures, done late, let the next process use a server that left.
def test_departures_that_are_written_late_replace_no_later_ones(kernel):
    publisher = publish(kernel)
    kernel.store.delays_writes = True
    handle_message(PublishDepartures(b"one"), publisher)
    run(publisher, kernel, 0.1)
    kernel.store.delays_writes = False
    handle_message(PublishDepartures(b"one and two"), publisher)
    run(publisher, kernel, 0.1)
    kernel.store.do_delayed_writes()
    assert kernel.store.records[DEPARTURES_KEY].value == b"one and two"


# Departures that an earlier process had acknowledged were written over unread.
def test_departures_in_the_store_are_added_before_they_are_replaced(kernel):
    publisher = publish(kernel)
    kernel.store.put(DEPARTURES_KEY, b"earlier")
    found = kernel.store.records[DEPARTURES_KEY]
    handle_message(PublishDepartures(b"one"), publisher)
    run(publisher, kernel, 1.0)
    assert kernel.pop_posted("membership") == [DeparturesFound(found)]
    assert kernel.store.records[DEPARTURES_KEY] == found
    handle_message(PublishDepartures(b"both", found.revision), publisher)
    run(publisher, kernel, 0.1)
    assert kernel.pop_posted("membership") == [DeparturesWritten(b"both")]
    assert kernel.store.records[DEPARTURES_KEY].value == b"both"


# The departures were written again every 0.6 s, by each node whose server left.
def test_departures_are_rarely_written_to_a_store_that_does_not_answer(kernel):
    publisher = publish(kernel)
    kernel.store.unreachable = True
    writes = kernel.store.writes
    handle_message(PublishDepartures(b"left"), publisher)
    run(publisher, kernel, 0.05)
    assert kernel.store.writes == writes + 1  # at once
    run(publisher, kernel, 8.0)
    assert kernel.store.writes <= writes + 6
    handle_message(PublishDepartures(b"next"), publisher)
    writes = kernel.store.writes
    run(publisher, kernel, 0.05)
    assert kernel.store.writes == writes + 1
    kernel.store.unreachable = False
    run(publisher, kernel, MAX_RETRY_DELAY_S)
    assert kernel.store.records[DEPARTURES_KEY].value == b"next"
