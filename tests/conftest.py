"""Shared fixtures."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from bench.fleet import Fleet
from bench.lists import build_customer, build_lists, build_plan, build_route
from monsoontray.kernel.clock import ManualClock
from tests.fleets import FAST_START, SERVICES, TOKEN, start_three_nodes


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(100.0)


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    with Fleet(node_settings=dict(FAST_START)) as fleet:
        yield fleet


@pytest.fixture(scope="session")
def three_nodes() -> Iterator[Fleet]:
    """Fleet of three nodes in three zones for the session; tests only send calls."""
    with Fleet(node_settings=dict(FAST_START)) as fleet:
        start_three_nodes(fleet)
        routes = [build_route(f"/{service}", service) for service in SERVICES]
        lists = build_lists(
            [build_customer("router", "plan", TOKEN)],
            [build_plan("plan", routes)],
            list(SERVICES),
        )
        proposal = {"based_on": 0, "author": "test", "lists": lists}
        result = fleet.post_json(fleet.nodes[0].operator_address, "/config", proposal)
        assert result["outcome"] == "accepted"
        fleet.wait_for_version(1)
        yield fleet
