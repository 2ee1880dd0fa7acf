from __future__ import annotations

from random import Random

import pytest

from monsoontray.decisions.crowds import (
    Holding,
    Wait,
    choose_for_descriptors,
    choose_for_memory,
    compute_budget,
    compute_room,
)

NOW = 100.0
KB = 1_024
BUDGET = 1_000 * KB


def build_crowd(count, cost=64 * KB):
    return [
        Holding(f"crowd-{i}", cost, NOW - 1.0 - i / count, Wait.CLIENT)
        for i in range(count)
    ]


def choose(holdings):
    return [each.connection for each in choose_for_memory(holdings, BUDGET, NOW)]


def test_nobody_gives_way_within_the_budget():
    assert choose(build_crowd(15)) == []


def test_crowd_gives_way_until_there_is_room_again():
    crowd = build_crowd(20)
    chosen = choose(crowd)
    assert 0.7 * BUDGET < (20 - len(chosen)) * 64 * KB <= 0.75 * BUDGET
    assert chosen[0] == "crowd-19"  # has moved least


@pytest.mark.parametrize(
    "ordinary",
    [
        Holding("new", 8 * KB, NOW, Wait.CLIENT),
        Holding("upload", 700 * KB, NOW - 0.005, Wait.CLIENT),
        Holding("waiting", 700 * KB, NOW - 5.0, Wait.SLOT),
        Holding("running", 700 * KB, NOW - 30.0, Wait.SERVER),
    ],
    ids=lambda holding: holding.connection,
)
def test_ordinary_connection_outlives_a_crowd(ordinary):
    holdings = [*build_crowd(20), ordinary]
    Random(7).shuffle(holdings)
    assert ordinary.connection not in choose(holdings)


def test_requests_that_no_server_got_give_way_before_those_that_may_have_run():
    waiting = [Holding(f"w-{i}", 100 * KB, NOW, Wait.SLOT) for i in range(6)]
    running = [Holding(f"r-{i}", 100 * KB, NOW - 9.0, Wait.SERVER) for i in range(6)]
    chosen = choose(running + waiting)
    assert chosen
    assert all(name.startswith("w-") for name in chosen)


def test_connection_that_moved_least_frees_its_descriptor_unless_it_may_be_answered():
    running = [Holding("running", 0, NOW - 90.0, Wait.SERVER)]
    chosen = choose_for_descriptors([*running, *build_crowd(9)], 2, NOW)
    assert [each.connection for each in chosen] == ["crowd-8", "crowd-7"]


def test_room_shrinks_with_what_is_held_and_never_vanishes():
    budget = compute_budget(200)
    assert 60e6 < budget < 100e6
    assert compute_room(budget, 0) == budget
    assert 0 < compute_room(budget, 2 * budget) < budget / 10
