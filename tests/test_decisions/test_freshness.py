"""Proofs of freshness, and a model of a fleet that is frozen, cut and lied to.

The load: withdrawals of a key every few seconds, and requests with it at every node.
"""

from __future__ import annotations

import math
from random import Random

import pytest

from monsoontray.decisions.freshness import (
    LIFETIME_SHARE,
    Freshness,
    Proof,
    adopt_proof,
    compute_lead,
)

BOUND_S = 5.0
NODES = 6
STEPS = 4_000


def test_proof_lasts_nearly_as_long_as_a_withdrawn_key_may_be_taken():
    freshness = Freshness(BOUND_S)
    assert not freshness.is_fresh(100.0)
    assert freshness.prove(Proof(100.0, 7))
    last = 100.0 + LIFETIME_SHARE * BOUND_S
    assert freshness.is_fresh(last)
    assert not freshness.is_fresh(last + 0.01)
    assert last < 100.0 + BOUND_S


def test_earlier_proof_changes_nothing():
    freshness = Freshness(BOUND_S)
    freshness.prove(Proof(100.0, 7))
    freshness.prove(Proof(50.0, 8))
    assert freshness.is_fresh(104.0)


def test_store_whose_revision_went_back_proves_nothing():
    freshness = Freshness(BOUND_S)
    assert not freshness.prove(Proof(100.0, 6), newest_revision=7)
    assert not freshness.is_fresh(100.0)


def test_node_without_a_bound_needs_no_proof():
    freshness = Freshness(0.0)
    assert freshness.is_fresh(100.0)
    assert not freshness.must_hurry(100.0)
    assert not freshness.is_overdue(100.0)


def test_adopted_proof_is_never_later_than_the_proof_itself():
    """The asked node's clock is 900 s ahead; the request takes 0.2 s to arrive."""
    lead_s = compute_lead(Proof(1_000.1, 7), received_at=1_000.4)
    adopted = adopt_proof(100.2, lead_s, 7)
    assert adopted.at == pytest.approx(99.9)
    assert adopted.at <= 100.1


@pytest.mark.parametrize("lead_s", [math.nan, math.inf])
def test_lead_that_is_no_number_proves_nothing(lead_s):
    assert adopt_proof(100.0, lead_s, 7) is None


class Store:
    """The store: a revision, and the versions of the configuration."""

    def __init__(self):
        self.revision = 1
        self.version = 1
        self.withdrawn_at = {}  # by the version that still had the key

    def write(self, now):
        self.revision += 1
        self.withdrawn_at[self.version] = now
        self.version += 1


class Node:
    """Node with a clock of its own; ``reads`` are answers on their way to it."""

    def __init__(self, random):
        self.offset = random.uniform(-1e6, 1e6)
        self.freshness = Freshness(BOUND_S)
        self.revision = 0
        self.version = 0
        self.proof = None
        self.reads = []  # due, asked at by its clock, lead, revision, version
        self.frozen_until = 0.0
        self.cut_until = 0.0

    def clock(self, now):
        return now + self.offset

    def take(self, asked_at, lead_s, revision, version):
        if revision >= self.revision:
            self.revision, self.version = revision, version
        proof = adopt_proof(asked_at, lead_s, revision)
        if self.freshness.prove(proof, self.revision):
            self.proof = proof


def read(store, nodes, node, random, now):
    """Start one read: of the store, of a copy of it, or through another node."""
    asked_at = node.clock(now)
    out_s, back_s = random.choice((0.01, 0.3, 2.0)), random.choice((0.01, 0.5, 4.0))
    source = random.choice(("store", "store", "node", "copy", "lost"))
    if source == "lost" or now < node.cut_until:
        return None
    if source == "node":
        other = random.choice(nodes)
        if other is node or now < other.cut_until:
            return None
        return now + out_s, back_s, other, asked_at
    answers = store if source == "store" else None
    return now + out_s, back_s, answers, asked_at


def answer(store, node, source, asked_at, now):
    """Return what a read finds at the moment at which it is answered."""
    if source is None:  # a copy that is behind what the node knows
        return asked_at, 0.0, node.revision - 1, node.version - 1
    if isinstance(source, Store):
        return asked_at, 0.0, store.revision, store.version
    if source.proof is None or now < source.frozen_until:
        return None
    lead_s = compute_lead(source.proof, source.clock(now))
    return asked_at, lead_s, source.revision, source.version


@pytest.mark.parametrize("seed", range(12))
def test_no_request_with_a_withdrawn_key_is_taken_after_the_bound(seed):
    random = Random(seed)
    store = Store()
    nodes = [Node(random) for _ in range(NODES)]
    asked = []  # due at the source, time of the answer's way, source, asked at, node
    now, taken, refused, late = 0.0, 0, 0, 0
    for _ in range(STEPS):
        now += random.uniform(0.0, 0.05)
        if random.random() < 0.01:
            store.write(now)
        node = random.choice(nodes)
        if random.random() < 0.01:
            node.frozen_until = now + random.choice((0.5, 3.0, 8.0))
        if random.random() < 0.01:
            node.cut_until = now + random.choice((1.0, 12.0))
        if now >= node.frozen_until:
            begun = read(store, nodes, node, random, now)
            if begun is not None:
                asked.append((*begun, node))
        for entry in [each for each in asked if each[0] <= now]:
            asked.remove(entry)
            _, back_s, source, asked_at, reader = entry
            found = answer(store, reader, source, asked_at, now)
            if found is not None:
                reader.reads.append((now + back_s, found))
        for each in nodes:
            if now < each.frozen_until:
                continue
            # Requests come first: a thawed node has not read its answers yet.
            if each.freshness.is_fresh(each.clock(now)):
                taken += 1
                withdrawn_at = store.withdrawn_at.get(each.version, math.inf)
                late += now > withdrawn_at
                assert now <= withdrawn_at + BOUND_S
            else:
                refused += 1
            due = [entry for entry in each.reads if entry[0] <= now]
            each.reads = [entry for entry in each.reads if entry[0] > now]
            for _, found in due:
                each.take(*found)
    assert taken > STEPS
    assert refused > 100
    assert late > 100  # otherwise the bound was never tried
