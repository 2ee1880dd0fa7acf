"""Write what the platform's operator reads about rollouts."""

from __future__ import annotations

import msgspec

from monsoontray.decisions.rollouts import Phase, RolloutPlan

PREFIX = "status/rollout/"
_STATES = {Phase.DONE: "done", Phase.ROLLED_BACK: "rolled_back"}
RUNNING = "running"


class RolloutStatusShape(msgspec.Struct, frozen=True):
    """Shape of the status of a rollout."""

    service: str
    target_version: str
    state: str


def build_status(plan: RolloutPlan) -> tuple[str, bytes]:
    """Return the key and the value that tell how far a rollout has come."""
    state = _STATES.get(plan.phase, RUNNING)
    status = RolloutStatusShape(plan.service, plan.target, state)
    return PREFIX + plan.service, msgspec.json.encode(status)
