"""A model of one busy server, to compare ways to learn what it takes.

``python -m bench.capacity`` prints the comparison.
"""

from __future__ import annotations

import heapq
import math
from itertools import count
from random import Random
from typing import Any

from msgspec import Struct

from monsoontray.decisions.capacity import Capacity
from monsoontray.decisions.guard import Granted, GuardState, SlotRequest
from monsoontray.decisions.servers import ServerRecord, ServerState

END_S = 30.0
RECHECK_S = 0.1
ROUTES = {
    "read": (0.1, 0.5, 0.7),
    "order": (0.2, 0.6, 0.25),
    "report": (0.6, 0.3, 0.05),
}
OBJECTIVE_TIMES = 3.5  # of a route's mean
DEADLINE_TIMES = 12.0


class Load(Struct, frozen=True):
    """Server and the load on it."""

    name: str
    slots: int = 6
    speed: float = 1.0
    elasticity: float = 0.0  # of a call's time above half of the slots
    demand: float = 1.1  # share of what the server achieves at its best
    changed_elasticity: float | None = None  # from a third to two thirds of the time
    spell: float = 1.0  # slowness of an eighth of the time, for 0.3 s each
    inner_wait_s: float = 0.0  # from a third to two thirds, half of each call's slot
    idle: bool = False  # no calls in every other second


LOADS = (
    Load("steady"),
    Load("steady, slow server", speed=0.5),
    Load("steady, fast server", speed=1.6),
    Load("slows a little", elasticity=0.4),
    Load("slows so that throughput is flat", elasticity=1.0),
    Load("collapses from half full", elasticity=1.5),
    Load("collapses, 9 slots", slots=9, elasticity=1.5),
    Load("collapses for 10 s", changed_elasticity=1.5),
    Load("recovers for 10 s", elasticity=1.5, changed_elasticity=0.0),
    Load("slow spells", spell=2.5, demand=0.9),
    Load("slow spells, 9 slots", slots=9, spell=2.5, demand=0.9),
    Load("inner calls wait", inner_wait_s=0.3, demand=0.8),
    Load("idle every other second", idle=True),
)


class Fixed:
    """Way that takes what the server announces."""

    def __init__(self, slots: int) -> None:
        self.slots = slots

    def get_limit(self) -> int:
        """Return how many calls may run at once."""
        return self.slots

    def get_learned_limit(self) -> int:
        """Return the limit that is reported."""
        return self.get_limit()

    def start(self, call: Any, now: float) -> None:
        """Count a call that starts."""

    def end(self, call: Any, now: float) -> None:
        """Count a call that ends."""

    def observe(self, call: Any, route: str, seconds: float, now: float) -> None:
        """Learn from a call that succeeded."""


class Half(Fixed):
    """Way that never takes more than half of the slots."""

    def get_limit(self) -> int:
        """Return how many calls may run at once."""
        return math.ceil(self.slots / 2)


class Gradient(Fixed):
    """Way by the gradient of latency: a long mean over a short one."""

    def __init__(self, slots: int) -> None:
        super().__init__(slots)
        self.limit = float(slots)
        self.means: dict[str, float] = {}
        self.short = 1.0

    def get_limit(self) -> int:
        """Return how many calls may run at once."""
        return max(math.ceil(self.slots / 2), round(self.limit))

    def observe(self, call: Any, route: str, seconds: float, now: float) -> None:
        """Learn from a call that succeeded."""
        mean = self.means.setdefault(route, seconds)
        self.means[route] += (seconds - mean) * 0.01
        self.short += (seconds / mean - self.short) * 0.1
        gradient = max(0.5, min(1.0, 1.2 / self.short))
        target = self.limit * gradient + 0.5
        self.limit += (target - self.limit) * 0.1
        self.limit = min(self.slots, max(self.slots / 2, self.limit))


class QueueTime(Fixed):
    """Way by AIMD on the time that calls wait inside the server."""

    def __init__(self, slots: int) -> None:
        super().__init__(slots)
        self.limit = float(slots)
        self.least: dict[str, float] = {}
        self.extra = 0.0

    def get_limit(self) -> int:
        """Return how many calls may run at once."""
        return max(math.ceil(self.slots / 2), int(self.limit))

    def observe(self, call: Any, route: str, seconds: float, now: float) -> None:
        """Learn from a call that succeeded."""
        least = self.least.setdefault(route, seconds)
        weight = 0.1 if seconds < least else 0.01  # follows the faster calls
        self.least[route] += (seconds - least) * weight
        self.extra += (seconds / self.least[route] - 1.0 - self.extra) * 0.1
        if self.extra > 1.0:
            self.limit = max(self.slots / 2, self.limit * 0.95)
        else:
            self.limit = min(self.slots, self.limit + 1.0 / self.limit)


WAYS = {
    "announced": Fixed,
    "half": Half,
    "gradient": Gradient,
    "queue time": QueueTime,
    "fit": Capacity,
}


class ModelCall:
    """Call at the server, with the work that is left."""

    __slots__ = ("arrived_at", "granted_at", "left_s", "route", "wait_s")

    def __init__(self, route: str, arrived_at: float, work_s: float) -> None:
        self.route = route
        self.arrived_at = arrived_at
        self.left_s = work_s
        self.wait_s = 0.0  # for an inner call
        self.granted_at = 0.0


