"""Decisions on requests that end servers, alone and in a model of a busy fleet."""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count
from random import Random

import pytest

from monsoontray.decisions.containment import (
    COMPLETION_MEMORY_S,
    MAX_COMPLETIONS,
    MAX_CONTAINED,
    Clearance,
    Containment,
    ServerEnd,
)

CAUSE = "c" * 32
OTHER = "d" * 32
THIRD = "e" * 32


def build_ends(*groups):
    return {f"end-{i}": ServerEnd(f"i-{i}", i, group) for i, group in enumerate(groups)}


def build_containment(*groups, clearances=(), now=0.0):
    containment = Containment()
    containment.update(build_ends(*groups), clearances, now)
    return containment


def test_request_is_refused_from_the_third_end():
    containment = build_containment((CAUSE,), (CAUSE,))
    assert not containment.is_contained(CAUSE)
    assert containment.is_suspect(CAUSE)
    assert containment.update(build_ends(*[(CAUSE,)] * 3), (), 1.0) == [CAUSE]
    assert containment.is_contained(CAUSE)
    assert containment.needs_fingerprint(CAUSE[:16])
    assert not containment.needs_fingerprint(OTHER[:16])
    assert containment.update(build_ends(*[(CAUSE,)] * 4), (), 2.0) == []


def test_evidence_of_an_end_is_divided_among_its_requests():
    group = (CAUSE, OTHER, THIRD, "f" * 32)
    containment = build_containment(group, group, group)
    assert not containment.is_contained(CAUSE)
    containment.update(build_ends(group, group, group, (CAUSE,)), (), 1.0)
    assert containment.is_contained(CAUSE)
    assert not containment.is_contained(OTHER)


def test_only_suspects_are_candidates_for_a_further_end():
    containment = build_containment((CAUSE,))
    assert containment.select_candidates((OTHER, CAUSE)) == (CAUSE,)
    assert containment.select_candidates((OTHER, THIRD)) == (OTHER, THIRD)


def test_request_that_completed_shortly_before_its_ends_is_not_refused():
    containment = Containment()
    containment.record_completion(OTHER, 1.0)
    containment.update(build_ends(*[(OTHER,)] * 3), (), 2.0)
    assert not containment.is_contained(OTHER)
    assert containment.build_clearances() == [
        Clearance(OTHER, frozenset(("end-0", "end-1", "end-2")))
    ]


def test_completion_long_before_the_ends_does_not_clear_a_request():
    containment = Containment()
    containment.record_completion(CAUSE, 1.0)
    ends = build_ends(*[(CAUSE,)] * 3)
    containment.update(ends, (), 1.0 + COMPLETION_MEMORY_S)
    assert containment.is_contained(CAUSE)


def test_clearance_of_another_node_ends_a_refusal():
    ends = build_ends(*[(OTHER,)] * 3)
    containment = Containment()
    containment.update(ends, (), 1.0)
    assert containment.is_contained(OTHER)
    containment.update(ends, (Clearance(OTHER, frozenset(ends)),), 2.0)
    assert not containment.is_contained(OTHER)
    assert not containment.is_suspect(OTHER)


def test_clearance_does_not_cover_later_ends():
    ends = build_ends(*[(CAUSE,)] * 3)
    clearance = Clearance(CAUSE, frozenset(ends))
    later = {f"later-{i}": ServerEnd(f"j-{i}", i, (CAUSE,)) for i in range(3)}
    containment = Containment()
    containment.update({**ends, **later}, (clearance,), 1.0)
    assert containment.is_contained(CAUSE)


def test_ends_that_do_not_suffice_for_a_refusal_need_no_clearance():
    containment = build_containment((OTHER,), (OTHER,))
    containment.record_completion(OTHER, 1.0)
    assert containment.build_clearance(OTHER) is None
    assert not containment.is_suspect(OTHER)


def test_request_stays_refused_when_the_records_of_its_ends_expire():
    containment = build_containment(*[(CAUSE,)] * 3)
    containment.update({}, (), 600.0)
    assert containment.is_contained(CAUSE)
    assert containment.needs_fingerprint(CAUSE[:16])


LONG = CAUSE + "1" * 16
SIBLING = CAUSE + "2" * 16  # differs in the rest of a long body only


# A request that completed cleared one whose body differed only after 16 KB.
def test_completion_does_not_clear_a_request_with_the_same_start_of_its_body():
    containment = Containment()
    containment.record_completion(SIBLING, 1.0)
    containment.update(build_ends(*[(LONG,)] * 3), (), 2.0)
    assert containment.is_contained(LONG)
    assert not containment.is_contained(SIBLING)
    assert containment.needs_body(CAUSE)
    assert not containment.needs_body(OTHER)


