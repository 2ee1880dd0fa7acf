"""All decoders of what other parties write: each yields a value or a refusal."""

from __future__ import annotations

import json
import zlib

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.mesh import build_configuration, build_route
from monsoontray.configuration.records import decode_directory, decode_head
from monsoontray.decisions.rollouts import ServerEvidence
from monsoontray.decisions.routing import RouteTable
from monsoontray.decoding.documents import (
    MAX_DOCUMENT_BYTES,
    decode_digits,
    decode_json,
    decompress,
)
from monsoontray.decoding.errors import DecodingError
from monsoontray.discovery.encoding import decode_node, decode_response
from monsoontray.forwarding.heads import Framing, ResponseHead
from monsoontray.forwarding.refusals import (
    REFUSAL_HEADER,
    RETRY_AFTER_HEADER,
    decode_refusal,
)
from monsoontray.forwarding.responses import decode_load
from monsoontray.forwarding.routes import LOAD_HEADER, RUN_TIME_HEADER
from monsoontray.membership.encoding import decode_exchange
from monsoontray.membership.errors import MalformedExchangeError
from monsoontray.membership.peer_pb2 import Exchange
from monsoontray.plans.encoding import compute_digest, decode_lists, decode_version
from monsoontray.plans.errors import CorruptVersionError, InvalidListsError
from monsoontray.plans.model import VersionName
from monsoontray.platform.announcements import (
    decode_deregistration,
    decode_heartbeat,
    decode_server_name,
)
from monsoontray.platform.operator import decode_rollout_order
from monsoontray.platform.routes import decode_routes
from monsoontray.platform.store import EventsSchema, LeaseSchema, PageSchema
from monsoontray.rollouts.service import decode_plan
from monsoontray.settings.errors import SettingsError
from monsoontray.settings.settings import check_settings, parse_address
from monsoontray.store.outcomes import Record
from tests.fakes import SETTINGS

REFUSALS = (
    DecodingError,
    CorruptVersionError,
    InvalidListsError,
    SettingsError,
    MalformedExchangeError,
)
DEPTH = 100_000
PLACEHOLDER = "nested here"
NODE = [
    "node-0", "norte", "zone-a", "10.0.0.1:80", "10.0.0.1:81", 7, False,
    ["i-1", "one", "v1", 4, False, 1000], 10.0,
]  # fmt: skip
HEARTBEAT = {
    "service": "one", "addr": "10.0.0.1:80", "zone": "a", "version": "v1", "slots": 9,
    "state": "ready", "cold_left_s": 1.5, "seq": 4, "born": 1000,
}  # fmt: skip
ITEM = {"key": "a", "value": "YQ==", "revision": 3, "created": 1, "lease": 0}
PLAN = {
    "order": 5, "service": "one", "target": "v2", "period_s": 5.0, "phase": "canary",
    "elapsed_s": 1.0, "baseline": {"r": 0.1},
}  # fmt: skip
VERSION = {
    "number": 1, "previous": None, "author": "a", "accepted_at": 1.0,
    "lists": {"customers": [], "plans": [], "services": []},
}  # fmt: skip


def decode_named_version(data):
    return decode_version(data, VersionName(1, compute_digest(data)))


#: A valid document and the decoder of each kind.
KINDS = {
    "node": (NODE, lambda data: decode_node(Record("nodes/node-0", 1, data))),
    "heartbeat": (HEARTBEAT, lambda data: decode_heartbeat("i-1", data, "one")),
    "deregistration": ({"born": 5}, decode_deregistration),
    "configuration": (
        build_configuration(3, build_route("/a/", "one")),
        lambda data: RouteTable(decode_routes(data)),
    ),
    "rollout order": (
        {"service": "one", "target_version": "v2", "period_s": 5},
        decode_rollout_order,
    ),
    "rollout plan": (
        PLAN,
        lambda data: decode_plan(Record("rollouts/plans/one", 1, data)),
    ),
    "evidence": (
        [{"version": "v1", "calls": 3, "suspected": False, "means": {"r": 0.1}}],
        lambda data: decode_json(data, list[ServerEvidence]),
    ),
    "page": (
        {"items": [ITEM], "as_of": 7, "truncated": False},
        lambda data: decode_json(data, PageSchema),
    ),
    "events": (
        {"events": [ITEM], "as_of": 7},
        lambda data: decode_json(data, EventsSchema),
    ),
    "lease": (
        {"lease": 4, "ttl_s_time": 2.0},
        lambda data: decode_json(data, LeaseSchema),
    ),
    "head": (
        {"number": 1, "digest": "d"},
        lambda data: decode_head(Record("h", 1, data)),
    ),
    "directory": (
        {"zones": {"r/z": {"n": "10.0.0.1:80"}}},
        lambda data: decode_directory(Record("d", 1, data)),
    ),
    "lists": (VERSION["lists"], decode_lists),
    "version": (VERSION, decode_named_version),
    "settings": (SETTINGS, lambda data: check_settings(decode_json(data, object))),
}  # fmt: skip
ODD_VALUES = st.sampled_from(
    [
        None, True, -1, 0, 2**31, 2**63, 2**64, 10**30, 1e308, -0.5, "", "\x00",
        "a\r\nb",
        "x" * 5_000, "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:" + "9" * 5_000,
        "nowhere.example:80", "\u20ac", [], {}, [[]], PLACEHOLDER,
    ]
)  # fmt: skip
NESTED_JSON = "[" * DEPTH + "]" * DEPTH


