"""Messages about ended servers and the requests that they were running."""

from __future__ import annotations

from msgspec import Struct

from monsoontray.decisions.containment import Clearance, ServerEnd


class ServerEnded(Struct, frozen=True):
    """Report the end of a local server."""

    end: ServerEnd


class RequestCleared(Struct, frozen=True):
    """Report that a request completed that servers had ended with."""

    clearance: Clearance


class UpdateContainment(Struct, frozen=True):
    """Replace the ends and clearances that are known in the fleet."""

    ends: dict[str, ServerEnd]  # by key
    clearances: tuple[Clearance, ...]


class WriteRecords(Struct, frozen=True):
    """Write records to the store."""

    values: dict[str, bytes]  # by key