def test_request_that_ended_servers_before_its_rest_was_sent_is_refused():
    containment = build_containment(*[(CAUSE,)] * 3)
    assert containment.is_contained(LONG)
    containment.record_completion(SIBLING, 1.0)
    assert not containment.is_contained(LONG)


def test_memory_is_bounded():
    containment = Containment()
    for i in range(2 * MAX_CONTAINED):
        containment.update(build_ends(*[(f"{i:032x}",)] * 3), (), 0.0)
    assert containment.count_contained() == MAX_CONTAINED
    for i in range(2 * MAX_COMPLETIONS):
        containment.record_completion(f"{i:032x}", 1.0)
    assert len(containment._completed_at) == MAX_COMPLETIONS


SLOTS = 6
SHARE_S = 0.7  # time after which all nodes know of an end
RESTART_S = 3.0
BOUND_S = 3.0
LENGTH_S = 30.0


class FleetModel:
    """Servers that run requests of which one kind ends them, and their nodes.

    The pattern: every second some requests that end servers arrive among ordinary ones,
    of which some are the same again and again.
    """

    def __init__(self, seed, servers, calls_per_s, same_share):
        self.random = Random(seed)
        self.nodes = [Containment() for _ in range(servers)]
        self.running = [{} for _ in range(servers)]  # run number -> fingerprint
        self.down_until = [0.0] * servers
        self.calls_per_s = calls_per_s
        self.same_share = same_share
        self.ends = {}
        self.cause_arrivals = []
        self.refused_others = set()
        self._events = []
        self._numbers = count()

    def run(self):
        self.schedule(0.0, self.send_other)
        self.schedule(5.0, self.send_cause)
        while self._events and self._events[0][0] < LENGTH_S:
            self.now, _, action, arguments = heappop(self._events)
            action(*arguments)

    def schedule(self, at, action, *arguments):
        heappush(self._events, (at, next(self._numbers), action, arguments))

    def send_other(self):
        is_same = self.random.random() < self.same_share
        number = self.random.randrange(20) if is_same else next(self._numbers) + 20
        self.offer(f"{number:032x}")
        pause_s = self.random.expovariate(self.calls_per_s)
        self.schedule(self.now + pause_s, self.send_other)

    def send_cause(self):
        self.offer(CAUSE)
        self.schedule(self.now + self.random.uniform(0.05, 0.6), self.send_cause)

    def offer(self, fingerprint, attempts=2):
        """Send a request to a random server whose guard may run it."""
        for i in self.random.sample(range(len(self.nodes)), len(self.nodes)):
            node, running = self.nodes[i], self.running[i]
            if node.is_contained(fingerprint):
                if fingerprint != CAUSE:
                    self.refused_others.add(fingerprint)
                return
            is_apart = not node.is_suspect(fingerprint) or not any(
                node.is_suspect(each) for each in running.values()
            )
            if self.now >= self.down_until[i] and len(running) < SLOTS and is_apart:
                break
        else:
            return
        if fingerprint == CAUSE:
            self.cause_arrivals.append(self.now)
        number = next(self._numbers)
        running[number] = fingerprint
        run_s = self.random.uniform(0.03, 0.15)
        self.schedule(self.now + run_s, self.finish, i, number, attempts - 1)

    def finish(self, i, number, attempts):
        fingerprint = self.running[i].pop(number, None)
        if fingerprint is None:
            return
        if fingerprint != CAUSE:
            self.nodes[i].record_completion(fingerprint, self.now)
            return
        lost = [fingerprint, *self.running[i].values()]
        self.running[i].clear()
        self.down_until[i] = self.now + RESTART_S
        end = ServerEnd(f"i-{i}", number, self.nodes[i].select_candidates(lost))
        self.ends = {**self.ends, f"end-{number}": end}
        self.nodes[i].update(self.ends, (), self.now)
        self.schedule(self.now + SHARE_S, self.share)
        for each in lost:
            if attempts:
                self.offer(each, attempts)

    def share(self):
        for node in self.nodes:
            node.update(self.ends, (), self.now)


@pytest.mark.parametrize(("servers", "calls_per_s"), [(6, 60), (10, 300), (40, 1_600)])
@pytest.mark.parametrize("seed", range(5))
def test_busy_fleet_refuses_the_cause_and_nothing_else(seed, servers, calls_per_s):
    model = FleetModel(seed, servers, calls_per_s, 0.5)
    model.run()
    third_end_at = sorted(model.cause_arrivals)[2] + 0.15  # the longest run
    late = [at for at in model.cause_arrivals if at > third_end_at + BOUND_S]
    assert len(late) <= 3
    assert all(node.is_contained(CAUSE) for node in model.nodes)
    assert model.refused_others == set()
