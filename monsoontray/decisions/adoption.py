"""Decide which version a node adopts."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from monsoontray.plans.model import NO_VERSION, VersionName


class Adoption(enum.Enum):
    """Say what to do with a version that was heard of."""

    FETCH = "fetch"
    IGNORE = "ignore"
    FORK = "fork"  # the same number under another digest: never taken


@dataclass(slots=True, frozen=True)
class AdoptionState:
    """Hold the version in force and the highest one heard of."""

    in_force: VersionName = NO_VERSION
    highest: VersionName = NO_VERSION


def evaluate_version(
    state: AdoptionState, name: VersionName
) -> tuple[AdoptionState, Adoption]:
    """Decide on a version name from the store or a peer."""
    if name.number == state.in_force.number and name != state.in_force:
        return state, Adoption.FORK
    if name.number == state.highest.number and name != state.highest:
        return state, Adoption.FORK
    if name.number <= state.in_force.number:
        return state, Adoption.IGNORE
    if name.number > state.highest.number:
        state = AdoptionState(state.in_force, name)
    return state, Adoption.FETCH


def may_enforce(state: AdoptionState, name: VersionName) -> bool:
    """Say whether a fetched version may come into force."""
    return name.number > state.in_force.number


def enforce(state: AdoptionState, name: VersionName) -> AdoptionState:
    """Record that a version is in force."""
    highest = max(state.highest, name, key=lambda each: each.number)
    return AdoptionState(name, highest)
