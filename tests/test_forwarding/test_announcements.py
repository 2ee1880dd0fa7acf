"""What servers announce of themselves in the headers of their responses."""

from __future__ import annotations

from collections import defaultdict
from types import SimpleNamespace

import pytest

from monsoontray.decisions.guard import GuardState
from monsoontray.decisions.outcomes import Reason, refuse_not_run
from monsoontray.decisions.servers import Endpoint, ServerRecord, ServerState
from monsoontray.forwarding.announcements import (
    MAX_DEPARTURES,
    Departures,
    handle_announcements,
)
from monsoontray.forwarding.messages import ServerLeaving
from monsoontray.forwarding.routes import GuardRoute
from monsoontray.platform.headers import PLATFORM_PROFILE
from tests.test_decisions.test_pace import REQUEST

RECORD = ServerRecord("i-1", "one", "v1", (), 6, 130, ServerState.SERVING, born=7)
ENDPOINT = Endpoint("i-1", "one", "v1", 6, "node-1", "r", "z", "a:1", frozenset(),
                    born=7)  # fmt: skip


@pytest.fixture
def call():
    posted, counts = defaultdict(list), []
    forwarder = SimpleNamespace(
        http_profile=PLATFORM_PROFILE,
        kernel=SimpleNamespace(post=lambda name, each: posted[name].append(each)),
        metrics=SimpleNamespace(count_refused_entry=counts.append),
        posted=posted,
        counts=counts,
        moved=(moved := []),
        guards=SimpleNamespace(move_unsent=moved.append),
    )
    route = GuardRoute("i-1", "", 1, True, 9.0, "read")
    guard = GuardState(RECORD, 9)
    return SimpleNamespace(forwarder=forwarder, guard=guard, route=route, now=1.0,
                           server="")  # fmt: skip


def announce(call, **headers):
    lines = {name.replace("_", "-").encode(): v for name, v in headers.items()}
    handle_announcements(call, SimpleNamespace(node_headers=lines))


def test_limit_holds_until_a_response_names_none(call):
    announce(call, server_limit=b"34.1")
    assert call.guard.pace.per_s == 34.1
    announce(call)
    assert call.guard.pace is None


@pytest.mark.parametrize("odd", [b"", b"-1", b"1e3", b"nan", b"1,5", b"9" * 20, b" 1"])
def test_odd_limit_changes_nothing_and_is_counted(call, odd):
    announce(call, server_limit=b"10")
    announce(call, server_limit=odd)
    assert call.guard.pace.per_s == 10.0
    assert call.forwarder.counts == ["server-limit"]


def test_server_that_says_it_leaves_gets_no_further_calls(call):
    announce(call, server_leaving=b"1")
    announce(call, server_leaving=b"1")
    assert call.guard.request_slot("a", REQUEST, 1.0) == refuse_not_run(
        Reason.SERVER_LEAVING
    )
    assert call.forwarder.posted["membership"] == [ServerLeaving("i-1", 7)]


def test_other_value_does_not_say_that_a_server_leaves(call):
    announce(call, server_leaving=b"0")
    assert not call.guard.is_leaving


def test_departure_holds_for_one_incarnation():
    departures = Departures()
    departures.add("i-1", 7)
    assert departures.includes(ENDPOINT)
    for i in range(MAX_DEPARTURES):
        departures.add(f"j-{i}", 1)
    assert not departures.includes(ENDPOINT)
    departures.add("i-1", 6)
    assert not departures.includes(ENDPOINT)
