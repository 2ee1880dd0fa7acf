"""Decide which version a node fetches and which one comes into force.

A node adopts only versions with a number above the one in force, and never two
versions with the same number and different digests. After a start no version comes
into force until the baseline is known, and no version below the baseline ever does. The
baseline is the head of the store. While the store is unreachable, it is the highest
version reported to this node by the time enough peers have answered.
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
    """Versions that one node knows since its start, and the one in force."""

    __slots__ = ("_state", "baseline", "pending")

    def __init__(self) -> None:
        self._state = AdoptionState()
        self.baseline: VersionName | None = None
        self.pending: PendingVersion | None = None

    def get_in_force(self) -> VersionName:
        """Return the version in force."""
        return self._state.in_force

    def evaluate_version(self, name: VersionName) -> Adoption:
        """Decide what to do with a version that the store or a peer reports."""
        self._state, adoption = evaluate_version(self._state, name)
        return adoption

    def needs_content(self, name: VersionName) -> bool:
        """Return whether a version is newer than those in force and pending."""
        if not may_enforce(self._state, name):
            return False
        pending = self.pending
        return pending is None or name.number > pending.entitlements.name.number

    def offer(self, pending: PendingVersion) -> None:
        """Make a validated version the pending one if it is newer."""
        if self.needs_content(pending.entitlements.name):
            self.pending = pending

    def raise_baseline(self, head: VersionName) -> None:
        """Raise the baseline to the head of the store."""
        if self.baseline is None or head.number > self.baseline.number:
            self.baseline = head

    def set_baseline_from_peers(self, answered: int, known: int) -> None:
        """Set an unknown baseline to the highest reported version.

        Nothing changes until enough of the ``known`` peers have answered.
        """
        if self.baseline is None and have_enough_peers_answered(answered, known):
            self.baseline = self._state.highest

    def check_readiness(self, servers: ServerTable, now: float) -> Readiness | None:
        """Return whether the pending version may come into force; None without one."""
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
        """Return when the pending version stops waiting for references."""
        pending, baseline = self.pending, self.baseline
        if pending is None or baseline is None:
            return None
        if pending.entitlements.name.number < baseline.number:
            return None
        return pending.deadline
