"""Configurations with mistakes that an operator sees before they are in force."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from monsoontray.decisions.scrutiny import (
    Change,
    Severity,
    check_number,
    compare_routes,
    examine_routes,
)
from monsoontray.routing.model import (
    CallerLimits,
    HostRoute,
    KeyHolder,
    RouteSet,
    ServicePolicy,
    Share,
)

ROUTE = HostRoute("read", "shop.example", "/a/", (Share("one", 1),), True, 1, 0.5, 2, 0)
SPLIT = replace(
    ROUTE, name="order", prefix="/b/", shares=(Share("one", 9), Share("two", 1))
)
SERVICES = (
    ServicePolicy("one", "/health", 10, 3, 7),
    ServicePolicy("two", "/", 10, 0, 0),
)
LIMITS = CallerLimits(16_384, 1_000_000, 3, 15)
OPEN = RouteSet(7, (ROUTE, SPLIT), SERVICES, LIMITS)
KEYED = replace(OPEN, customers=(KeyHolder("huka", (b"1",)),))


def describe(routes):
    return {
        (each.severity, each.entry, each.detail.partition(":")[0].partition(",")[0])
        for each in examine_routes(routes)
    }


@pytest.mark.parametrize("routes", [OPEN, KEYED])
def test_sound_configuration_has_no_findings(routes):
    assert examine_routes(routes) == []


def test_entries_that_never_match_are_errors():
    copies = (
        replace(ROUTE, name="copy", host="SHOP.example"),
        replace(ROUTE, name="port", host="shop.example:80", prefix="/c/"),
        replace(ROUTE, name="query", prefix="/d?x/"),
        replace(ROUTE, name="space", prefix="/e f/"),
    )
    found = describe(replace(OPEN, routes=(ROUTE, SPLIT, *copies)))
    assert found == {
        (Severity.ERROR, f"route {each.name}", "never matches") for each in copies
    }


def test_entries_that_get_no_requests_are_found():
    idle = replace(SPLIT, shares=(Share("one", 9), Share("two", 0)))
    services = (*SERVICES, ServicePolicy("three", "/", 0, 0, 0))
    found = describe(replace(OPEN, routes=(ROUTE, idle), services=services))
    assert found == {
        (
            Severity.WARNING,
            "route order",
            "service two has weight 0 and gets no requests",
        ),
        (Severity.WARNING, "service three", "no route leads to it"),
        (Severity.ERROR, "service three", "it takes no connections"),
    }


def test_limits_that_contradict_each_other_are_found():
    routes = replace(
        OPEN,
        routes=(replace(ROUTE, objective_s=2), replace(SPLIT, timeout_s=0)),
        limits=replace(LIMITS, head_timeout_s=20, body_bytes=0),
        services=(SERVICES[0], replace(SERVICES[1], cold_per_s=2)),
        customers=(KeyHolder("huka", ()),),
    )
    severities = {entry: severity for severity, entry, _ in describe(routes)}
    assert severities == {
        "route read": Severity.WARNING,
        "route order": Severity.ERROR,
        "limits": Severity.WARNING,
        "service two": Severity.WARNING,
        "customer huka": Severity.WARNING,
        "customers": Severity.ERROR,
    }


def test_differences_are_listed_without_keys():
    after = replace(
        KEYED,
        number=8,
        routes=(replace(ROUTE, timeout_s=2), replace(ROUTE, name="new", prefix="/n/")),
        customers=(KeyHolder("huka", (b"2", b"3"), 1),),
    )
    assert compare_routes(KEYED, after) == [
        Change("route new", "", "", "present"),
        Change("route order", "", "present", ""),
        Change("route read", "timeout_s", "1", "2"),
        Change("customer huka", "keys", "1 removed", "2 added"),
        Change("customer huka", "priority", "None", "1"),
    ]
    assert compare_routes(after, after) == []


def test_version_that_is_not_newer_is_an_error():
    assert check_number(OPEN, replace(OPEN, number=8)) is None
    assert check_number(OPEN, OPEN).severity is Severity.ERROR
