"""Errors in lists and versions."""

from __future__ import annotations


class PlansError(Exception):
    """Base class of errors in lists and versions."""


class InvalidListsError(PlansError):
    """An operator's lists are invalid; ``faults`` has one message for each fault."""

    def __init__(self, faults: list[str]) -> None:
        self.faults = faults
        super().__init__("; ".join(faults))


class CorruptVersionError(PlansError):
    """The content of a version does not match its digest or is not valid."""
