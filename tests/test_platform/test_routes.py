from __future__ import annotations

import msgspec
import pytest

from monsoontray.decoding.errors import DecodingError
from monsoontray.platform.routes import decode_routes
from monsoontray.routing.model import Share

ROUTE = {
    "name": "r1",
    "host": "shop.example",
    "prefix": "/a/",
    "kind": "non_idempotent",
    "timeout_s": 0.8,
    "target_latency_s": 0.3,
    "priority": 1,
    "max_attempts": 2,
    "service": "one",
}
SERVICE = {
    "name": "one",
    "health_path": "/health",
    "max_conns": 130,
    "cold_start_s": 3.0,
    "cold_per_s": 21.0,
}
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 1_000_000,
    "header_timeout_s": 3,
    "idle_timeout_s": 15,
}


def decode(routes, services=(SERVICE,), version="0000000c", **extra):
    document = {
        "version": version,
        "routes": routes,
        "services": list(services),
        "limits": LIMITS,
        **extra,
    }
    return decode_routes(msgspec.json.encode(document))


def test_decode_routes_returns_route_set():
    routes = decode([ROUTE, {**ROUTE, "kind": "idempotent"}], unknown=1)
    assert routes.number == 12
    first, second = routes.routes
    assert (first.idempotent, second.idempotent) == (False, True)
    assert (first.timeout_s, first.objective_s, first.max_attempts) == (0.8, 0.3, 2)
    assert first.shares == (Share("one", 1),)
    assert routes.services[0].cold_per_s == 21.0
    assert routes.limits.idle_timeout_s == 15.0


def test_uploads_and_unknown_kinds_are_not_idempotent():
    for kind in ("upload", "something new"):
        assert not decode([{**ROUTE, "kind": kind}]).routes[0].idempotent


def test_split_keeps_weights():
    split = [{"service": "one", "weight": 90}, {"service": "two", "weight": 10}]
    route = {key: value for key, value in ROUTE.items() if key != "service"}
    routes = decode([{**route, "split": split}], [SERVICE, {**SERVICE, "name": "two"}])
    assert routes.routes[0].shares == (Share("one", 90), Share("two", 10))


@pytest.mark.parametrize(
    "routes",
    [
        [{**ROUTE, "service": "unknown"}],
        [{**ROUTE, "split": [{"service": "one", "weight": 0}]}],
        [{**ROUTE, "timeout_s": "soon"}],
        [{key: value for key, value in ROUTE.items() if key != "host"}],
    ],
)
def test_configuration_with_one_invalid_route_is_rejected(routes):
    with pytest.raises((msgspec.DecodeError, ValueError)):
        decode(routes)


@pytest.mark.parametrize("value", [b"", b"{", b"\xff\xfe", b"[]", b'{"version":1}'])
def test_content_that_is_not_a_configuration_is_rejected(value):
    with pytest.raises((msgspec.DecodeError, ValueError)):
        decode_routes(value)


TENANT = {"name": "huka270", "api_keys": ["key-1", "key-2"], "priority": 1}


def test_configuration_without_tenants_needs_no_keys():
    routes = decode([ROUTE])
    assert routes.customers is None
    assert not routes.routes[0].public


def test_tenants_are_customers_whose_keys_are_kept_as_digests():
    other = {"name": "puhu251", "api_keys": []}
    routes = decode([{**ROUTE, "public": True}], tenants=[TENANT, other])
    assert routes.routes[0].public
    first, second = routes.customers
    assert (first.name, first.priority, len(first.key_digests)) == ("huka270", 1, 2)
    assert (second.name, second.priority, second.key_digests) == ("puhu251", None, ())
    assert "key-1" not in repr(routes)
    assert decode([ROUTE], tenants=[]).customers == ()


@pytest.mark.parametrize(
    "tenants",
    [
        {},
        [{"name": "a"}],
        [{**TENANT, "api_keys": "key-1"}],
        [{**TENANT, "api_keys": [1]}],
        [{**TENANT, "api_keys": ["key-1", ""]}],
        [{**TENANT, "api_keys": ["key-1 key-2"]}],
        [{**TENANT, "name": "line\r\nbreak"}],
        [{**TENANT, "priority": -1}],
        [TENANT, TENANT],
        [TENANT, {"name": "b", "api_keys": ["key-2"]}],
    ],
)
def test_configuration_with_an_odd_tenant_is_refused_without_naming_a_key(tenants):
    with pytest.raises(DecodingError) as error:
        decode([ROUTE], tenants=tenants)
    assert "key-" not in str(error.value)
