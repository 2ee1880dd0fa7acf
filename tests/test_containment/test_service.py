"""Records of ended servers, in this node and in a store in memory."""

from __future__ import annotations

import pytest

from monsoontray.containment import writer as writer_module
from monsoontray.containment.encoding import (
    PREFIX,
    build_end_key,
    decode_clearance,
    decode_end,
    encode_clearance,
    encode_end,
)
from monsoontray.containment.messages import (
    RecordsLearned,
    RequestCleared,
    ServerEnded,
    ShareRecords,
    UpdateContainment,
)
from monsoontray.containment.service import (
    MAX_CLEARANCE_DELAY_S,
    ContainmentService,
    handle_message,
)
from monsoontray.containment.writer import MAX_UNWRITTEN, ContainmentWriter
from monsoontray.decisions.containment import Clearance, ServerEnd
from monsoontray.decoding.errors import DecodingError
from monsoontray.discovery.messages import StoreChanged, StoreListed
from monsoontray.store.outcomes import Record
from tests.fakes import FakeKernel

FINGERPRINT = "0123456789abcdef" * 2
END = ServerEnd("i-1", 7, (FINGERPRINT,))
KEY = build_end_key(END)
CLEARANCE = Clearance(FINGERPRINT, frozenset((KEY,)))
CLEARANCE_KEY = f"{PREFIX}cleared/{FINGERPRINT}"


@pytest.fixture
def kernel():
    return FakeKernel()


@pytest.fixture
def service(kernel):
    return ContainmentService(kernel)


@pytest.fixture
def writer(kernel):
    return ContainmentWriter(kernel)


def run(service, kernel, seconds, writer=None):
    """Run a service and the writer for some seconds of the manual clock."""
    end = kernel.clock.now() + seconds
    tasks = [service] if writer is None else [service, writer]
    while True:
        if writer is not None:
            for message in kernel.pop_posted("containment-writer"):
                writer_module.handle_message(message, writer)
        due = [
            (deadline, i)
            for i, task in enumerate(tasks)
            if (deadline := task.find_next_deadline()) is not None and deadline <= end
        ]
        if not due:
            break
        deadline, i = min(due)
        kernel.clock.seconds = max(deadline, kernel.clock.now())
        tasks[i].on_deadline()
    kernel.clock.seconds = end


def read_update(kernel):
    return kernel.pop_posted("forwarding")[-1]


def test_end_is_known_here_at_once_and_written_with_a_lease(service, writer, kernel):
    handle_message(ServerEnded(END), service)
    assert read_update(kernel) == UpdateContainment({KEY: END}, ())
    run(service, kernel, 0.1, writer)
    assert decode_end(KEY, kernel.store.records[KEY].value) == END
    assert kernel.store.leases[kernel.store.lease_ids[KEY]] > kernel.clock.now() + 500


def test_ends_shortly_after_each_other_share_a_lease(service, writer, kernel):
    for born in range(3):
        handle_message(ServerEnded(ServerEnd("i-1", born, (FINGERPRINT,))), service)
        run(service, kernel, 1.0, writer)
    assert len(set(kernel.store.lease_ids.values())) == 1
    assert kernel.store.writes == 3


# A clearance, done late, took back the later one: the next node to start refused a
# request that had been cleared.
def test_record_that_is_written_late_replaces_no_later_one(service, writer, kernel):
    kernel.store.delays_writes = True
    handle_message(RequestCleared(CLEARANCE), service)
    run(service, kernel, MAX_CLEARANCE_DELAY_S + 0.1, writer)
    kernel.store.delays_writes = False
    other = Clearance(FINGERPRINT, frozenset((KEY[:-1] + "0",)))
    handle_message(RequestCleared(other), service)
    run(service, kernel, MAX_CLEARANCE_DELAY_S + 0.1, writer)
    kernel.store.do_delayed_writes()
    stored = decode_clearance(kernel.store.records[CLEARANCE_KEY].value)
    assert stored.ends == CLEARANCE.ends | other.ends


# Of two nodes that cleared a request at the same time, one replaced the other's record.
def test_record_of_another_node_is_joined_before_it_is_replaced(
    service, writer, kernel
):
    other = Clearance(FINGERPRINT, frozenset((KEY[:-1] + "0",)))
    kernel.store.put(CLEARANCE_KEY, encode_clearance(other))
    handle_message(RequestCleared(CLEARANCE), service)
    run(service, kernel, MAX_CLEARANCE_DELAY_S + 0.1, writer)
    (found,) = kernel.pop_posted("containment")
    stored = decode_clearance(kernel.store.records[CLEARANCE_KEY].value)
    assert stored == other
    handle_message(found, service)
    run(service, kernel, 0.1, writer)
    stored = decode_clearance(kernel.store.records[CLEARANCE_KEY].value)
    assert stored.ends == CLEARANCE.ends | other.ends


def test_end_is_written_after_an_outage_of_the_store(service, writer, kernel):
    kernel.store.unreachable = True
    handle_message(ServerEnded(END), service)
    run(service, kernel, 30.0, writer)
    handle_message(StoreListed((), 1), service)
    assert read_update(kernel).ends == {KEY: END}
    kernel.store.unreachable = False
    run(service, kernel, 1.0, writer)
    assert KEY in kernel.store.records


def test_expired_lease_is_replaced(service, writer, kernel):
    handle_message(ServerEnded(END), service)
    run(service, kernel, 0.1, writer)
    kernel.store.expire_lease(kernel.store.lease_ids[KEY])
    later = ServerEnd("i-2", 8, (FINGERPRINT,))
    handle_message(ServerEnded(later), service)
    run(service, kernel, 2.0, writer)
    assert build_end_key(later) in kernel.store.records


