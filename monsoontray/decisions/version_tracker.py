"""Decide which version a node fetches and which one comes into force.

The rule: a node takes only numbers above the one in force and never a second digest
of a number. After a start nothing comes into force until the baseline is known, and
nothing below it ever does. The baseline is the head read from the store or, while
the store does not serve, the highest version that enough peers had heard of when
they answered.
"""

from __future__ import annotations

from monsoontray.decisions.adoption import (
    Adoption,
    AdoptionState,
    enforce,
    evaluate_version,
    may_enforce,
)
from monsoontray.decisions.enforcement import (
    PendingVersion,
    Readiness,
    decide_readiness,
    have_enough_peers_answered,
)
from monsoontray.decisions.servers import ServerTable
from monsoontray.plans.model import VersionName


class VersionTracker:
    """Hold what one node knows of versions, from its start on."""

    __slots__ = ("_state", "baseline", "pending")

    def __init__(self) -> None:
        self._state = AdoptionState()
        self.baseline: VersionName | None = None
        self.pending: PendingVersion | None = None

    def get_in_force(self) -> VersionName:
        """Return the version in force."""
        return self._state.in_force

    def evaluate_version(self, name: VersionName) -> Adoption:
        """Decide on a version that a peer has in force."""
        self._state, adoption = evaluate_version(self._state, name)
        return adoption

    def needs_content(self, name: VersionName) -> bool:
        """Say whether the content of a version is of use."""
        if not may_enforce(self._state, name):
            return False
        pending = self.pending
        return pending is None or name.number > pending.entitlements.name.number

    def offer(self, pending: PendingVersion) -> None:
        """Let a version that was checked whole wait for its turn."""
        if self.needs_content(pending.entitlements.name):
            self.pending = pending

    def raise_baseline(self, head: VersionName) -> None:
        """Take the head of the store as a baseline."""
        if self.baseline is None or head.number > self.baseline.number:
            self.baseline = head

    def set_baseline_from_peers(self, answered: int, known: int) -> None:
        """Take what peers told as the baseline if enough of them answered."""
        if self.baseline is None and have_enough_peers_answered(answered, known):
            self.baseline = self._state.highest

    def check_readiness(self, servers: ServerTable, now: float) -> Readiness | None:
        """Decide on the pending version; None when there is none."""
        if self.pending is None:
            return None
        return decide_readiness(self.pending, self.baseline, servers, now)

    def enforce_pending(self) -> PendingVersion:
        """Put the pending version in force."""
        pending = self.pending
        assert pending is not None
        self._state = enforce(self._state, pending.entitlements.name)
        self.pending = None
        return pending

    def find_next_deadline(self) -> float | None:
        """Return when the pending version need not wait for references."""
        pending, baseline = self.pending, self.baseline
        if pending is None or baseline is None:
            return None
        if pending.entitlements.name.number < baseline.number:
            return None
        return pending.deadline
