"""Decode heartbeats and deregistrations of the platform's backend servers."""

from __future__ import annotations

import msgspec

from monsoontray.decisions.announcements import Announcement
from monsoontray.decisions.servers import ServerState

_STATES = {"ready": ServerState.SERVING, "draining": ServerState.LEAVING}


class HeartbeatSchema(msgspec.Struct, frozen=True):
    """JSON schema of a heartbeat."""

    service: str
    version: str
    slots: int
    state: str
    seq: int
    cold_left_s: float = 0.0
    born: int = 0  # start of the incarnation in milliseconds; 0 if not given


class DeregistrationSchema(msgspec.Struct, frozen=True):
    """JSON schema of the body of a deregistration, which may be empty."""

    born: int = 0  # start of the incarnation in milliseconds; 0 if not given


def decode_heartbeat(server: str, body: bytes) -> Announcement:
    """Return the announcement; if invalid, raise msgspec.DecodeError or ValueError."""
    heartbeat = msgspec.json.decode(body, type=HeartbeatSchema)
    if heartbeat.state not in _STATES:
        raise ValueError(
            f"'state' is {heartbeat.state!r}, not one of {', '.join(_STATES)}"
        )
    if heartbeat.slots < 1:
        raise ValueError(f"'slots' must be at least 1, not {heartbeat.slots}")
    return Announcement(
        server=server,
        service=heartbeat.service,
        version=heartbeat.version,
        slots=heartbeat.slots,
        state=_STATES[heartbeat.state],
        cold_for_s=heartbeat.cold_left_s,
        born=heartbeat.born,
        sequence=heartbeat.seq,
    )


def decode_deregistration(body: bytes) -> int:
    """Return the start of the deregistered incarnation in ms; 0 if not given."""
    if not body.strip():
        return 0
    return msgspec.json.decode(body, type=DeregistrationSchema).born
