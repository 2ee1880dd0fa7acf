"""Seeded model of three services whose servers call each other, without a network."""

from __future__ import annotations

import heapq
from collections import defaultdict
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random

from monsoontray.decisions.guard import Granted, GuardState, Queued
from monsoontray.decisions.outcomes import Ran, Reason, Refusal
from monsoontray.decisions.retries import MAX_OFFERS, AttemptHistory
from monsoontray.decisions.servers import (
    Endpoint,
    LoadView,
    Location,
    ServerRecord,
    ServerState,
    choose_server,
)
from monsoontray.decisions.shedding import spread_return
from monsoontray.decisions.waiting import SlotRequest

SLOTS = 3
NODES = 10
RECHECK_S = 0.1
MIN_RETRY_S = 0.05
TRANSIT_S = 0.001
LOCATION = Location("n", "r", "z")


@dataclass(frozen=True, slots=True)
class Kind:
    """Kind of calls: where they go, how long they take and what they earn."""

    name: str
    service: str
    per_s: float
    work_s: float
    spread: float
    aim_s: float
    timeout_s: float
    deadline_s: float
    priority: int
    idempotent: bool = True
    inner: str = ""  # kind of the call that a run makes
    inner_share: float = 0.7
    together: bool = False  # the inner call runs beside the work, else after half
    late_credit: float = 0.1


KINDS = {
    kind.name: kind
    for kind in (
        Kind("lookup", "portal", 150, 0.22, 0.3, 0.6, 2, 4, 1, True, "check", 0.7, 1),
        Kind("request", "desk", 52, 0.29, 0.8, 2, 3, 6, 2, False, "read"),
        Kind("post", "ledger", 42, 0.15, 0.5, 0.6, 2, 4, 1, False),
        Kind("schedule", "ledger", 47, 0.088, 0.8, 0.4, 1.2, 2.5, 0),
        Kind("check", "desk", 0, 0.055, 0.5, 0.2, 0.6, 0.6, 2),
        Kind("read", "ledger", 0, 0.055, 0.5, 0.2, 0.6, 0.6, 2),
    )
}
FLEET = {"portal": 20, "desk": 13, "ledger": 7}


@dataclass(frozen=True, slots=True)
class Burst:
    """Time in which calls of some kinds come more often."""

    start: float
    end: float
    factor: float
    kinds: tuple[str, ...]


@dataclass(slots=True, eq=False)
class Caller:
    """Client's request over all its attempts, or a server's inner call."""

    kind: Kind
    started_at: float
    node: int
    done: object  # called with whether it succeeded, for inner calls
    deadline: float
    retries_left: int = 2


@dataclass(slots=True, eq=False)
class ModelCall:
    """One attempt of a caller, as the entry node sees it."""

    caller: Caller
    deadline: float
    objective: float
    history: AttemptHistory = field(default_factory=AttemptHistory)
    server: str = ""
    began_at: float = -1.0
    ended: bool = False
    pending: int = 0