class Model:
    """Discrete-event simulation of a guard and its server."""

    def __init__(self, seed: int, load: Load, capacity: Any) -> None:
        self.random = Random(seed)
        self.load = load
        self.capacity = capacity
        record = ServerRecord("s", "x", "1", (), load.slots, 400, ServerState.SERVING)
        self.guard = GuardState(record, 64, capacity=capacity)
        self.running: dict[ModelCall, None] = {}
        self.now = self.advanced_at = 0.0
        self.events: list[Any] = []
        self.sequence = count()
        self.calls = self.on_time = self.late = 0
        self.limits: list[tuple[float, int]] = []

    def run(self) -> None:
        """Run to the end."""
        self.arrive()
        self.recheck()
        while True:
            self.now, finished = self.find_next()
            if self.now >= END_S:
                return
            self.advance()
            if finished is not None:
                self.finish(finished)
            else:
                heapq.heappop(self.events)[2]()

    def is_middle(self) -> bool:
        """Return whether the load is the one of the middle third."""
        return END_S / 3 <= self.now < END_S * 2 / 3

    def get_speed(self) -> float:
        """Return the speed of each running call."""
        load = self.load
        elasticity = load.elasticity
        if load.changed_elasticity is not None and self.is_middle():
            elasticity = load.changed_elasticity
        working = sum(call.left_s > 0.0 for call in self.running)
        crowd = max(1.0, working / (load.slots / 2))
        is_spell = load.spell > 1.0 and self.advanced_at % 2.4 < 0.3
        return load.speed / crowd**elasticity / (load.spell if is_spell else 1.0)

    def find_next(self) -> tuple[float, ModelCall | None]:
        """Return when something happens next, and the call that ends then."""
        due, finished = self.events[0][0], None
        speed = self.get_speed()
        for call in self.running:
            end = self.now + call.left_s / speed + call.wait_s
            if end < due:
                due, finished = end, call
        return due, finished

    def advance(self) -> None:
        """Let the running calls proceed until now."""
        speed = self.get_speed()
        for call in self.running:
            seconds = self.now - self.advanced_at
            used = min(seconds, call.left_s / speed)
            call.left_s = max(0.0, call.left_s - used * speed)
            call.wait_s = max(0.0, call.wait_s - (seconds - used))
        self.advanced_at = self.now

    def schedule(self, delay_s: float, action: Any) -> None:
        """Schedule an action."""
        event = (self.now + delay_s, next(self.sequence), action)
        heapq.heappush(self.events, event)

    def arrive(self) -> None:
        """Let a call arrive, and schedule the next."""
        load = self.load
        mean_s = sum(mean * share for mean, _, share in ROUTES.values())
        best = load.slots * (0.5 ** min(1.0, load.elasticity))
        rate = load.demand * best * load.speed / mean_s
        self.schedule(self.random.expovariate(rate), self.arrive)
        if load.idle and int(self.now) % 2:
            return
        shares = [share for _, _, share in ROUTES.values()]
        route = self.random.choices(list(ROUTES), shares)[0]
        mean, spread, _ = ROUTES[route]
        work_s = self.random.lognormvariate(-spread * spread / 2, spread) * mean
        call = ModelCall(route, self.now, work_s)
        if load.inner_wait_s and self.is_middle():
            call.wait_s = self.random.expovariate(1.0 / load.inner_wait_s)
        self.calls += 1
        mean /= load.speed
        request = SlotRequest(
            self.now + DEADLINE_TIMES * mean,
            1,
            self.now + OBJECTIVE_TIMES * mean,
            route,
        )
        if isinstance(self.guard.request_slot(call, request, self.now), Granted):
            self.begin(call)

    def begin(self, call: ModelCall) -> None:
        """Send a call to the server."""
        call.granted_at = self.now
        self.running[call] = None

    def finish(self, call: ModelCall) -> None:
        """Let a call end."""
        del self.running[call]
        seconds = self.now - call.granted_at
        objective_s = OBJECTIVE_TIMES * ROUTES[call.route][0] / self.load.speed
        if self.now - call.arrived_at <= objective_s:
            self.on_time += 1
        else:
            self.late += 1
        self.guard.record_result(seconds, False, call.route)
        self.capacity.observe(call, call.route, seconds, self.now)
        self.limits.append((self.now, self.capacity.get_limit()))
        granted = self.guard.release_slot(self.now)
        while granted is not None:
            self.begin(granted)
            granted = self.guard.grant_waiting(self.now)

    def recheck(self) -> None:
        """Remove overdue calls and grant free slots."""
        while self.guard.pop_overdue(self.now) is not None:
            pass
        while (call := self.guard.grant_waiting(self.now)) is not None:
            self.begin(call)
        self.schedule(RECHECK_S, self.recheck)

    def compute_mean_limit(self, start: float, end: float) -> float:
        """Return the mean limit while calls ended between two times."""
        found = [limit for at, limit in self.limits if start <= at < end]
        return sum(found) / len(found)


def main() -> None:
    """Print the share of calls on time, and answered at all, for each load and way."""
    print("| load |", " | ".join(WAYS), "|")
    for load in LOADS:
        cells = []
        for way in WAYS.values():
            models = [Model(seed, load, way(load.slots)) for seed in range(1, 4)]
            for model in models:
                model.run()
            calls = sum(model.calls for model in models)
            on_time = sum(model.on_time for model in models) / calls
            late = sum(model.late for model in models) / calls
            limit = sum(m.compute_mean_limit(5.0, END_S) for m in models) / len(models)
            cells.append(f"{on_time:.2f} + {late:.2f}, {limit:.1f}")
        print(f"| {load.name} |", " | ".join(cells), "|")


if __name__ == "__main__":
    main()
