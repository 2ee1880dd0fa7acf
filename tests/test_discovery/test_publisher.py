from __future__ import annotations

import pytest

from monsoontray.discovery.messages import PublishNode
from monsoontray.discovery.publisher import Publisher, handle_message
from tests.fakes import Services

KEY = "nodes/node-0"


@pytest.fixture
def services():
    return Services()


def run(publisher, services, seconds):
    """Run a publisher for some seconds of the manual clock."""
    end = services.clock.now() + seconds
    while (due := publisher.find_next_deadline()) is not None and due <= end:
        services.clock.seconds = max(due, services.clock.now())
        publisher.on_deadline()
    services.clock.seconds = end


def publish(services, value=b"me"):
    publisher = Publisher(services)
    handle_message(PublishNode(value), publisher)
    run(publisher, services, 0.1)
    return publisher


def test_record_is_written_with_a_lease_that_is_renewed(services):
    publisher = publish(services)
    assert services.store.items[KEY].value == b"me"
    lease = services.store.bound[KEY]
    run(publisher, services, 20.0)
    assert services.store.leases[lease] > services.clock.now()
    assert services.store.writes == 1


def test_record_whose_lease_lapsed_is_written_again(services):
    publisher = publish(services)
    services.store.end(services.store.bound[KEY])
    assert KEY not in services.store.items
    run(publisher, services, 1.5)
    assert services.store.items[KEY].value == b"me"


def test_record_is_written_within_two_seconds_after_an_outage(services):
    publisher = publish(services)
    services.store.down = True
    run(publisher, services, 30.0)
    services.store.end(services.store.bound[KEY])
    services.store.down = False
    run(publisher, services, 2.0)
    assert services.store.items[KEY].value == b"me"


def test_write_is_repeated_after_a_lost_answer(services):
    services.store.loses_answers = True
    publisher = publish(services)
    services.store.loses_answers = False
    run(publisher, services, 1.0)
    assert services.store.items[KEY].value == b"me"
    writes = services.store.writes
    run(publisher, services, 5.0)
    assert services.store.writes == writes


def test_calls_to_an_unreachable_store_are_limited(services):
    publisher = publish(services)
    services.store.down = True
    calls = 0
    renew_lease = services.store.renew_lease

    def count(*args):
        nonlocal calls
        calls += 1
        return renew_lease(*args)

    services.store.renew_lease = count
    run(publisher, services, 10.0)
    assert calls < 30


def test_lease_is_revoked_on_close(services):
    publisher = publish(services)
    publisher.close()
    assert services.store.items == {}
