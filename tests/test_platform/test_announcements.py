from __future__ import annotations

import msgspec
import pytest

from monsoontray.decisions.servers import ServerState
from monsoontray.decoding.errors import DecodingError
from monsoontray.platform.announcements import (
    decode_deregistration,
    decode_heartbeat,
)

HEARTBEAT = {
    "service": "one",
    "addr": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 9,
    "state": "ready",
    "cold_left_s": 1.5,
    "seq": 4,
    "born": 1779108417000,
}


def decode(**changes):
    return decode_heartbeat("i-1", msgspec.json.encode({**HEARTBEAT, **changes}))


def test_decode_heartbeat_returns_announcement():
    announcement = decode(added_later=True)
    assert announcement.server == "i-1"
    assert (announcement.slots, announcement.sequence) == (9, 4)
    assert announcement.cold_for_s == 1.5
    assert announcement.state is ServerState.SERVING
    assert decode(state="draining").state is ServerState.LEAVING


@pytest.mark.parametrize(
    "changes",
    [{"state": "sleepy"}, {"slots": 0}, {"slots": "9"}, {"seq": None}, {"service": 1}],
)
def test_invalid_heartbeat_is_rejected(changes):
    with pytest.raises(DecodingError):
        decode(**changes)


def test_decode_deregistration_returns_start_of_incarnation():
    assert decode_deregistration(b"") == 0
    assert decode_deregistration(b"{}") == 0
    assert decode_deregistration(b'{"born":5}') == 5
    with pytest.raises(DecodingError):
        decode_deregistration(b"{")
