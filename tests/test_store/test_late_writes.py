"""Writes that the store does late, drawn at random; none may undo a later one."""

from __future__ import annotations

import msgspec
import pytest

from monsoontray.containment.encoding import CLEARANCE_PREFIX, decode_clearance
from monsoontray.decisions.directory import ListedNode
from monsoontray.discovery.encoding import decode_departures
from monsoontray.store.outcomes import Record
from tests.test_store.late_writes import FINGERPRINT, Play

SEEDS = 250


@pytest.fixture(scope="module")
def plays():
    plays = [Play(seed) for seed in range(SEEDS)]
    for play in plays:
        play.run()
    return plays


def read_all(play, key, read):
    """Return what the values of a key said, at any time and at the end."""
    said = [set(read(value)) for value in play.store.values.get(key, ())]
    return set().union(*said), said[-1] if said else set()


# A node's first record, done late, hid the server that the second one had named.
def test_record_of_a_node_is_the_one_in_force_there(plays):
    outdated = []
    for seed, play in enumerate(plays):
        for name, node in play.nodes.items():
            record = play.store.records[f"nodes/{name}"]
            if msgspec.json.decode(record.value, type=ListedNode) != node.describe():
                outdated.append((seed, name))
    assert outdated == []


# An earlier list of departures, done late, let the next process use a server that left.
def test_departures_that_were_stored_stay(plays):
    lost = []
    for seed, play in enumerate(plays):
        for name in play.names:
            key = f"departures/{name}"
            ever, now = read_all(
                play,
                key,
                lambda value, key=key: decode_departures(Record(key, 1, value)),
            )
            lost += [(seed, name)] * bool(
                {(d.server, d.born) for d in ever} - {(d.server, d.born) for d in now}
            )
    assert lost == []


# An earlier clearance, done late, took back that a request had been cleared.
def test_clearances_that_were_stored_stay(plays):
    key = CLEARANCE_PREFIX + FINGERPRINT
    lost = []
    for seed, play in enumerate(plays):
        ever, now = read_all(play, key, lambda value: decode_clearance(value).ends)
        lost += [seed] * bool(ever - now)
    assert lost == []


def test_nothing_is_written_once_the_late_writes_are_done(plays):
    restless = [
        seed
        for seed, play in enumerate(plays)
        if any(at >= play.quiet_from for at in play.store.written_at)
    ]
    assert restless == []
