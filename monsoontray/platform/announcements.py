"""Decode what the platform's backend servers say of themselves."""

from __future__ import annotations

import msgspec

from monsoontray.decisions.announcements import Announcement
from monsoontray.decisions.servers import ServerState

_STATES = {"ready": ServerState.SERVING, "draining": ServerState.LEAVING}


class HeartbeatShape(msgspec.Struct, frozen=True):
    """Shape of a heartbeat."""

    service: str
    version: str
    slots: int
    state: str
    seq: int
    cold_left_s: float = 0.0
    born: int = 0


class DeregistrationShape(msgspec.Struct, frozen=True):
    """Shape of the body of a deregistration, which may be empty."""

    born: int = 0


def decode_heartbeat(server: str, body: bytes) -> Announcement:
    """Return the announcement; raise msgspec.DecodeError or ValueError."""
    shape = msgspec.json.decode(body, type=HeartbeatShape)
    if shape.state not in _STATES:
        raise ValueError(f"'state' is {shape.state!r}, not one of {', '.join(_STATES)}")
    if shape.slots < 1:
        raise ValueError(f"'slots' must be at least 1, not {shape.slots}")
    return Announcement(
        server=server,
        service=shape.service,
        version=shape.version,
        slots=shape.slots,
        state=_STATES[shape.state],
        cold_for_s=shape.cold_left_s,
        born=shape.born,
        sequence=shape.seq,
    )


def decode_deregistration(body: bytes) -> int:
    """Return when the incarnation that leaves was born, 0 if it does not say."""
    if not body.strip():
        return 0
    return msgspec.json.decode(body, type=DeregistrationShape).born
