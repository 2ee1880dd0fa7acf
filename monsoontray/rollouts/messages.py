"""Messages about rollouts."""

from __future__ import annotations

from msgspec import Struct

from monsoontray.decisions.rollouts import RolloutPlan
from monsoontray.kernel.mailbox import Reply


class RolloutOrdered(Struct, frozen=True):
    """The operator ordered a service to be moved to a version."""

    order: int  # revision of the order's record
    service: str
    target: str
    period_s: float


class UpdateRolloutPlans(Struct, frozen=True):
    """Use these rollout plans, which replace the previous ones."""

    plans: tuple[RolloutPlan, ...]


class VersionSuspected(Struct, frozen=True):
    """The local server is suspected to run a bad version."""

    service: str


class ReadEvidence(Struct, frozen=True):
    """Ask for the evidence of the local guards."""

    reply: Reply
