"""Encode the status of rollouts for the platform's operator."""

from __future__ import annotations

import msgspec

from monsoontray.decisions.rollouts import Phase, RolloutPlan

STATUS_PREFIX = "status/rollout/"
_FINAL_STATES = {Phase.DONE: "done", Phase.ROLLED_BACK: "rolled_back"}
RUNNING_STATE = "running"


class RolloutStatusSchema(msgspec.Struct, frozen=True):
    """JSON schema of the status of a rollout."""

    service: str
    target_version: str
    state: str


def build_status(plan: RolloutPlan) -> tuple[str, bytes]:
    """Return the store key and the value of a rollout's status."""
    state = _FINAL_STATES.get(plan.phase, RUNNING_STATE)
    status = RolloutStatusSchema(plan.service, plan.target, state)
    return STATUS_PREFIX + plan.service, msgspec.json.encode(status)
