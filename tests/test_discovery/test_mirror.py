from __future__ import annotations

import msgspec
import pytest

from monsoontray.decisions.deltas import apply_delta
from monsoontray.discovery.encoding import (
    DELTA_MIN_BYTES,
    MirrorResponse,
    decode_response,
    encode_response,
)
from monsoontray.discovery.messages import (
    ReadMirror,
    StoreAccessChanged,
    StoreChanged,
    StoreListed,
)
from monsoontray.discovery.mirror import (
    MAX_BASES,
    MAX_PENDING_READS,
    MAX_REMOVALS,
    Mirror,
    handle_message,
)
from monsoontray.kernel.errors import ReplyTimeoutError
from monsoontray.kernel.mailbox import Reply
from monsoontray.store.outcomes import Record
from tests.fakes import Services

HELD_S = 0.6


@pytest.fixture
def services():
    return Services()


@pytest.fixture
def mirror(services):
    mirror = Mirror(services)
    handle_message(StoreAccessChanged(True), mirror)
    handle_message(StoreListed((Record("op/a", 3, b"a"),), 3), mirror)
    return mirror


def ask(mirror, known, services):
    reply = Reply(services.clock)
    handle_message(ReadMirror(known, services.clock.now() + HELD_S, reply), mirror)
    return reply


def take(reply, services):
    """Return what a question was answered with, or None while it is held back."""
    try:
        return reply.wait(services.clock.now())
    except ReplyTimeoutError:
        return None


def change(mirror, revision, *records, removed=()):
    gone = tuple(Record(key, at, b"") for key, at in removed)
    handle_message(StoreChanged(records, gone, revision), mirror)


def test_what_changed_since_a_revision_is_told(mirror):
    change(mirror, 6, Record("op/b", 4, b"b"), removed=(("op/a", 5),))
    response = mirror.build_response(3)
    assert [each.key for each in response.records] == ["op/b"]
    assert response.removed == (("op/a", 5),)
    assert (response.revision, response.is_complete) == (6, False)
    assert mirror.build_response(5).removed == mirror.build_response(6).records == ()


def test_who_knows_less_than_the_mirror_gets_everything(mirror):
    change(mirror, 4, Record("op/b", 4, b"b"))
    for known in (-1, 0, 2):
        response = mirror.build_response(known)
        assert response.is_complete
        assert [each.key for each in response.records] == ["op/a", "op/b"]


def test_a_key_that_came_back_is_not_told_as_removed(mirror):
    change(mirror, 5, removed=(("op/a", 5),))
    change(mirror, 6, Record("op/a", 6, b"again"))
    response = mirror.build_response(3)
    assert response.removed == ()
    assert response.records[0].value == b"again"


def test_who_missed_forgotten_removals_gets_everything(mirror):
    gone = tuple((f"nodes/{i}", 10 + i) for i in range(MAX_REMOVALS + 5))
    change(mirror, 10 + len(gone), removed=gone)
    assert mirror.build_response(10).is_complete
    assert not mirror.build_response(10 + 5).is_complete


def test_a_question_is_held_back_until_there_is_news(mirror, services):
    reply = ask(mirror, 3, services)
    assert take(reply, services) is None
    change(mirror, 4, Record("op/b", 4, b"b"))
    assert take(reply, services).revision == 4


def test_a_question_is_answered_without_news_in_time(mirror, services):
    reply = ask(mirror, 3, services)
    assert mirror.find_next_deadline() == services.clock.now() + HELD_S
    services.clock.advance(HELD_S)
    mirror.on_deadline()
    assert take(reply, services) == MirrorResponse(3, True)
    assert mirror.find_next_deadline() is None


def test_those_who_wait_hear_at_once_that_the_store_is_lost(mirror, services):
    reply = ask(mirror, 3, services)
    handle_message(StoreAccessChanged(False), mirror)
    assert not take(reply, services).reads_store
    assert not take(ask(mirror, 3, services), services).reads_store


def test_more_questions_than_threads_are_not_held_back(mirror, services):
    replies = [ask(mirror, 3, services) for _ in range(MAX_PENDING_READS + 1)]
    answered = [take(reply, services) is not None for reply in replies]
    assert answered == [False] * MAX_PENDING_READS + [True]


def build_large(number, revision):
    rows = [b'{"name":"%d","of":%d}' % (i, number if i == 7 else 0) for i in range(900)]
    value = b"[%b]" % b",".join(rows)
    assert len(value) > DELTA_MIN_BYTES
    return Record("op/config", revision, value)


def test_large_records_are_told_by_their_difference_from_what_is_known(mirror):
    records = [build_large(i, 10 + i) for i in range(4)]
    for record in records:
        change(mirror, record.revision, record)
    for known in range(3):
        (copied,) = mirror.build_response(10 + known).records
        assert copied.base_revision == 10 + known
        assert apply_delta(records[known].value, copied.delta) == records[3].value
        assert (
            len(encode_response(mirror.build_response(10 + known)))
            < DELTA_MIN_BYTES / 10
        )


def test_a_large_record_is_told_whole_to_who_knows_too_old_a_one(mirror):
    for i in range(MAX_BASES + 3):
        change(mirror, 10 + i, build_large(i, 10 + i))
    (copied,) = mirror.build_response(10).records
    assert copied.delta is None
    assert copied.value == build_large(MAX_BASES + 2, 0).value


def test_several_versions_of_one_change_are_kept_in_order(mirror):
    change(mirror, 10, build_large(0, 10))
    change(mirror, 12, build_large(2, 12), build_large(1, 11))
    (copied,) = mirror.build_response(11).records
    assert (copied.revision, copied.base_revision) == (12, 11)


def test_a_copy_survives_its_encoding_and_damage_is_refused(mirror):
    change(mirror, 4, Record("op/b", 4, b"\xff\x00"), removed=(("op/a", 4),))
    encoded = encode_response(mirror.build_response(3))
    assert decode_response(encoded) == mirror.build_response(3)
    for damaged in (b"", b"x" + encoded, encoded[:-6]):
        with pytest.raises(msgspec.DecodeError):
            decode_response(damaged)
