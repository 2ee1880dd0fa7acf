"""Counting by windows, and the collection of all nodes' sums."""

from __future__ import annotations

from monsoontray.decisions.true_time import TrueTime
from monsoontray.decisions.usage import (
    MAX_WINDOWS,
    CallCounter,
    NodeUsage,
    UsageSums,
    WindowCollector,
)

WINDOW_S = 5.0
LATE_S = 10.0


def build_usage(node, sequence=1, through=0, incarnation=1, leaving=False, **counts):
    windows = {int(key[1:]): {"a": count} for key, count in counts.items()}
    return NodeUsage(node, incarnation, sequence, 0.0, through, windows, leaving)


def begin(nodes=("n0", "n1"), recorded=1):
    collector = WindowCollector(WINDOW_S, LATE_S)
    collector.begin(recorded, nodes, 10.0)
    return collector


def test_calls_count_in_the_window_of_true_time_at_which_they_began():
    counter = CallCounter(WINDOW_S)
    assert counter.count("a", 1.0) == 0
    counter.offset = 1000.0
    assert counter.count("a", 1.0) == 200
    assert counter.count("a", 4.999) == 200
    assert counter.count("b", 5.0) == 201
    counter.take_back("a", 200)
    assert counter.take() == {200: {"a": 1}, 201: {"b": 1}}
    counter.take_back("a", 200)
    assert counter.take() == {200: {"a": -1}}


def test_sums_are_kept_until_recorded_and_bounded():
    sums = UsageSums()
    assert sums.add({1: {"a": 2}, 2: {"a": 1}}) == 0
    sums.add({1: {"a": -1}})
    assert sums.get_windows() == {1: {"a": 1}, 2: {"a": 1}}
    sums.mark_recorded(1)
    assert sums.add({1: {"a": 3}}) == 3
    assert sums.get_windows() == {2: {"a": 1}}
    for window in range(3, 30):
        sums.add({window: {"a": 1}})
    assert len(sums.get_windows()) == MAX_WINDOWS


def test_window_is_collected_once_every_node_has_told():
    collector = begin()
    collector.add(build_usage("n0", through=2, w2=3))
    assert collector.collect(20.0) is None
    collector.add(build_usage("n1", through=1, w2=4))
    assert collector.collect(20.0) is None
    collector.add(build_usage("n1", sequence=2, through=2, w2=5))
    collector.add(build_usage("n1", sequence=1, through=1, w2=4))
    assert collector.collect(15.5) is None
    assert collector.collect(20.0) == {"a": 8}
    collector.advance()
    assert collector.collect(20.0) is None


def test_counts_of_processes_of_a_node_that_ended_are_kept():
    collector = begin(nodes=("n0",))
    collector.add(build_usage("n0", through=1, w2=3))
    collector.add(build_usage("n0", incarnation=2, through=2, w2=4))
    assert collector.collect(20.0) == {"a": 7}


def test_window_without_counts_is_collected_too():
    collector = begin(nodes=("n0",))
    collector.add(build_usage("n0", through=2))
    assert collector.collect(20.0) == {}


def test_node_that_has_gone_delays_one_window_and_never_beyond_the_time_due():
    collector = begin()
    collector.add(build_usage("n0", through=3, w2=3, w3=4))
    limit = collector.find_next_check(20.0)
    assert limit <= 15.0 + LATE_S - 2.0
    assert collector.collect(limit - 0.1) is None
    assert collector.collect(limit) == {"a": 3}
    collector.advance()
    assert collector.collect(limit) == {"a": 4}


def test_node_that_leaves_is_not_waited_for_and_counts():
    collector = begin()
    collector.add(build_usage("n0", through=2, w2=3))
    collector.add(build_usage("n1", through=1, leaving=True, w2=2))
    assert collector.collect(20.0) == {"a": 5}


def test_late_word_of_a_stopped_process_does_not_hide_the_next_one():
    collector = begin(nodes=("n0",))
    collector.add(build_usage("n0", incarnation=2, through=1, w2=4))
    collector.add(build_usage("n0", incarnation=1, through=1, leaving=True, w2=3))
    assert collector.collect(20.0) is None
    collector.add(build_usage("n0", incarnation=2, sequence=2, through=2, w2=5))
    assert collector.collect(20.0) == {"a": 8}


def test_first_holder_begins_with_the_current_window_and_no_backlog_is_built():
    collector = WindowCollector(WINDOW_S, LATE_S)
    collector.begin(0, (), 1002.0)
    assert collector.window == 200
    collector.begin(150, (), 1002.0)
    assert collector.window == 197
    collector.begin(198, (), 1002.0)
    assert collector.window == 199
    collector.begin(198, (), 1002.0, may_lack_records=True)
    assert collector.window == 200


def test_jump_of_the_time_of_day_moves_no_window():
    time = TrueTime(10.0, 1000.0)
    time.follow(11.0, 1004.0)
    assert time.estimate(11.0) == 1001.0
    time.follow(12.0, 1002.1)
    assert abs(time.estimate(12.0) - 1002.1) < 1e-6


def test_node_that_started_during_a_jump_follows_the_others():
    time = TrueTime(10.0, 1003.0)
    for i in range(5):
        time.add_sample(f"n{i}", 1000.0 + 0.01 * i, 10.0)
    assert abs(time.estimate(10.0) - 1000.0) < 0.1
    other = TrueTime(10.0, 1000.1)
    other.correct(1000.0, 10.0)
    assert other.estimate(10.0) == 1000.1
