"""Nodes of a large fleet read the store through one node a zone."""

from __future__ import annotations

import pytest

from monsoontray.decisions.sources import StoreAccess
from monsoontray.discovery.messages import ChooseStoreAccess, StoreAccessChanged
from monsoontray.discovery.mirror_client import PeerUpdate
from monsoontray.discovery.watch import (
    EXCLUSION_S,
    POLL_PAUSE_S,
    READER_WAIT_S,
    StoreWatch,
)
from monsoontray.store.outcomes import Record
from tests.fakes import Services
from tests.test_decisions.test_directory import build_node

SOURCES = tuple(build_node(f"reader-{i}") for i in range(3))
PLAN = ("membership", ChooseStoreAccess)


class FakeMirrorClient:
    """Stand in for other nodes: answers by the name of the one asked."""

    def __init__(self):
        self.updates = {}
        self.asked = []

    def remember(self, records):
        pass

    def poll_peers(self, known):
        return None

    def poll_reader(self, source, known, wait_s):
        self.asked.append(source.node)
        return self.updates.get(source.node)


@pytest.fixture
def services():
    services = Services()
    services.store.put("op/config", b"1")
    return services


@pytest.fixture
def watch(services):
    watch = StoreWatch(services)
    watch._mirror_client = FakeMirrorClient()
    watch.read()
    services.answers[PLAN] = StoreAccess(SOURCES)
    for name in ("operator", "mirror"):
        services.take(name)
    return watch


def build_update(revision, *records, reads_store=True, is_complete=False, removed=()):
    return PeerUpdate(revision, reads_store, is_complete, records, removed)


def test_news_of_a_reader_are_told_as_if_they_came_from_the_store(watch, services):
    new, gone = Record("op/config", 9, b"2"), Record("nodes/x", 8, b"")
    watch._mirror_client.updates["reader-0"] = build_update(9, new, removed=(gone,))
    watch.read()
    assert services.take("operator")[0].records == (new,)
    assert services.take("membership")[-1].removed == (gone,)
    assert watch._mirror_client.asked == ["reader-0"]


def test_a_node_that_follows_leaves_the_store_alone(watch, services):
    watch._mirror_client.updates["reader-0"] = build_update(2)
    services.store.down = True  # a call would be noticed
    for _ in range(5):
        due = watch.read()
        assert due == services.clock.now() + POLL_PAUSE_S
    assert services.take("mirror") == [StoreAccessChanged(False)]


def test_another_reader_is_asked_when_one_is_silent_or_not_served(watch, services):
    new = Record("op/config", 9, b"2")
    watch._mirror_client.updates["reader-1"] = build_update(30, new, reads_store=False)
    assert watch.read() == services.clock.now()
    watch._direct_until = 0.0
    watch.read()
    assert watch._mirror_client.asked == ["reader-0", "reader-1"]
    assert services.take("operator") == []


def test_the_store_is_read_when_no_reader_has_news_and_again_through_one_later(
    watch, services
):
    services.store.put("op/config", b"2")
    for _ in range(3):
        assert watch.read() == services.clock.now()
    watch.read()
    assert services.take("operator")[0].records[0].value == b"2"
    assert services.take("mirror")[:2] == [
        StoreAccessChanged(False),
        StoreAccessChanged(True),
    ]
    services.clock.advance(EXCLUSION_S)
    watch._mirror_client.updates["reader-0"] = build_update(
        40, Record("op/config", 40, b"3"), is_complete=True
    )
    watch.read()
    assert services.take("operator")[-1].records[0].value == b"3"


def test_a_reader_finds_out_sooner_that_the_store_is_lost(watch, services):
    waits = []
    watch_prefix = services.store.watch_prefix

    def record(prefix, revision, wait_s):
        waits.append(wait_s)
        return watch_prefix(prefix, revision, wait_s)

    services.store.watch_prefix = record
    services.answers[PLAN] = StoreAccess(for_others=True)
    watch.read()
    services.answers[PLAN] = StoreAccess()
    watch.read()
    assert waits[0] == READER_WAIT_S < waits[1]


def test_a_reader_that_loses_the_store_says_so_and_when_it_is_back(watch, services):
    services.answers[PLAN] = StoreAccess(for_others=True)
    services.store.down = True
    watch.read()
    assert services.take("mirror") == [StoreAccessChanged(False)]
    services.store.down = False
    watch.read()
    assert StoreAccessChanged(True) in services.take("mirror")
