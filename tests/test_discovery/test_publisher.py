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
    """Let a publisher wake whenever it is due for some time."""
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


def test_the_record_is_written_under_a_lease_that_is_renewed(services):
    publisher = publish(services)
    assert services.store.items[KEY].value == b"me"
    lease = services.store.bound[KEY]
    run(publisher, services, 20.0)
    assert services.store.leases[lease] > services.clock.now()
    assert services.store.writes == 1


def test_a_record_whose_lease_lapsed_is_written_again(services):
    publisher = publish(services)
    services.store.end(services.store.bound[KEY])
    assert KEY not in services.store.items
    run(publisher, services, 1.5)
    assert services.store.items[KEY].value == b"me"


def test_the_record_is_back_within_two_seconds_of_the_stores_return(services):
    publisher = publish(services)
    services.store.down = True
    run(publisher, services, 30.0)
    services.store.end(services.store.bound[KEY])
    services.store.down = False
    run(publisher, services, 2.0)
    assert services.store.items[KEY].value == b"me"


def test_a_lost_answer_is_followed_by_the_same_write(services):
    services.store.loses_answers = True
    publisher = publish(services)
    services.store.loses_answers = False
    run(publisher, services, 1.0)
    assert services.store.items[KEY].value == b"me"
    writes = services.store.writes
    run(publisher, services, 5.0)
    assert services.store.writes == writes


def test_calls_to_a_store_that_is_down_are_few(services):
    publisher = publish(services)
    services.store.down = True
    calls = 0
    grant = services.store.renew_lease

    def count(*args):
        nonlocal calls
        calls += 1
        return grant(*args)

    services.store.renew_lease = count
    run(publisher, services, 10.0)
    assert calls < 30


def test_the_lease_is_given_back_at_the_end(services):
    publisher = publish(services)
    publisher.close()
    assert services.store.items == {}
