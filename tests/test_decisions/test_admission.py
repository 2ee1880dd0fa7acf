from __future__ import annotations

import hashlib

import pytest

from monsoontray.decisions.admission import (
    NO_ENTITLEMENTS,
    Admitted,
    Entitlements,
    admit_call,
)
from monsoontray.decisions.outcomes import Ran, Reason, Refusal
from monsoontray.decisions.paths import normalize_target
from monsoontray.plans.model import (
    Customer,
    Lists,
    Plan,
    Route,
    ServiceEntry,
    Version,
    VersionName,
)


def build_entitlements() -> Entitlements:
    digest = hashlib.sha256(b"token").hexdigest()
    routes = (
        Route("/orders", "orders", "swatches", ("GET",)),
        Route("/orders/archive", "archive"),
        Route("/", "catalogue", "", ("GET",)),
    )
    lists = Lists(
        (Customer("ribaverde", "order", digest),),
        (Plan("order", routes, 2),),
        (ServiceEntry("orders", ("swatches",)),),
    )
    return Entitlements(VersionName(1, "d"), Version(1, None, "ana", 0.0, lists))


@pytest.mark.parametrize(
    ("method", "path", "service"),
    [
        ("GET", "/orders", "orders"),
        ("GET", "/orders/7", "orders"),
        ("GET", "/orders/archive/7", "archive"),
        ("POST", "/orders/archive", "archive"),
        ("GET", "/ordersx", "catalogue"),
        ("GET", "/anything", "catalogue"),
    ],
)
def test_longest_prefix_that_allows_the_method_is_chosen(method, path, service):
    admitted = admit_call(build_entitlements(), b"token", method, path)
    assert isinstance(admitted, Admitted)
    assert (admitted.service, admitted.customer) == (service, "ribaverde")
    assert admitted.priority == 2


@pytest.mark.parametrize(
    ("token", "method", "path", "reason"),
    [
        (b"", "GET", "/orders", Reason.NO_CREDENTIALS),
        (b"other", "GET", "/orders", Reason.UNKNOWN_CUSTOMER),
        (b"token", "POST", "/orders", Reason.NOT_IN_PLAN),
    ],
)
def test_call_outside_the_plan_is_refused_as_not_run(token, method, path, reason):
    refusal = admit_call(build_entitlements(), token, method, path)
    assert refusal == Refusal(reason, Ran.NOT_RUN)


def test_node_without_a_version_refuses_every_call():
    refusal = admit_call(NO_ENTITLEMENTS, b"token", "GET", "/orders")
    assert refusal == Refusal(Reason.NO_VERSION, Ran.NOT_RUN)


@pytest.mark.parametrize(
    ("target", "path"),
    [
        (b"/orders/7?next=/x", "/orders/7"),
        (b"/or%64ers", "/orders"),
        (b"/a%20b", "/a b"),
        (b"/a.b/..c", "/a.b/..c"),
    ],
)
def test_target_is_normalized_to_its_path(target, path):
    assert normalize_target(target) == path


@pytest.mark.parametrize(
    "target",
    [
        b"*",
        b"http://host/orders",
        b"/orders/../admin",
        b"/orders/%2e%2e/admin",
        b"/orders/.",
        b"//orders",
        b"/orders%2fx",
        b"/orders%5Cx",
        b"/orders%",
        b"/orders%zz",
        b"/orders%2525",
        b"/a\\b",
        b"/a#b",
    ],
)
def test_ambiguous_target_is_refused(target):
    assert normalize_target(target) is None
