"""Nodes of a large fleet read the store through one node a zone."""

from __future__ import annotations

import pytest

from monsoontray.decisions.sources import Reading
from monsoontray.discovery.messages import PlanReading, StoreServed
from monsoontray.discovery.relay import PeerNews
from monsoontray.discovery.watch import (
    FOLLOW_PAUSE_S,
    LEFT_OUT_S,
    READER_WAIT_S,
    StoreWatch,
)
from monsoontray.store.outcomes import Record
from tests.fakes import Services
from tests.test_decisions.test_directory import build_node

SOURCES = tuple(build_node(f"reader-{i}") for i in range(3))
PLAN = ("membership", PlanReading)


class Relay:
    """Stand in for other nodes: answers by the name of the one asked."""

    def __init__(self):
        self.news = {}
        self.asked = []

    def remember(self, records):
        pass

    def read(self, known):
        return None

    def follow(self, source, known, wait_s):
        self.asked.append(source.node)
        return self.news.get(source.node)


@pytest.fixture
def services():
    services = Services()
    services.store.put("op/config", b"1")
    return services


@pytest.fixture
def watch(services):
    watch = StoreWatch(services)
    watch._relay = Relay()
    watch.read()
    services.answers[PLAN] = Reading(SOURCES)
    for name in ("operator", "mirror"):
        services.take(name)
    return watch


def build_news(revision, *records, is_served=True, is_whole=False, removed=()):
    return PeerNews(revision, is_served, is_whole, records, removed)


def test_news_of_a_reader_are_told_as_if_they_came_from_the_store(watch, services):
    new, gone = Record("op/config", 9, b"2"), Record("nodes/x", 8, b"")
    watch._relay.news["reader-0"] = build_news(9, new, removed=(gone,))
    watch.read()
    assert services.take("operator")[0].records == (new,)
    assert services.take("membership")[-1].removed == (gone,)
    assert watch._relay.asked == ["reader-0"]


def test_a_node_that_follows_leaves_the_store_alone(watch, services):
    watch._relay.news["reader-0"] = build_news(2)
    services.store.down = True  # a call would be noticed
    for _ in range(5):
        due = watch.read()
        assert due == services.clock.now() + FOLLOW_PAUSE_S
    assert services.take("mirror") == [StoreServed(False)]


def test_another_reader_is_asked_when_one_is_silent_or_not_served(watch, services):
    new = Record("op/config", 9, b"2")
    watch._relay.news["reader-1"] = build_news(30, new, is_served=False)
    assert watch.read() == services.clock.now()
    watch._direct_until = 0.0
    watch.read()
    assert watch._relay.asked == ["reader-0", "reader-1"]
    assert services.take("operator") == []


def test_the_store_is_read_when_no_reader_has_news_and_again_through_one_later(
    watch, services
):
    services.store.put("op/config", b"2")
    for _ in range(3):
        assert watch.read() == services.clock.now()
    watch.read()
    assert services.take("operator")[0].records[0].value == b"2"
    assert services.take("mirror")[:2] == [StoreServed(False), StoreServed(True)]
    services.clock.advance(LEFT_OUT_S)
    watch._relay.news["reader-0"] = build_news(
        40, Record("op/config", 40, b"3"), is_whole=True
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
    services.answers[PLAN] = Reading(for_others=True)
    watch.read()
    services.answers[PLAN] = Reading()
    watch.read()
    assert waits[0] == READER_WAIT_S < waits[1]


def test_a_reader_that_loses_the_store_says_so_and_when_it_is_back(watch, services):
    services.answers[PLAN] = Reading(for_others=True)
    services.store.down = True
    watch.read()
    assert services.take("mirror") == [StoreServed(False)]
    services.store.down = False
    watch.read()
    assert StoreServed(True) in services.take("mirror")
