from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from monsoontray.decisions.routing import RouteTable
from monsoontray.routing.model import (
    CallerLimits,
    HostRoute,
    RouteSet,
    ServicePolicy,
    Share,
)

LIMITS = CallerLimits(16_384, 1_000_000, 3.0, 15.0)


def build_route(name, prefix, *shares, host="shop.example"):
    shares = shares or (Share("catalogue", 1),)
    return HostRoute(name, host, prefix, shares, True, 0.8, 0.3, 2, 1)


def build_table(*routes):
    policy = ServicePolicy("catalogue", "/health", 130, 3.0, 21.0)
    return RouteTable(RouteSet(7, routes, (policy,), LIMITS))


def test_longest_prefix_of_the_host_is_chosen():
    short, long = build_route("short", "/a/"), build_route("long", "/a/b/")
    table = build_table(short, long, build_route("other", "/a/b/c/", host="else"))
    assert table.find_route("shop.example", "/a/b/c/d") is long
    assert table.find_route("SHOP.example:80", "/a/x?y=/a/b/") is short
    assert table.find_route("shop.example", "/ab/") is None
    assert table.find_route("nowhere", "/a/") is None


@given(
    st.lists(st.text("ab/", max_size=6), max_size=8),
    st.text("ab/?", max_size=10),
)
def test_indexed_prefixes_match_like_a_search_of_all(prefixes, target):
    routes = [build_route(f"r{i}", f"/{each}/") for i, each in enumerate(prefixes)]
    path = target.partition("?")[0]
    matching = [route for route in routes if path.startswith(route.prefix)]
    longest = max(matching, key=lambda route: len(route.prefix), default=None)
    assert build_table(*routes).find_route("shop.example", target) is longest


def test_each_service_gets_its_share_over_few_requests():
    route = build_route("split", "/", Share("a", 70), Share("b", 25), Share("c", 5))
    table = build_table(route)
    for _ in range(10):
        counts = Counter(table.choose_service(route) for _ in range(20))
        assert abs(counts["a"] - 14) <= 1
        assert abs(counts["b"] - 5) <= 1
        assert abs(counts["c"] - 1) <= 1


def test_service_without_weight_gets_no_requests():
    route = build_route("split", "/", Share("a", 0), Share("b", 3))
    table = build_table(route)
    assert {table.choose_service(route) for _ in range(50)} == {"b"}


def test_policies_are_found_by_service():
    table = build_table()
    assert table.find_policy("catalogue").max_connections == 130
    assert table.find_policy("other") is None
