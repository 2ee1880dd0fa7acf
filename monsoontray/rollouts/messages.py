"""Messages about rollouts."""

from __future__ import annotations

from dataclasses import dataclass

from monsoontray.decisions.rollouts import RolloutPlan
from monsoontray.kernel.mailbox import Reply


@dataclass(slots=True, frozen=True)
class RolloutOrdered:
    """The operator ordered a service to be moved to a version."""

    order: int  # revision of the order's record
    service: str
    target: str
    period_s: float


@dataclass(slots=True, frozen=True)
class UpdateRolloutPlans:
    """Use these rollout plans, which replace the previous ones."""

    plans: tuple[RolloutPlan, ...]


@dataclass(slots=True, frozen=True)
class VersionSuspected:
    """The local server is suspected to run a bad version."""

    service: str


@dataclass(slots=True, frozen=True)
class ReadEvidence:
    """Ask for the evidence of the local guards."""

    reply: Reply
