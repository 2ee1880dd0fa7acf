"""Draw the faults of a soak from its seed."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Any


@dataclass(slots=True, frozen=True)
class KillNode:
    """Kill a node's process; restart it at the end of the fault."""


@dataclass(slots=True, frozen=True)
class PauseNode:
    """Pause a node's process."""


@dataclass(slots=True, frozen=True)
class StopNode:
    """Stop a node's process with SIGTERM; restart it at the end of the fault."""


@dataclass(slots=True, frozen=True)
class KillServer:
    """Kill a back end; start a new incarnation at the end of the fault."""


@dataclass(slots=True, frozen=True)
class PauseServer:
    """Pause a back end."""


@dataclass(slots=True, frozen=True)
class DrainServer:
    """Make a back end leave; replace it at the end of the fault."""


@dataclass(slots=True, frozen=True)
class AnnounceLeaving:
    """Make a back end say in its responses that it leaves; replace it at the end."""


@dataclass(slots=True, frozen=True)
class SendOddHeartbeat:
    """Send a heartbeat of another writer, with the id of a node's back end."""


@dataclass(slots=True, frozen=True)
class LeaveAndRestart:
    """Deregister a back end and stop its node, then send a late heartbeat."""


@dataclass(slots=True, frozen=True)
class KillBesideColdServer:
    """Replace a back end by a cold one, then kill its node; restart that at the end."""


@dataclass(slots=True, frozen=True)
class SendFatalRequests:
    """Send a request that ends the back ends that run it to all nodes.

    The back ends that ended are started again at the end of the fault.
    """


@dataclass(slots=True, frozen=True)
class SetServerBehaviour:
    """Change one setting of a back end's behaviour."""

    setting: str
    value: Any = True


@dataclass(slots=True, frozen=True)
class RestartBesideLateWrites:
    """Kill and restart a node while the store does some writes late."""


@dataclass(slots=True, frozen=True)
class SendBurst:
    """Send many equal reads to a node at once, which end together."""


@dataclass(slots=True, frozen=True)
class SetStoreBehaviour:
    """Change one setting of the store's behaviour."""

    setting: str
    value: Any = True


@dataclass(slots=True, frozen=True)
class SetZoneRule:
    """Cut, silence or delay traffic between a zone, the other zones and the store."""

    rule: str


@dataclass(slots=True, frozen=True)
class SilenceConnections:
    """Silence the established connections to a guard permanently."""


@dataclass(slots=True, frozen=True)
class PublishConfiguration:
    """Write a configuration with one more route."""


@dataclass(slots=True, frozen=True)
class EvacuateZone:
    """Order a zone to be evacuated; remove the order at the end of the fault."""


@dataclass(slots=True, frozen=True)
class RestoreStore:
    """Let the store come back from the copy that it made when the fault began."""


NODE_FAULTS: tuple[Any, ...] = (KillNode(), PauseNode(), StopNode())
SERVER_FAULTS: tuple[Any, ...] = (
    KillServer(),
    PauseServer(),
    DrainServer(),
    AnnounceLeaving(),
    SendFatalRequests(),
    SendOddHeartbeat(),
    *map(
        SetServerBehaviour,
        (
            "fail",
            "shed",
            "lose",
            "truncate",
            "extra",
            "unsealed",
            "silent",
            "reset_body",
            "early",
        ),
    ),
    SetServerBehaviour("service_ms", 400.0),
    SetServerBehaviour("limit_per_s", "20.0"),
)
NETWORK_FAULTS: tuple[Any, ...] = (
    *map(SetZoneRule, ("cut", "silence", "one-way", "delay")),
    SilenceConnections(),
)
STORE_FAULTS: tuple[Any, ...] = (
    *map(SetStoreBehaviour, ("out", "silent", "busy", "lose_answers", "lapse")),
    SetStoreBehaviour("compact"),
    SetStoreBehaviour("latency_ms", 240.0),
    SetStoreBehaviour("late_ms", 1_500.0),
)
ORDERS: tuple[Any, ...] = (PublishConfiguration(), EvacuateZone())
#: Faults of a node and its server at the same time.
VM_FAULTS: tuple[Any, ...] = (LeaveAndRestart(),)
#: Drawn apart from the others, for the seeds that leave this remainder.
COLD_FAULT = KillBesideColdServer()
COLD_INTERVAL, COLD_REMAINDER = 4, 2
#: Drawn apart as well, for the seeds whose configurations have customers with keys.
CUSTOMER_FAULTS: tuple[Any, ...] = (
    PublishConfiguration(),
    PublishConfiguration(),
    PauseNode(),
    RestoreStore(),
)
CUSTOMER_INTERVAL, CUSTOMER_REMAINDERS = 5, (1, 4)
#: Drawn apart as well, for the seeds that have callers which stop reading.
SLOW_SERVER_FAULT = SetServerBehaviour("read_after_ms", 2_500.0)
SLOW_READER_INTERVAL = 2
#: Drawn apart as well, for the seeds that leave these remainders.
LATE_FAULT = RestartBesideLateWrites()
BURST = SendBurst()
LATE_INTERVAL, LATE_REMAINDERS = 7, (0, 2, 5)
GROUPS = (NODE_FAULTS, SERVER_FAULTS, NETWORK_FAULTS, STORE_FAULTS, ORDERS, VM_FAULTS)
#: Actions of regular operation: no call may be lost if only these happen.
PLANNED_ACTIONS: tuple[Any, ...] = (StopNode(), DrainServer(), PublishConfiguration())
PLANNED_ONLY_INTERVAL = 5  # seeds divisible by this draw only planned actions
FAULTS_PER_S = 0.7
MIN_FAULT_S, MAX_FAULT_S = 0.3, 4.0  # duration of a fault


