from __future__ import annotations

import pytest

from monsoontray.decisions.deltas import apply_delta
from monsoontray.decoding.errors import DecodingError
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
    MAX_DELTA_BASES,
    MAX_PENDING_READS,
    MAX_REMOVALS,
    Mirror,
    handle_message,
)
from monsoontray.kernel.errors import ReplyTimeoutError
from monsoontray.kernel.mailbox import Reply
from monsoontray.store.outcomes import Record
from tests.fakes import FakeKernel

WAIT_S = 0.6


@pytest.fixture
def kernel():
    return FakeKernel()


@pytest.fixture
def mirror(kernel):
    mirror = Mirror(kernel)
    handle_message(StoreAccessChanged(True), mirror)
    handle_message(StoreListed((Record("op/a", 3, b"a"),), 3), mirror)
    return mirror


def request(mirror, known, kernel):
    reply = Reply(kernel.clock)
    handle_message(ReadMirror(known, kernel.clock.now() + WAIT_S, reply), mirror)
    return reply


def get_answer(reply, kernel):
    """Return the answer to a request, or None while the request is pending."""
    try:
        return reply.wait(kernel.clock.now())
    except ReplyTimeoutError:
        return None


def apply_change(mirror, revision, *records, removed=()):
    removals = tuple(Record(key, at, b"") for key, at in removed)
    handle_message(StoreChanged(records, removals, revision), mirror)


def test_response_has_the_changes_since_a_revision(mirror):
    apply_change(mirror, 6, Record("op/b", 4, b"b"), removed=(("op/a", 5),))
    response = mirror.build_response(3)
    assert [each.key for each in response.records] == ["op/b"]
    assert response.removed == (("op/a", 5),)
    assert (response.revision, response.is_complete) == (6, False)
    assert mirror.build_response(5).removed == mirror.build_response(6).records == ()


def test_response_has_the_changes_that_a_later_listing_shows(mirror):
    apply_change(mirror, 5, Record("op/b", 4, b"b"), Record("op/c", 5, b"c"))
    later = (Record("op/b", 4, b"b"), Record("op/c", 9, b"d"), Record("op/d", 8, b"d"))
    handle_message(StoreListed(later, 9), mirror)
    response = mirror.build_response(5)
    assert {each.key for each in response.records} == {"op/c", "op/d"}
    assert response.removed == (("op/a", 9),)
    assert (response.revision, response.is_complete) == (9, False)
    assert mirror.build_response(2).is_complete


def test_first_listing_after_changes_makes_the_removals_before_it_unknown(kernel):
    """A restarted mirror may receive changes before the next listing."""
    mirror = Mirror(kernel)
    apply_change(mirror, 5, Record("op/b", 5, b"b"))
    handle_message(StoreListed((Record("op/b", 5, b"b"),), 9), mirror)
    assert mirror.build_response(7).is_complete


def test_response_is_complete_for_revisions_before_the_listing(mirror):
    apply_change(mirror, 4, Record("op/b", 4, b"b"))
    for known in (-1, 0, 2):
        response = mirror.build_response(known)
        assert response.is_complete
        assert [each.key for each in response.records] == ["op/a", "op/b"]


def test_key_that_was_written_again_is_not_in_the_removals(mirror):
    apply_change(mirror, 5, removed=(("op/a", 5),))
    apply_change(mirror, 6, Record("op/a", 6, b"again"))
    response = mirror.build_response(3)
    assert response.removed == ()
    assert response.records[0].value == b"again"


def test_response_is_complete_for_revisions_before_the_oldest_removal(mirror):
    removed = tuple((f"nodes/{i}", 10 + i) for i in range(MAX_REMOVALS + 5))
    apply_change(mirror, 10 + len(removed), removed=removed)
    assert mirror.build_response(10).is_complete
    assert not mirror.build_response(10 + 5).is_complete


def test_request_is_pending_until_there_are_changes(mirror, kernel):
    reply = request(mirror, 3, kernel)
    assert get_answer(reply, kernel) is None
    apply_change(mirror, 4, Record("op/b", 4, b"b"))
    assert get_answer(reply, kernel).revision == 4


def test_request_is_answered_at_its_deadline_without_changes(mirror, kernel):
    reply = request(mirror, 3, kernel)
    assert mirror.find_next_deadline() == kernel.clock.now() + WAIT_S
    kernel.clock.advance(WAIT_S)
    mirror.on_deadline()
    assert get_answer(reply, kernel) == MirrorResponse(3, True)
    assert mirror.find_next_deadline() is None


def test_pending_requests_are_answered_when_the_store_is_unreachable(mirror, kernel):
    reply = request(mirror, 3, kernel)
    handle_message(StoreAccessChanged(False), mirror)
    assert not get_answer(reply, kernel).reads_store
    assert not get_answer(request(mirror, 3, kernel), kernel).reads_store


def test_number_of_pending_requests_is_limited(mirror, kernel):
    replies = [request(mirror, 3, kernel) for _ in range(MAX_PENDING_READS + 1)]
    answered = [get_answer(reply, kernel) is not None for reply in replies]
    assert answered == [False] * MAX_PENDING_READS + [True]


def build_large(number, revision):
    rows = [b'{"name":"%d","of":%d}' % (i, number if i == 7 else 0) for i in range(900)]
    value = b"[%b]" % b",".join(rows)
    assert len(value) > DELTA_MIN_BYTES
    return Record("op/config", revision, value)


def test_large_records_are_sent_as_deltas_of_the_known_revision(mirror):
    records = [build_large(i, 10 + i) for i in range(4)]
    for record in records:
        apply_change(mirror, record.revision, record)
    for known in range(3):
        (encoded,) = mirror.build_response(10 + known).records
        assert encoded.base_revision == 10 + known
        assert apply_delta(records[known].value, encoded.delta) == records[3].value
        assert (
            len(encode_response(mirror.build_response(10 + known)))
            < DELTA_MIN_BYTES / 10
        )


def test_large_record_is_sent_whole_when_the_known_revision_is_too_old(mirror):
    for i in range(MAX_DELTA_BASES + 3):
        apply_change(mirror, 10 + i, build_large(i, 10 + i))
    (encoded,) = mirror.build_response(10).records
    assert encoded.delta is None
    assert encoded.value == build_large(MAX_DELTA_BASES + 2, 0).value


def test_records_of_one_change_are_applied_in_the_order_of_revisions(mirror):
    apply_change(mirror, 10, build_large(0, 10))
    apply_change(mirror, 12, build_large(2, 12), build_large(1, 11))
    (encoded,) = mirror.build_response(11).records
    assert (encoded.revision, encoded.base_revision) == (12, 11)


def test_encoded_response_is_decoded_and_corrupt_data_rejected(mirror):
    apply_change(mirror, 4, Record("op/b", 4, b"\xff\x00"), removed=(("op/a", 4),))
    encoded = encode_response(mirror.build_response(3))
    assert decode_response(encoded) == mirror.build_response(3)
    for corrupt in (b"", b"x" + encoded, encoded[:-6]):
        with pytest.raises(DecodingError):
            decode_response(corrupt)
