"""Draw the faults of a soak from its seed."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Any


@dataclass(slots=True, frozen=True)
class KillNode:
    """Kill a node's process; it is started again at the end."""


@dataclass(slots=True, frozen=True)
class PauseNode:
    """Let a node's process stand still."""


@dataclass(slots=True, frozen=True)
class StopNode:
    """Ask a node's process to stop; it is started again at the end."""


@dataclass(slots=True, frozen=True)
class KillServer:
    """Kill a back end; another incarnation is started at the end."""


@dataclass(slots=True, frozen=True)
class PauseServer:
    """Let a back end stand still."""


@dataclass(slots=True, frozen=True)
class DrainServer:
    """Let a back end say that it leaves; another is started at the end."""


@dataclass(slots=True, frozen=True)
class SetServerBehaviour:
    """Let a back end misbehave."""

    setting: str
    value: Any = True


@dataclass(slots=True, frozen=True)
class SetStoreBehaviour:
    """Let the store misbehave."""

    setting: str
    value: Any = True


@dataclass(slots=True, frozen=True)
class SetZoneRule:
    """Cut, silence or delay what passes between a zone, the others and the store."""

    rule: str


@dataclass(slots=True, frozen=True)
class SilenceConnections:
    """Silence the connections to a guard that are open now, for good."""


@dataclass(slots=True, frozen=True)
class PublishConfiguration:
    """Order a configuration with one more route."""


@dataclass(slots=True, frozen=True)
class EvacuateZone:
    """Order that a zone is emptied, and take that back at the end."""


NODE_FAULTS: tuple[Any, ...] = (KillNode(), PauseNode(), StopNode())
SERVER_FAULTS: tuple[Any, ...] = (
    KillServer(),
    PauseServer(),
    DrainServer(),
    *map(
        SetServerBehaviour,
        ("fail", "shed", "lose", "truncate", "extra", "unsealed", "silent"),
    ),
    SetServerBehaviour("service_ms", 400.0),
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
GROUPS = (NODE_FAULTS, SERVER_FAULTS, NETWORK_FAULTS, STORE_FAULTS, ORDERS)
#: What users do on purpose: nothing may be lost by these alone.
PLANNED_ACTIONS: tuple[Any, ...] = (StopNode(), DrainServer(), PublishConfiguration())
PLANNED_ONLY_INTERVAL = 5  # each so many seeds bring planned work alone
FAULTS_PER_S = 0.7
MIN_FAULT_S, MAX_FAULT_S = 0.3, 4.0  # that a fault lasts


@dataclass(slots=True, frozen=True)
class SoakFault:
    """State one fault: what, to which node and what belongs to it, when, how long."""

    at_s: float
    for_s: float
    action: Any
    node_index: int

    @property
    def is_planned(self) -> bool:
        """Say whether it is planned work."""
        return self.action in PLANNED_ACTIONS

    @property
    def conflict_key(self) -> tuple[str, int]:
        """Return what is struck; one fault at a time strikes a process."""
        for name, group in (("node", NODE_FAULTS), ("server", SERVER_FAULTS)):
            if self.action in group:
                return name, self.node_index
        return repr(self.action), self.node_index


def draw_faults(seed: int, duration_s: float, nodes: int) -> tuple[SoakFault, ...]:
    """Return the faults of a seed in order; they come in series and overlap."""
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
    return tuple(sorted(faults, key=lambda fault: fault.at_s))
