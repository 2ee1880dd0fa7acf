from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from monsoontray.decisions.marks import (
    MAX_UPDATES_PER_EXCHANGE,
    PUSHES_PER_CHANGE,
    RESENT_MARKS_PER_EXCHANGE,
    Mark,
    VersionMarks,
)

marks = st.builds(Mark, st.sampled_from("abc"), st.integers(1, 3), st.integers(0, 4))


@settings(max_examples=200, derandomize=True)
@given(st.lists(marks, max_size=20), st.randoms(use_true_random=False))
def test_merge_does_not_depend_on_order_or_repetition(updates, random):
    first, second = VersionMarks(), VersionMarks()
    first.merge(updates)
    shuffled = updates * 2
    random.shuffle(shuffled)
    for mark in shuffled:
        second.merge([mark])
    assert first.get_version_numbers() == second.get_version_numbers()


def test_restarted_node_may_have_a_lower_version_than_before():
    known = VersionMarks()
    known.merge([Mark("a", 1, 7)])
    assert not known.merge([Mark("a", 1, 6)])
    assert known.merge([Mark("a", 2, 0)])
    assert known.get_version_numbers() == {"a": 0}


def test_changed_marks_are_pushed_a_few_times_and_unchanged_ones_in_turn():
    known = VersionMarks()
    known.merge(Mark(f"n{i}", 1, 1) for i in range(3 * MAX_UPDATES_PER_EXCHANGE))
    pushes = 0
    while known.has_updates():
        assert (
            len(known.take_updates())
            <= MAX_UPDATES_PER_EXCHANGE + RESENT_MARKS_PER_EXCHANGE
        )
        pushes += 1
    assert pushes == 3 * PUSHES_PER_CHANGE
    resent = set()
    for _ in range(3 * MAX_UPDATES_PER_EXCHANGE // RESENT_MARKS_PER_EXCHANGE):
        resent |= {mark.node for mark in known.take_updates()}
    assert len(resent) == 3 * MAX_UPDATES_PER_EXCHANGE


def test_remove_except_removes_marks_of_other_nodes():
    known = VersionMarks()
    known.merge([Mark("a", 1, 1), Mark("b", 1, 1)])
    known.remove_except(["b"])
    assert known.get_version_numbers() == {"b": 1}
    assert {mark.node for mark in known.take_updates()} == {"b"}
