"""Errors of plans and versions."""

from __future__ import annotations


class PlansError(Exception):
    """Report lists or versions that can't be used."""


class InvalidListsError(PlansError):
    """Report every fault found in an operator's lists."""

    def __init__(self, faults: list[str]) -> None:
        self.faults = faults
        super().__init__("; ".join(faults))


class CorruptVersionError(PlansError):
    """Report a version whose content does not match its digest."""
