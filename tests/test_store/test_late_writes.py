"""Writes that the store does late, drawn at random; none may undo a later one."""

from __future__ import annotations

import msgspec
import pytest

from monsoontray.decisions.directory import ListedNode
from tests.test_store.late_writes import Play

SEEDS = 250


@pytest.fixture(scope="module")
def plays():
    plays = [Play(seed) for seed in range(SEEDS)]
    for play in plays:
        play.run()
    return plays


# A node's first record, done late, hid the server that the second one had named.
def test_record_of_a_node_is_the_one_in_force_there(plays):
    outdated = []
    for seed, play in enumerate(plays):
        for name, node in play.nodes.items():
            record = play.store.records[f"nodes/{name}"]
            if msgspec.json.decode(record.value, type=ListedNode) != node.describe():
                outdated.append((seed, name))
    assert outdated == []


def test_nothing_is_written_once_the_late_writes_are_done(plays):
    restless = [
        seed
        for seed, play in enumerate(plays)
        if any(at >= play.quiet_from for at in play.store.written_at)
    ]
    assert restless == []
