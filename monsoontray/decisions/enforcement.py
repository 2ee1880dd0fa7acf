"""Decide when a fetched version may come into force on a node."""

from __future__ import annotations

import enum

from msgspec import Struct

from monsoontray.decisions.admission import Entitlements
from monsoontray.decisions.servers import ServerTable
from monsoontray.plans.model import VersionName

REFERENCE_WAIT_S = 2.0  # longest wait for the services that a version refers to
MIN_PEERS_FOR_BASELINE = 3  # peers that must answer while the store is unreachable


class Readiness(enum.Enum):
    """Whether a version may come into force now, or the reason why not."""

    READY = "ready"
    BELOW_BASELINE = "below-baseline"
    BASELINE_UNKNOWN = "baseline-unknown"
    REFERENCES_MISSING = "references-missing"


class PendingVersion(Struct, frozen=True):
    """Validated version that is not in force yet."""

    entitlements: Entitlements
    deadline: float  # until which it waits for missing references


def have_enough_peers_answered(answered: int, known: int) -> bool:
    """Return whether enough peers answered to determine the baseline."""
    return answered >= min(MIN_PEERS_FOR_BASELINE, max(1, known))


def find_missing_references(
    entitlements: Entitlements, servers: ServerTable
) -> tuple[str, ...]:
    """Return the services and resources that routes refer to but no server offers."""
    missing = []
    for service, resource in sorted(entitlements.references):
        if not servers.offers(service, resource):
            missing.append(f"{service}/{resource}" if resource else service)
    return tuple(missing)


def decide_readiness(
    pending: PendingVersion,
    baseline: VersionName | None,
    servers: ServerTable,
    now: float,
) -> Readiness:
    """Decide whether a pending version may come into force.

    It waits for missing references only until its deadline.
    """
    if baseline is None:
        return Readiness.BASELINE_UNKNOWN
    if pending.entitlements.name.number < baseline.number:
        return Readiness.BELOW_BASELINE
    if now < pending.deadline and find_missing_references(
        pending.entitlements, servers
    ):
        return Readiness.REFERENCES_MISSING
    return Readiness.READY
