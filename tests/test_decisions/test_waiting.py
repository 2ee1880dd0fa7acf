from __future__ import annotations

from random import Random

from monsoontray.decisions.ages import CallerAges
from monsoontray.decisions.nesting import RouteCallers
from monsoontray.decisions.outcomes import Ran, Reason, Refusal
from monsoontray.decisions.shedding import spread_return
from monsoontray.decisions.waiting import SlotRequest, WaitingCall, WaitingCalls


def add(waiting, name, objective=9.0, priority=1, **options):
    request = SlotRequest(9.0, priority, objective, **options)
    waiting.add(WaitingCall(name, request, 9.0, objective))


def drain(waiting, now=0.0):
    order = []
    while (each := waiting.pop_next(now)) is not None:
        waiting.usage.count(each.request.customer, now)
        order.append(each.call)
    return order


def test_calls_of_running_servers_go_first_and_late_ones_last():
    waiting = WaitingCalls()
    add(waiting, "late", objective=0.5, priority=0)
    add(waiting, "later", priority=2)
    add(waiting, "urgent", priority=0)
    add(waiting, "nested", objective=0.5, priority=9, nested=True)
    assert drain(waiting, now=1.0) == ["nested", "urgent", "later", "late"]


def test_call_that_waited_longest_goes_first_now_and_then():
    waiting = WaitingCalls()
    add(waiting, "patient", priority=2)
    for i in range(20):
        add(waiting, i, priority=0)
    assert drain(waiting).index("patient") < 8


# A few large customers sent nearly all calls while there was too little room.
def test_small_customers_are_served_beside_a_large_one():
    random, waiting = Random(1), WaitingCalls()
    served = dict.fromkeys(("large", "a", "b", "c"), 0)
    names = ["large"] * 17 + ["a", "b", "c"]
    for step in range(2_000):
        now = step * 0.01
        for _ in range(2):  # half of the calls fit
            if len(waiting) < 16:
                request = SlotRequest(99.0, 1, 99.0, customer=random.choice(names))
                waiting.add(WaitingCall(object(), request, now + 0.2, 99.0))
        while waiting.pop_overdue(now) is not None:
            pass
        chosen = waiting.pop_next(now)
        if chosen is not None:
            waiting.usage.count(chosen.request.customer, now)
            served[chosen.request.customer] += 1
    assert min(served[name] for name in "abc") > 0.05 * served["large"]


def test_full_queue_gives_up_the_late_call_of_the_lowest_rank():
    waiting = WaitingCalls()
    add(waiting, "late", objective=0.5)
    add(waiting, "on time")
    assert waiting.displace_late(1.0)
    assert waiting.pop_overdue(1.0) == "late"
    assert not waiting.displace_late(1.0)


def test_route_whose_calls_come_from_one_other_service_is_nested():
    callers, random = RouteCallers(), Random(1)
    for _ in range(100):
        callers.record_call("order", random.choice((b"shop", b"stock")))
        callers.record_call("check", b"shop")
    assert callers.is_nested("check", b"stock")
    assert not callers.is_nested("check", b"shop")
    assert not callers.is_nested("order", b"stock")
    assert not callers.is_nested("unknown", b"stock")


def test_routes_are_not_nested_if_all_callers_are_at_one_service():
    callers = RouteCallers()
    for _ in range(100):
        callers.record_call("order", b"shop")
        callers.record_call("check", b"shop")
    assert not callers.is_nested("check", b"stock")


def test_caller_that_comes_back_is_known_by_the_rest_of_its_time():
    ages = CallerAges()
    assert all(ages.estimate_age("read", 4.0) == 0.0 for _ in range(20))
    assert ages.estimate_age("read", 3.5) == 0.5
    assert ages.estimate_age("other", 3.5) == 0.0


def test_callers_that_wait_for_all_sorts_of_times_have_no_known_age():
    ages, random = CallerAges(), Random(1)
    found = [ages.estimate_age("read", random.uniform(0.5, 4.0)) for _ in range(500)]
    assert not any(found[100:])


# Refused callers came back together and were refused together.
def test_callers_that_are_late_come_back_spread_over_their_time():
    random = Random(1)
    refusal = Refusal(Reason.NO_SLOT, Ran.NOT_RUN, 0.1)
    times = [
        spread_return(refusal, 3.0, 0.05, 0.0, random).retry_after_s for _ in range(100)
    ]
    assert min(times) >= 0.1
    assert sum(each > 0.5 for each in times) > 30
    assert max(times) <= 1.0
    assert spread_return(refusal, 3.0, 0.5, 0.0, random) is refusal
    may_have_run = Refusal(Reason.NO_SLOT, Ran.UNKNOWN, 0.1)
    assert spread_return(may_have_run, 3.0, 0.05, 0.0, random) is may_have_run