@dataclass(slots=True, frozen=True)
class SoakFault:
    """One fault: its action, node, start time and duration."""

    at_s: float
    for_s: float
    action: Any
    node_index: int

    @property
    def is_planned(self) -> bool:
        """Return whether the action belongs to regular operation."""
        return self.action in PLANNED_ACTIONS

    @property
    def conflict_keys(self) -> frozenset[tuple[str, int]]:
        """Return keys of which faults that must not overlap share one.

        Only one fault at a time affects a process.
        """
        names = {
            name
            for name, group in (
                ("node", NODE_FAULTS),
                ("server", (*SERVER_FAULTS, SLOW_SERVER_FAULT)),
            )
            if self.action in (*group, *VM_FAULTS, COLD_FAULT, LATE_FAULT)
        }
        return frozenset(
            (name, self.node_index) for name in names or {repr(self.action)}
        )


def draw_faults(seed: int, duration_s: float, nodes: int) -> tuple[SoakFault, ...]:
    """Return the faults of a seed, sorted by start time.

    They may overlap or follow each other closely.
    """
    random = Random(seed)
    groups = (PLANNED_ACTIONS,) if seed % PLANNED_ONLY_INTERVAL == 0 else GROUPS
    count = max(2, round(FAULTS_PER_S * duration_s))
    faults = [
        SoakFault(
            round(random.uniform(0.0, duration_s), 2),
            round(random.uniform(MIN_FAULT_S, MAX_FAULT_S), 2),
            random.choice(random.choice(groups)),
            random.randrange(nodes),
        )
        for _ in range(count)
    ]
    if seed % COLD_INTERVAL == COLD_REMAINDER and seed % PLANNED_ONLY_INTERVAL:
        faults += _draw_cold_faults(seed, duration_s, nodes)
    if has_customers(seed):
        faults += _draw_customer_faults(seed, duration_s, nodes)
    if has_slow_readers(seed) and seed % PLANNED_ONLY_INTERVAL:
        faults += _draw_slow_servers(seed, duration_s, nodes)
    if seed % LATE_INTERVAL in LATE_REMAINDERS and seed % PLANNED_ONLY_INTERVAL:
        faults += _draw_late_writes_and_bursts(seed, duration_s, nodes)
    return tuple(sorted(faults, key=lambda fault: fault.at_s))


def has_customers(seed: int) -> bool:
    """Return whether the configurations of a seed have customers with keys."""
    return seed % CUSTOMER_INTERVAL in CUSTOMER_REMAINDERS


def has_slow_readers(seed: int) -> bool:
    """Return whether a seed has callers and servers that stop reading for a while."""
    return seed % SLOW_READER_INTERVAL == 0


def _draw_slow_servers(seed: int, duration_s: float, nodes: int) -> list[SoakFault]:
    random = Random(f"{seed} slow servers")
    count = random.randint(1, 2)
    return [
        _draw_fault(random, SLOW_SERVER_FAULT, duration_s, nodes) for _ in range(count)
    ]


def _draw_customer_faults(seed: int, duration_s: float, nodes: int) -> list[SoakFault]:
    random = Random(f"{seed} customers")
    return [
        SoakFault(
            round(random.uniform(0.0, duration_s), 2),
            round(random.uniform(MIN_FAULT_S, MAX_FAULT_S), 2),
            action,
            # The store has one copy at a time, whichever node is named.
            0 if action == RestoreStore() else random.randrange(nodes),
        )
        for action in CUSTOMER_FAULTS
        for _ in range(random.randint(1, 2))
    ]


def _draw_cold_faults(seed: int, duration_s: float, nodes: int) -> list[SoakFault]:
    """Return kills of nodes beside cold servers, which follow each other closely."""
    random = Random(f"{seed} cold")
    count = random.randint(2, 4)
    return [_draw_fault(random, COLD_FAULT, duration_s, nodes) for _ in range(count)]


def _draw_late_writes_and_bursts(
    seed: int, duration_s: float, nodes: int
) -> list[SoakFault]:
    """Return restarts of nodes while the store does some writes late, and bursts."""
    random = Random(f"{seed} late writes")
    return [
        _draw_fault(random, action, duration_s, nodes)
        for action in (LATE_FAULT, BURST)
        for _ in range(random.randint(2, 4))
    ]


def _draw_fault(
    random: Random, action: Any, duration_s: float, nodes: int
) -> SoakFault:
    """Return a fault with an action at a random time and node."""
    return SoakFault(
        round(random.uniform(0.0, duration_s), 2),
        round(random.uniform(MIN_FAULT_S, MAX_FAULT_S), 2),
        action,
        random.randrange(nodes),
    )
