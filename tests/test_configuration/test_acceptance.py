"""Tests of proposals against a simulated store: races, lost answers, outages."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor

import msgspec
import pytest

from bench.fleet import Fleet
from bench.lists import build_customer, build_lists, build_plan, build_route
from monsoontray.configuration.acceptance import MAX_CONTENT_BYTES, Acceptance
from monsoontray.configuration.messages import (
    Accepted,
    History,
    OutcomeUnknown,
    Overtaken,
    ProposeLists,
    Rejected,
    StoreFailed,
)
from monsoontray.configuration.records import HEAD_KEY
from monsoontray.kernel.clock import SystemClock
from monsoontray.kernel.kernel import Kernel, Registration
from monsoontray.kernel.mailbox import Reply
from monsoontray.platform.store import PlatformStoreClient
from monsoontray.store.outcomes import (
    Cause,
    Conflict,
    Done,
    NotDone,
    Record,
    Unknown,
)


class FakeStoreService:
    """Store service that returns the client of the test."""

    def __init__(self, client) -> None:
        self.client = client

    def open_client(self, reason):
        return self.client


class MemoryClient:
    """Store client in memory, with scripted outcomes of writes to the head."""

    def __init__(self) -> None:
        self.keys: dict[str, tuple[int, bytes]] = {}
        self.script: list[str] = []
        self.down = False
        self.head_writes = 0

    def get(self, key):
        if self.down:
            return NotDone(Cause.UNREACHABLE)
        revision, value = self.keys.get(key, (0, b""))
        return Record(key, revision, value)

    def compare_and_swap(self, key, revision, value, lease=""):
        step = "succeed"
        if key == HEAD_KEY:
            self.head_writes += 1
            if self.script:
                step = self.script.pop(0)
        if step == "refuse":
            return NotDone(Cause.OVERLOADED)
        if step == "lose-request":
            return Unknown(Cause.TIMEOUT)
        current = self.keys.get(key, (0, b""))[0]
        if current != revision:
            return Conflict(current)
        self.keys[key] = (current + 1, value)
        if step == "lose-answer":
            return Unknown(Cause.CONNECTION_LOST)
        if step == "lose-answer-and-go-down":
            self.down = True
            return Unknown(Cause.CONNECTION_LOST)
        return Done(current + 1)


def build_acceptance(client) -> Acceptance:
    kernel = Kernel(SystemClock())
    kernel.register(Registration("store", (), lambda k: FakeStoreService(client)))
    kernel._services["store"] = FakeStoreService(client)
    return Acceptance(kernel)


def build_proposal(based_on: int, author: str = "ana", plan: str = "order"):
    lists = build_lists(
        [build_customer("ribaverde", plan, "t")],
        [build_plan(plan, [build_route("/orders", "orders")])],
        ["orders"],
    )
    reply = Reply(SystemClock())
    return ProposeLists(msgspec.json.encode(lists), based_on, author, reply)


def test_accepted_versions_are_numbered_and_kept_in_history():
    acceptance = build_acceptance(MemoryClient())
    for number in range(1, 4):
        outcome = acceptance.propose(build_proposal(number - 1))
        assert isinstance(outcome, Accepted)
        assert outcome.name.number == number
    history = acceptance.read_history(2)
    assert isinstance(history, History)
    assert [version.number for version in history.versions] == [3, 2]


def test_change_based_on_older_version_names_author_of_latest():
    acceptance = build_acceptance(MemoryClient())
    acceptance.propose(build_proposal(0, "ana"))
    outcome = acceptance.propose(build_proposal(0, "rui"))
    assert outcome == Overtaken(0, 1, "ana")


def test_write_with_lost_answer_is_read_back():
    client = MemoryClient()
    client.script = ["lose-answer"]
    acceptance = build_acceptance(client)
    assert isinstance(acceptance.propose(build_proposal(0)), Accepted)
    assert client.head_writes == 1


def test_lost_write_is_repeated_and_takes_effect_once():
    client = MemoryClient()
    client.script = ["lose-request", "lose-answer"]
    acceptance = build_acceptance(client)
    outcome = acceptance.propose(build_proposal(0))
    assert isinstance(outcome, Accepted)
    assert client.keys[HEAD_KEY][0] == 1


def test_write_with_lost_answer_is_found_in_history_after_another_change():
    client = MemoryClient()
    first, second = build_acceptance(client), build_acceptance(client)
    client.script = ["lose-answer"]
    original = client.get

    def get_after_another_change(key):
        if key == HEAD_KEY and client.head_writes == 1:
            client.head_writes += 1
            client.get = original
            assert isinstance(second.propose(build_proposal(1, "rui")), Accepted)
        return original(key)

    client.get = get_after_another_change
    outcome = first.propose(build_proposal(0))
    assert isinstance(outcome, Accepted)
    assert outcome.name.number == 1


def test_write_that_cannot_be_read_back_has_unknown_outcome():
    client = MemoryClient()
    client.script = ["lose-answer-and-go-down", "refuse", "refuse", "refuse"]
    acceptance = build_acceptance(client)
    outcome = acceptance.propose(build_proposal(0))
    assert isinstance(outcome, OutcomeUnknown)
    assert outcome.name.number == 1


def test_proposal_changes_nothing_if_the_store_refuses():
    client = MemoryClient()
    client.script = ["refuse"]
    acceptance = build_acceptance(client)
    assert acceptance.propose(build_proposal(0)) == StoreFailed("overloaded")
    client.down = True
    assert acceptance.propose(build_proposal(0)) == StoreFailed("unreachable")
    assert HEAD_KEY not in client.keys


def test_invalid_or_too_large_lists_are_rejected():
    acceptance = build_acceptance(MemoryClient())
    proposal = ProposeLists(b"{}", 0, "ana", Reply(SystemClock()))
    assert isinstance(acceptance.propose(proposal), Rejected)
    customers = [
        build_customer(f"customer-{i}", "order", str(i))
        for i in range(MAX_CONTENT_BYTES // 100)
    ]
    lists = build_lists(customers, [build_plan("order", [])], [])
    large = ProposeLists(msgspec.json.encode(lists), 0, "ana", Reply(SystemClock()))
    outcome = acceptance.propose(large)
    assert isinstance(outcome, Rejected)
    assert str(MAX_CONTENT_BYTES) in outcome.faults[0]


@pytest.mark.parametrize("faults", [{}, {"lose_answers": True}])
def test_exactly_one_of_concurrent_proposals_is_accepted(faults):
    with Fleet() as fleet:
        fleet.start_store()
        fleet.post_json(fleet.store_address, "/control", faults)
        endpoint = f"http://{fleet.store_address}"
        acceptances = [
            build_acceptance(PlatformStoreClient([endpoint], 2.0, SystemClock()))
            for _ in range(8)
        ]
        proposals = [build_proposal(0, f"operator-{i}") for i in range(8)]
        with ThreadPoolExecutor(8) as pool:
            outcomes = list(
                pool.map(
                    lambda pair: pair[0].propose(pair[1]),
                    zip(acceptances, proposals, strict=True),
                )
            )
        accepted = [o for o in outcomes if isinstance(o, Accepted)]
        overtaken = [o for o in outcomes if isinstance(o, Overtaken)]
        assert len(accepted) == 1
        assert len(overtaken) == 7
        assert {o.latest for o in overtaken} == {1}
