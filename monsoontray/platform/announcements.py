"""Decode heartbeats and deregistrations of the platform's backend servers."""

from __future__ import annotations

import msgspec

from monsoontray.decisions.announcements import Announcement
from monsoontray.decisions.servers import ServerState
from monsoontray.decoding.documents import convert_value, decode_json
from monsoontray.decoding.errors import DecodingError
from monsoontray.decoding.values import (
    Label,
    Name,
    PositiveCount,
    Seconds,
    SequenceNumber,
    SocketAddress,
    Timestamp,
    Token,
)

_STATES = {"ready": ServerState.SERVING, "draining": ServerState.LEAVING}


class HeartbeatSchema(msgspec.Struct, frozen=True):
    """JSON schema of a heartbeat; it is used as a whole or not at all."""

    service: Name
    addr: SocketAddress
    zone: Name
    version: Label
    slots: PositiveCount
    state: str
    seq: SequenceNumber
    cold_left_s: Seconds
    born: Timestamp = 0  # start of the incarnation in milliseconds; 0 if not given


class DeregistrationSchema(msgspec.Struct, frozen=True):
    """JSON schema of the body of a deregistration, which may be empty."""

    born: Timestamp = 0  # start of the incarnation in milliseconds; 0 if not given


def decode_heartbeat(server: str, body: bytes, service: str) -> Announcement:
    """Return the announcement of a server of a service; raise DecodingError."""
    heartbeat: HeartbeatSchema = decode_json(body, HeartbeatSchema)
    if heartbeat.service != service:
        raise DecodingError(f"'service' is {heartbeat.service!r}, not {service!r}")
    if heartbeat.state not in _STATES:
        raise DecodingError(
            f"'state' is {heartbeat.state!r}, not one of {', '.join(_STATES)}"
        )
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
    """Return the start of the deregistered incarnation in ms; 0 if not given.

    Raise DecodingError.
    """
    if not body.strip():
        return 0
    deregistration: DeregistrationSchema = decode_json(body, DeregistrationSchema)
    return deregistration.born


def decode_server_name(text: str) -> str:
    """Return the id of a server, which headers contain; raise DecodingError."""
    name: str = convert_value(text, Token)
    return name
