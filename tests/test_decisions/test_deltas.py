from __future__ import annotations

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from monsoontray.decisions.deltas import Delta, apply_delta, build_delta

ROUTES = [{"name": f"route-{i}", "prefix": f"/p{i}/", "weight": i} for i in range(900)]


def encode(routes):
    return msgspec.json.encode({"version": "0000000c", "routes": routes})


@given(
    st.lists(st.sampled_from((b"a", b"bc", b"}", b",", b"},", b""))),
    st.lists(st.sampled_from((b"a", b"bc", b"}", b",", b"},", b""))),
)
def test_delta_restores_the_value_from_any_earlier_value(earlier, value):
    first, second = b"".join(earlier), b"".join(value)
    assert apply_delta(first, build_delta(first, second)) == second


def test_few_changes_of_a_large_value_make_a_small_delta():
    changed = [*ROUTES[:400], {"name": "new"}, *ROUTES[401:], {"name": "last"}]
    delta = build_delta(encode(ROUTES), encode(changed))
    assert apply_delta(encode(ROUTES), delta) == encode(changed)
    assert len(msgspec.msgpack.encode(delta)) < len(encode(ROUTES)) / 100


def test_delta_of_another_earlier_value_is_rejected():
    delta = build_delta(encode(ROUTES), encode(ROUTES[1:]))
    assert apply_delta(encode(ROUTES[5:]), delta) is None
    assert apply_delta(b"", delta) is None


def test_encoded_delta_decodes_to_the_same_delta():
    delta = build_delta(encode(ROUTES), encode(ROUTES[3:]))
    encoded = msgspec.msgpack.encode(delta)
    assert msgspec.msgpack.decode(encoded, type=Delta) == delta
