"""From the end of a server to the refusal at every node, with drawn delays."""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count
from random import Random

import pytest

from monsoontray.decisions.containment import Containment, ServerEnd

NODES = 6
STABLE_WINDOW_S = 3.0  # after the third end, in which the fleet may learn of it
ALLOWED_RETRIES = 3  # that reach servers later
FATAL_GAP_S = 0.7
UPLOAD_GAP_S = 0.05
DURATION_S = 40.0
#: Longest times until the guard records an end: the deadline of a request whose
#: connection stays open, or the return of a server that never refused a connection.
DEADLINE_S, RETURN_S = 0.85, 2.1
MAX_SHARING_S = 1.0  # until another node knows of an end
MAX_BESIDE = 5  # uploads that an end takes with it
FATAL = "f" * 32


class Fleet:
    """Nodes with what they know, and the uploads that their servers run."""

    def __init__(self, seed, detection_s):
        self.random = Random(seed)
        self.detection_s = detection_s
        self.known = [Containment() for _ in range(NODES)]
        self.ends = [{} for _ in range(NODES)]  # as each node knows them, by key
        self.is_up = [True] * NODES
        self.ended_at = []
        self.now = 0.0
        self._numbers = count()
        self._events = []

    def add(self, at, handle, *values):
        heappush(self._events, (at, next(self._numbers), handle, values))

    def run(self):
        for number in range(int(DURATION_S / FATAL_GAP_S)):
            self.add(number * FATAL_GAP_S, self.send_fatal, number % NODES)
        for number in range(int(DURATION_S / UPLOAD_GAP_S)):
            self.add(number * UPLOAD_GAP_S, self.complete, self.build_upload())
        while self._events:
            self.now, _, handle, values = heappop(self._events)
            handle(*values)

    def build_upload(self):
        """Return the fingerprint of an upload with the same head as the fatal one."""
        return FATAL[:16] + f"{next(self._numbers):016x}"

    def complete(self, upload):
        for node in self.random.sample(range(NODES), 2):  # the entry and the guard
            self.known[node].record_completion(upload, self.now)

    def send_fatal(self, entry):
        up = [node for node in range(NODES) if self.is_up[node]]
        if not up or self.known[entry].is_contained(FATAL):
            return
        guard = self.random.choice(up)
        if self.known[guard].is_contained(FATAL):
            return
        self.ended_at.append(self.now)
        self.is_up[guard] = False
        beside = [
            self.build_upload() for _ in range(self.random.randint(0, MAX_BESIDE))
        ]
        # Clients send uploads that were lost again, and these complete elsewhere.
        for upload in beside:
            self.add(self.now + self.random.uniform(0.0, 1.0), self.complete, upload)
        recorded_at = self.now + self.random.uniform(0.02, self.detection_s)
        self.add(recorded_at, self.record_end, guard, [FATAL, *beside])
        self.add(self.now + RETURN_S, self.return_server, guard)

    def return_server(self, node):
        self.is_up[node] = True

    def record_end(self, guard, lost):
        self.random.shuffle(lost)
        candidates = self.known[guard].select_candidates(lost)
        number = next(self._numbers)
        end = ServerEnd(f"i-{guard}-{number}", number, candidates)
        self.learn(guard, end)
        for node in set(range(NODES)) - {guard}:
            delay_s = self.random.uniform(0.0, MAX_SHARING_S)
            self.add(self.now + delay_s, self.learn, node, end)

    def learn(self, node, end):
        self.ends[node][end.server] = end
        self.known[node].update(self.ends[node], (), self.now)


@pytest.mark.parametrize("detection_s", [0.05, DEADLINE_S, RETURN_S])
@pytest.mark.parametrize("seed", range(40))
def test_request_that_ended_three_servers_is_refused_everywhere_in_time(
    seed, detection_s
):
    fleet = Fleet(seed, detection_s)
    fleet.run()
    third_at = fleet.ended_at[2]
    late = [at for at in fleet.ended_at if at > third_at + STABLE_WINDOW_S]
    assert len(late) <= ALLOWED_RETRIES


def test_uploads_beside_the_fatal_one_are_not_refused():
    fleet = Fleet(1, DEADLINE_S)
    fleet.run()
    for known in fleet.known:
        assert known.is_contained(FATAL)
        assert known.count_contained() == 1