def encode(document):
    text = json.dumps(document)
    return text.replace(f'"{PLACEHOLDER}"', NESTED_JSON).encode()


def replace_one(document, odd, draw):
    """Return the document with one value at a random place replaced or added."""
    if isinstance(document, dict) and document and draw(st.integers(0, 9)):
        key = draw(st.sampled_from([*document, "added"]))
        return {**document, key: replace_one(document.get(key), odd, draw)}
    if isinstance(document, list) and document and draw(st.integers(0, 9)):
        i = draw(st.integers(0, len(document) - 1))
        changed = replace_one(document[i], odd, draw)
        return [*document[:i], changed, *document[i + 1 :]]
    return odd


def check(decode, data):
    """Decode data, and return the value unless it is refused."""
    try:
        return decode(data)
    except REFUSALS:
        return None


@pytest.mark.parametrize("kind", KINDS)
def test_valid_document_is_decoded(kind):
    document, decode = KINDS[kind]
    assert decode(encode(document)) is not None


@pytest.mark.parametrize("kind", KINDS)
@given(data=st.data())
@settings(max_examples=150, deadline=None)
def test_odd_document_yields_a_value_or_a_refusal(kind, data):
    document, decode = KINDS[kind]
    odd = replace_one(document, data.draw(ODD_VALUES), data.draw)
    check(decode, encode(odd))


@pytest.mark.parametrize("kind", KINDS)
@given(data=st.binary(max_size=200))
@settings(max_examples=50, deadline=None)
def test_any_bytes_yield_a_value_or_a_refusal(kind, data):
    check(KINDS[kind][1], data)


@pytest.mark.parametrize("kind", KINDS)
def test_depth_and_large_numbers_yield_a_value_or_a_refusal(kind):
    document, decode = KINDS[kind]
    text = encode(document).decode()
    for odd in (NESTED_JSON, "1e400", "-1e400", "9" * 5_000):
        check(decode, odd.encode())
        check(decode, f'{{"a":{odd}}}'.encode())
        for i, character in enumerate(text):
            if character.isdigit() and not text[i - 1].isalnum():
                check(decode, f"{text[:i]}{odd}{text[i + 1 :]}".encode())


@given(
    st.one_of(
        st.binary(max_size=200),
        st.recursive(
            st.one_of(st.integers(-(2**63), 2**64 - 1), st.floats(), st.binary()),
            lambda inner: st.lists(inner, max_size=5),
        ).map(msgspec.msgpack.encode),
    )
)
@settings(max_examples=300, deadline=None)
def test_response_of_a_mirror_yields_a_value_or_a_refusal(content):
    check(decode_response, content)
    check(decode_response, zlib.compress(content))


def test_deep_and_endless_responses_of_a_mirror_are_refused():
    nested = msgspec.msgpack.encode([1, True, False]) + b"\x91" * DEPTH
    bomb = zlib.compress(b"\x00" * (MAX_DOCUMENT_BYTES + 1))
    for content in (zlib.compress(nested), bomb, bomb[:-8]):
        with pytest.raises(DecodingError):
            decode_response(content)
    with pytest.raises(DecodingError):
        decompress(zlib.compress(b"abc")[:-2])


@given(st.binary(max_size=30), st.integers(0, 2**40))
def test_digits_yield_a_number_in_range_or_none(data, maximum):
    number = decode_digits(data, maximum)
    assert number is None or 0 <= number <= maximum


HEADER_VALUES = st.one_of(
    st.binary(max_size=40),
    st.sampled_from([b"9" * 5_000, b"9" * 20, b"1 2 3 4", b"1 2 3 " + b"9" * 5_000]),
)


@given(HEADER_VALUES, HEADER_VALUES)
@settings(deadline=None)
def test_headers_of_another_node_yield_a_value_or_none(first, second):
    head = ResponseHead(503, [], {}, Framing.LENGTH, 0, True)
    head.node_headers = {LOAD_HEADER: first, RUN_TIME_HEADER: second}
    report = decode_load(head)
    assert report is None or report.failure_rate <= 1.0
    head.node_headers = {REFUSAL_HEADER: b"no-slot", RETRY_AFTER_HEADER: first}
    refusal = decode_refusal(head)
    assert refusal is not None
    assert refusal.retry_after_s <= 3_600.0


@given(st.text(max_size=300))
def test_server_name_fits_in_a_header_or_is_refused(text):
    name = check(decode_server_name, text)
    assert name is None or (name.isascii() and name.isprintable() and " " not in name)


@given(
    st.builds(
        Exchange.FromString,
        st.builds(
            lambda address, slots, state: Exchange(
                records=[
                    {
                        "node": "n", "guard_address": address, "peer_address": address,
                        "state": state,
                        "servers": [{"server": "i", "slots": slots, "connections": 1}],
                    }
                ]
            ).SerializeToString(),
            st.sampled_from(["", "10.0.0.1:1", "10.0.0.1:65536", "10.0.0.1:-1", "x:1"]),
            st.sampled_from([0, 1, 2**32 - 1]),
            st.sampled_from([0, 1, 99]),
        ),
    )
)  # fmt: skip
@settings(deadline=None)
def test_exchange_of_nodes_has_usable_addresses_or_is_refused(message):
    exchange = check(decode_exchange, message)
    if exchange is not None:
        for record in exchange.records:
            assert parse_address(record.guard_address)
