"""Decide which reported versions a node fetches and puts in force."""

from __future__ import annotations

import enum

from msgspec import Struct

from monsoontray.plans.model import NO_VERSION, VersionName


class Adoption(enum.Enum):
    """Decision on a version that the store or a peer reports."""

    FETCH = "fetch"
    IGNORE = "ignore"
    FORK = "fork"  # a known number with another digest; never adopted


class AdoptionState(Struct, frozen=True):
    """Version in force and the highest version reported."""

    in_force: VersionName = NO_VERSION
    highest: VersionName = NO_VERSION


def evaluate_version(
    state: AdoptionState, name: VersionName
) -> tuple[AdoptionState, Adoption]:
    """Decide on a version reported by the store or a peer."""
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
    """Return whether a fetched version is newer than the one in force."""
    return name.number > state.in_force.number


def enforce(state: AdoptionState, name: VersionName) -> AdoptionState:
    """Return the state with a version put in force."""
    highest = max(state.highest, name, key=lambda each: each.number)
    return AdoptionState(name, highest)
