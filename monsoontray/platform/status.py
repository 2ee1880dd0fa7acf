"""Write what the platform's operator reads about rollouts."""

from __future__ import annotations

import msgspec

from monsoontray.decisions.rollouts import Phase, RolloutPlan

STATUS_PREFIX = "status/rollout/"
_FINAL_STATES = {Phase.DONE: "done", Phase.ROLLED_BACK: "rolled_back"}
RUNNING_STATE = "running"


class RolloutStatusSchema(msgspec.Struct, frozen=True):
    """Shape of the status of a rollout."""

    service: str
    target_version: str
    state: str


def build_status(plan: RolloutPlan) -> tuple[str, bytes]:
    """Return the key and the value that tell how far a rollout has come."""
    state = _FINAL_STATES.get(plan.phase, RUNNING_STATE)
    status = RolloutStatusSchema(plan.service, plan.target, state)
    return STATUS_PREFIX + plan.service, msgspec.json.encode(status)