class ChainModel:
    """Discrete-event simulation of entry nodes, guards and servers."""

    def __init__(self, seed: int, bursts=(), leaving=()) -> None:
        self.random = Random(seed)
        self.bursts = bursts
        self.events: list = []
        self.sequence = count()
        self.now = 0.0
        self.guards: dict[str, GuardState] = {}
        self.speeds: dict[str, float] = {}
        self.endpoints: dict[str, list[Endpoint]] = defaultdict(list)
        self.views = [LoadView() for _ in range(NODES)]
        self.asked = defaultdict(float)  # credit asked by second of the first attempt
        self.earned = defaultdict(float)
        self.counts = defaultdict(lambda: defaultdict(int))
        for service, size in FLEET.items():
            for i in range(size):
                self._add_server(f"{service}-{i}", service, (0.7, 0.7, 1.6)[i % 3])
        for at, server in leaving:
            self.schedule(at, partial(self.leave, server))
        for kind in KINDS.values():
            if kind.per_s:
                self.arrive(kind)
        self.recheck()

    def run(self, until_s: float) -> ChainModel:
        """Play until a time in seconds."""
        while self.events and self.events[0][0] < until_s:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self

    def credit(self, second: int) -> float:
        """Return the share of the credit earned by calls that began in a second."""
        return self.earned[second] / self.asked[second] if self.asked[second] else 1.0

    def schedule(self, at: float, action) -> None:
        heapq.heappush(self.events, (at, next(self.sequence), action))

    def arrive(self, kind: Kind) -> None:
        factor = 1.0
        for burst in self.bursts:
            if burst.start <= self.now < burst.end and kind.name in burst.kinds:
                factor = burst.factor
        gap_s = self.random.expovariate(kind.per_s * factor)
        self.schedule(self.now + gap_s, partial(self.arrive, kind))
        caller = Caller(
            kind,
            self.now,
            self.random.randrange(NODES),
            None,
            self.now + kind.deadline_s,
        )
        self.asked[int(self.now)] += 1.0
        self.counts[kind.name]["asked"] += 1
        self.attempt(caller)

    def attempt(self, caller: Caller) -> None:
        kind = caller.kind
        deadline = min(caller.deadline, self.now + kind.timeout_s)
        call = ModelCall(caller, deadline, caller.started_at + kind.aim_s)
        self.schedule(deadline, partial(self.expire, call))
        self.offer(call)

    def offer(self, call: ModelCall) -> None:
        if call.ended:
            return
        history = call.history
        view = self.views[call.caller.node]
        history.offers += 1
        no_wait = history.is_no_wait()
        excluded = {*history.tried, *(history.busy if no_wait else ())}
        found = self.choose(call, excluded) if no_wait else None
        if found is None:
            no_wait, found = False, self.choose(call, history.tried)
        if found is None:
            self.end(
                call, history.last_refusal or Refusal(Reason.NO_SERVER, Ran.NOT_RUN)
            )
            return
        call.server = found.server
        view.begin_call(found.server)
        guard = self.guards[found.server]
        kind = call.caller.kind
        request = SlotRequest(
            call.deadline,
            kind.priority,
            call.objective,
            kind.name,
            not no_wait,
            kind.idempotent,
            nested=kind.per_s == 0,
        )
        outcome = guard.request_slot(call, request, self.now)
        if isinstance(outcome, Granted):
            self.begin(call)
        elif not isinstance(outcome, Queued):
            self.refuse(call, outcome)

    def choose(self, call: ModelCall, excluded) -> Endpoint | None:
        kind = call.caller.kind
        return choose_server(
            self.endpoints[kind.service],
            "",
            LOCATION,
            excluded,
            self.views[call.caller.node],
            self.now,
            self.random,
            may_explore=kind.idempotent,
            route=kind.name,
        )

    def refuse(self, call: ModelCall, refusal: Refusal) -> None:
        self.respond(call)
        call.history.record_failure(call.server, refusal)
        if call.history.offers < MAX_OFFERS and refusal.ran is Ran.NOT_RUN:
            self.schedule(self.now + TRANSIT_S, partial(self.offer, call))
        else:
            self.end(call, refusal)

    def respond(self, call: ModelCall) -> None:
        view, name = self.views[call.caller.node], call.caller.kind.name
        view.end_call(call.server)
        report = self.guards[call.server].report_load(self.now, name)
        view.record_response(call.server, report, self.now, name)

    def begin(self, call: ModelCall) -> None:
        kind, guard = call.caller.kind, self.guards[call.server]
        call.began_at = self.now
        guard.record_sent(call, self.now)
        slowdown = 1.0 + 0.3 * guard.in_use / SLOTS
        mean = (
            self.random.lognormvariate(-(kind.spread**2) / 2, kind.spread) * kind.work_s
        )
        work_s = mean * slowdown / 1.15 / self.speeds[call.server]
        call.pending = 1
        self.schedule(self.now + work_s, partial(self.finish_part, call, True))
        if kind.inner and self.random.random() < kind.inner_share:
            call.pending = 2
            delay_s = 0.0 if kind.together else work_s / 2
            self.schedule(self.now + delay_s, partial(self.call_inner, call))

    def call_inner(self, call: ModelCall) -> None:
        if call.ended:
            return
        kind = KINDS[call.caller.kind.inner]
        deadline = min(call.deadline, self.now + kind.deadline_s)
        node = (
            hash(call.server) % NODES
            if False
            else int(call.server.split("-")[1]) % NODES
        )
        done = partial(self.finish_part, call)
        self.attempt(Caller(kind, self.now, node, done, deadline, 0))

    def finish_part(self, call: ModelCall, succeeded: bool) -> None:
        if call.ended:
            return
        call.pending -= 1
        if call.pending and succeeded:
            return
        self.leave_server(call, failed=not succeeded)
        self.end(
            call, None if succeeded else Refusal(Reason.SERVER_FAILED, Ran.UNKNOWN)
        )

    def leave_server(self, call: ModelCall, failed: bool) -> None:
        guard = self.guards[call.server]
        guard.record_result(self.now - call.began_at, failed, call.caller.kind.name)
        self.respond(call)
        self.release(guard)

    def release(self, guard: GuardState) -> None:
        self.drop_overdue(guard)
        granted = guard.release_slot(self.now)
        if granted is not None:
            self.begin(granted)

    def drop_overdue(self, guard: GuardState) -> None:
        while (overdue := guard.pop_overdue(self.now)) is not None:
            self.refuse(overdue, Refusal(Reason.NO_SLOT, Ran.NOT_RUN, guard.service_s))

    def expire(self, call: ModelCall) -> None:
        if call.ended:
            return
        guard = self.guards.get(call.server)
        ran = Ran.UNKNOWN if call.began_at >= 0 else Ran.NOT_RUN
        if call.began_at >= 0:
            self.respond(call)
            self.release(guard)
        elif guard is not None and guard.remove_waiting(call):
            self.respond(call)
        self.end(call, Refusal(Reason.DEADLINE_PASSED, ran))

    def end(self, call: ModelCall, refusal: Refusal | None) -> None:
        if call.ended:
            return
        call.ended = True
        caller, kind = call.caller, call.caller.kind
        if caller.done is not None:
            if refusal is not None:
                self.counts[kind.name]["failed"] += 1
            caller.done(refusal is None)
        elif refusal is None:
            on_time = self.now <= caller.started_at + kind.aim_s
            credit = 1.0 if on_time else kind.late_credit
            self.earned[int(caller.started_at)] += credit
            self.counts[kind.name]["on time" if on_time else "late"] += 1
        else:
            self.come_back(caller, refusal)

    def come_back(self, caller: Caller, refusal: Refusal) -> None:
        left_s = caller.deadline - self.now
        repeatable = caller.kind.idempotent or refusal.ran is not Ran.UNKNOWN
        if not caller.retries_left or left_s < MIN_RETRY_S or not repeatable:
            self.counts[caller.kind.name]["failed"] += 1
            return
        caller.retries_left -= 1
        objective = caller.started_at + caller.kind.aim_s
        refusal = spread_return(
            refusal, caller.deadline, objective, self.now, self.random
        )
        delay_s = min(max(refusal.retry_after_s, MIN_RETRY_S), left_s / 3)
        self.schedule(self.now + delay_s, partial(self.attempt, caller))

    def recheck(self) -> None:
        for guard in self.guards.values():
            self.drop_overdue(guard)
        self.schedule(self.now + RECHECK_S, self.recheck)

    def leave(self, server: str) -> None:
        guard = self.guards[server]
        guard.mark_leaving()
        servers = self.endpoints[server.split("-")[0]]
        servers[:] = [each for each in servers if each.server != server]
        for call in list(guard.waiting):
            guard.remove_waiting(call)
            self.refuse(call, Refusal(Reason.SERVER_LEAVING, Ran.NOT_RUN))

    def _add_server(self, name: str, service: str, speed: float) -> None:
        record = ServerRecord(name, service, "v1", (), SLOTS, 400, ServerState.SERVING)
        self.guards[name] = GuardState(record, 64)
        self.speeds[name] = speed
        self.endpoints[service].append(
            Endpoint(name, service, "v1", SLOTS, name, "r", "z", "", frozenset())
        )
