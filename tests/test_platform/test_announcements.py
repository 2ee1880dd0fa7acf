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
LEFT_OUT = object()


def decode(**changes):
    content = {**HEARTBEAT, **changes}
    left_out = [name for name, value in content.items() if value is LEFT_OUT]
    for name in left_out:
        del content[name]
    return decode_heartbeat("i-1", msgspec.json.encode(content), "one")


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


# A heartbeat of another writer made a server run the requests of another service.
def test_heartbeat_of_another_service_is_rejected():
    with pytest.raises(DecodingError):
        decode(service="two")


@pytest.mark.parametrize("field", sorted(HEARTBEAT.keys() - {"born"}))
@pytest.mark.parametrize("value", [LEFT_OUT, None, [], {}, True, ""])
def test_heartbeat_is_rejected_if_a_field_is_missing_or_odd(field, value):
    if (field, value) == ("version", ""):
        return  # a server may have no version
    with pytest.raises(DecodingError):
        decode(**{field: value})


@pytest.mark.parametrize(
    "changes",
    [
        {"addr": "10.0.0.1:0"},
        {"addr": "10.0.0.1:70000"},
        {"addr": "host:80"},
        {"cold_left_s": -1.0},
        {"cold_left_s": 1e300},
        {"seq": -1},
        {"seq": 2**63},
        {"born": 1.5},
        {"slots": 10**9},
    ],
)
def test_heartbeat_with_a_value_out_of_range_is_rejected(changes):
    with pytest.raises(DecodingError):
        decode(**changes)


def test_decode_deregistration_returns_start_of_incarnation():
    assert decode_deregistration(b"") == 0
    assert decode_deregistration(b"{}") == 0
    assert decode_deregistration(b'{"born":5}') == 5
    with pytest.raises(DecodingError):
        decode_deregistration(b"{")
