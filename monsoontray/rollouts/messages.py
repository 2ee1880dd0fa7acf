"""Messages about rollouts."""

from __future__ import annotations

from dataclasses import dataclass

from monsoontray.decisions.rollouts import RolloutPlan
from monsoontray.kernel.mailbox import Reply


@dataclass(slots=True, frozen=True)
class RolloutOrdered:
    """Take the operator's order to move a service to a version."""

    order: int  # revision of the order
    service: str
    target: str
    period_s: float


@dataclass(slots=True, frozen=True)
class UseRolloutPlans:
    """Take the changed plans of rollouts, by service."""

    plans: tuple[RolloutPlan, ...]


@dataclass(slots=True, frozen=True)
class VersionSuspected:
    """Tell that the local server's calls speak against its version."""

    service: str


@dataclass(slots=True, frozen=True)
class ReadEvidence:
    """Ask for what the local guards have seen of their servers."""

    reply: Reply
