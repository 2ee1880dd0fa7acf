"""Proofs of the store's reader: when they are given, and that changes go first."""

from __future__ import annotations

import pytest

from monsoontray.decisions.freshness import Proof
from monsoontray.decisions.sources import StoreAccess
from monsoontray.discovery.encoding import decode_response, encode_response
from monsoontray.discovery.messages import (
    ChooseStoreAccess,
    ReadMirror,
    StoreChanged,
    StoreListed,
    StoreProven,
)
from monsoontray.discovery.mirror import Mirror, handle_message
from monsoontray.discovery.mirror_client import PeerUpdate
from monsoontray.discovery.watch import POLL_WAIT_S, StoreWatch
from monsoontray.kernel.mailbox import Reply
from monsoontray.store.outcomes import Record
from tests.fakes import FakeKernel, record_waits
from tests.test_decisions.test_directory import build_node

BOUND_S = 5.0


@pytest.fixture
def kernel():
    kernel = FakeKernel(key_withdrawal_s=BOUND_S)
    kernel.replies["membership"] = ()
    kernel.store.put("op/config", b"1")
    return kernel


def pop_proofs(kernel, service="operator"):
    posted = kernel.pop_posted(service)
    return [each.proof for each in posted if isinstance(each, StoreProven)]


def test_proof_is_as_of_the_moment_before_the_read_and_follows_its_changes(kernel):
    watch = StoreWatch(kernel)
    watch.read()
    listed, proven = kernel.pop_posted("operator")
    assert isinstance(listed, StoreListed)
    assert proven.proof == Proof(100.0, kernel.store.revision)
    kernel.store.put("op/config", b"2")
    read_watch = kernel.store.watch_prefix

    def answer_late(*arguments):
        kernel.clock.advance(0.7)
        return read_watch(*arguments)

    kernel.store.watch_prefix = answer_late
    watch.read()
    changed, proven = kernel.pop_posted("operator")
    assert isinstance(changed, StoreChanged)
    assert proven.proof == Proof(100.0, kernel.store.revision)
    assert len(pop_proofs(kernel, "mirror")) == 2


def test_failed_read_and_forgotten_history_prove_nothing(kernel):
    watch = StoreWatch(kernel)
    watch.read()
    pop_proofs(kernel)
    kernel.store.compacted = True
    watch.read()
    kernel.store.unreachable = True
    watch.read()
    assert pop_proofs(kernel) == []


def test_store_that_comes_back_from_a_copy_proves_nothing(kernel):
    watch = StoreWatch(kernel)
    watch.read()
    pop_proofs(kernel)
    kernel.store.revision -= 1
    kernel.store.events.clear()
    watch.read()
    watch._revision = None
    watch.read()
    assert pop_proofs(kernel) == []


def test_watches_are_short_enough_to_prove_in_time(kernel):
    waits = record_waits(kernel.store)
    watch = StoreWatch(kernel)
    watch.read()
    watch.read()
    assert 0.0 < waits[0] <= BOUND_S / 5


def test_nothing_is_proven_where_keys_may_be_taken_without_limit():
    kernel = FakeKernel()
    kernel.replies["membership"] = ()
    watch = StoreWatch(kernel)
    watch.read()
    watch.read()
    assert pop_proofs(kernel) == pop_proofs(kernel, "mirror") == []


class Readers:
    """Readers of the store, whose updates have the given proofs."""

    def __init__(self, watch):
        self.proofs = {}  # by name of the reader
        self.polled = []  # names and waits
        watch._mirror_client = self

    def add_delta_bases(self, records):
        pass

    def poll_reader(self, source, known_revision, wait_s):
        self.polled.append((source.node, wait_s))
        proof = self.proofs.get(source.node)
        return PeerUpdate(known_revision, True, False, (), (), proof)


def test_reader_that_proves_nothing_is_replaced_before_the_bound(kernel):
    sources = (build_node("near"), build_node("far"))
    watch = StoreWatch(kernel)
    watch.read()
    pop_proofs(kernel)
    kernel.replies[("membership", ChooseStoreAccess)] = StoreAccess(sources)
    readers = Readers(watch)
    readers.proofs["far"] = Proof(103.0, kernel.store.revision)
    watch.read()
    assert readers.polled == [("near", POLL_WAIT_S)]
    kernel.clock.advance(0.7 * BOUND_S)
    watch.read()
    watch.read()
    assert readers.polled[1:] == [("near", 0.0), ("far", 0.0)]
    assert pop_proofs(kernel) == [Proof(103.0, kernel.store.revision)]


def test_mirror_gives_its_proof_relative_to_the_request():
    kernel = FakeKernel()
    mirror = Mirror(kernel)
    handle_message(StoreProven(Proof(90.0, 3)), mirror)

    def ask(received_at):
        reply = Reply(kernel.clock)
        handle_message(ReadMirror(2, 0.0, reply, received_at), mirror)
        return decode_response(encode_response(reply.wait(kernel.clock.now())))

    assert ask(95.0).proof_lead_s is None  # before the first listing
    handle_message(StoreListed((Record("op/a", 3, b"a"),), 3), mirror)
    handle_message(StoreProven(Proof(92.0, 4)), mirror)
    assert (ask(95.0).proof_lead_s, ask(95.0).proof_revision) == (-3.0, 4)
    assert ask(None).proof_lead_s is None