def test_records_of_other_nodes_are_passed_on_until_they_expire(service, kernel):
    record = Record(KEY, 5, encode_end(END))
    key = f"{PREFIX}cleared/{FINGERPRINT}"
    cleared = Record(key, 6, encode_clearance(CLEARANCE))
    handle_message(StoreListed((record,), 5), service)
    assert read_update(kernel) == UpdateContainment({KEY: END}, ())
    handle_message(StoreChanged((cleared,), (), 6), service)
    assert read_update(kernel) == UpdateContainment({KEY: END}, (CLEARANCE,))
    removed = (Record(KEY, 7, b""), Record(key, 7, b""))
    handle_message(StoreChanged((), removed, 7), service)
    assert read_update(kernel) == UpdateContainment({}, ())


def test_clearance_is_written(service, writer, kernel):
    handle_message(RequestCleared(CLEARANCE), service)
    assert read_update(kernel).clearances == (CLEARANCE,)
    run(service, kernel, MAX_CLEARANCE_DELAY_S, writer)
    (record,) = kernel.store.records.values()
    assert decode_clearance(record.value) == CLEARANCE


def test_clearance_that_another_node_has_written_is_not_written_again(
    service, writer, kernel
):
    handle_message(RequestCleared(CLEARANCE), service)
    key = f"{PREFIX}cleared/{FINGERPRINT}"
    wider = Clearance(FINGERPRINT, frozenset((KEY, KEY[:-1] + "0")))
    record = Record(key, 6, encode_clearance(wider))
    handle_message(StoreChanged((record,), (), 6), service)
    handle_message(RequestCleared(CLEARANCE), service)
    run(service, kernel, 10.0, writer)
    assert kernel.store.writes == 0
    assert read_update(kernel).clearances == (wider,)


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"[" * 100_000,
        b'["i-1",7,[]]',
        b'["i-1",7,["short"]]',
        b'["i-1",-1,["0123456789abcdef0123456789abcdef"]]',
        b'["i-2",7,["0123456789abcdef0123456789abcdef"]]',
    ],
)
def test_odd_record_is_refused_and_the_others_hold(service, kernel, value):
    records = (Record(KEY, 5, value), Record(PREFIX + "odd", 5, b"{}"))
    good = ServerEnd("i-3", 9, (FINGERPRINT,))
    records += (Record(build_end_key(good), 5, encode_end(good)),)
    handle_message(StoreListed(records, 5), service)
    assert read_update(kernel) == UpdateContainment({build_end_key(good): good}, ())
    with pytest.raises(DecodingError):
        decode_end(KEY, value)


def test_unwritten_records_are_bounded(service, writer, kernel):
    kernel.store.unreachable = True
    for born in range(2 * MAX_UNWRITTEN):
        handle_message(ServerEnded(ServerEnd("i-1", born, (FINGERPRINT,))), service)
    kernel.store.unreachable = False
    run(service, kernel, 60.0, writer)
    assert len(kernel.store.records) == MAX_UNWRITTEN


def test_end_of_another_node_is_used_without_the_store_until_its_deadline(
    service, kernel
):
    learned = RecordsLearned({KEY: encode_end(END)}, {KEY: kernel.clock.now() + 20.0})
    handle_message(learned, service)
    assert read_update(kernel) == UpdateContainment({KEY: END}, ())
    handle_message(StoreListed((), 1), service)
    assert read_update(kernel).ends == {KEY: END}
    shared = kernel.pop_posted("containment-peers")[-1]
    assert shared == ShareRecords(learned.values, learned.deadlines)
    run(service, kernel, 21.0)
    assert read_update(kernel).ends == {}
    assert kernel.pop_posted("containment-writer") == []


def test_known_and_outdated_records_of_another_node_change_nothing(service, kernel):
    handle_message(ServerEnded(END), service)
    read_update(kernel)
    later = build_end_key(ServerEnd("i-2", 8, (FINGERPRINT,)))
    values = {KEY: encode_end(END), later: b"{}"}
    handle_message(RecordsLearned(values, dict.fromkeys(values, 500.0)), service)
    outdated = RecordsLearned({KEY: encode_end(END)}, {KEY: kernel.clock.now()})
    handle_message(outdated, service)
    assert kernel.pop_posted("forwarding") == []


def test_end_is_forgotten_when_the_store_removes_it(service, kernel):
    handle_message(ServerEnded(END), service)
    handle_message(StoreListed((Record(KEY, 5, encode_end(END)),), 5), service)
    handle_message(StoreListed((), 9), service)
    assert read_update(kernel).ends == {}


# A narrower clearance of another node replaced a wider one.
def test_clearances_of_two_nodes_are_joined_and_the_joined_one_is_written(
    service, writer, kernel
):
    handle_message(RequestCleared(CLEARANCE), service)
    run(service, kernel, MAX_CLEARANCE_DELAY_S, writer)
    other = Clearance(FINGERPRINT, frozenset((KEY[:-1] + "0",)))
    key = f"{PREFIX}cleared/{FINGERPRINT}"
    kernel.store.put(key, encode_clearance(other))
    handle_message(StoreChanged((kernel.store.records[key],), (), 9), service)
    joined = Clearance(FINGERPRINT, CLEARANCE.ends | other.ends)
    assert read_update(kernel).clearances == (joined,)
    run(service, kernel, MAX_CLEARANCE_DELAY_S, writer)
    assert decode_clearance(kernel.store.records[key].value) == joined
