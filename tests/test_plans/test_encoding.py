from __future__ import annotations

import msgspec
import pytest

from bench.lists import build_customer, build_lists, build_plan, build_route
from monsoontray.plans.encoding import (
    compute_digest,
    decode_lists,
    decode_version,
    encode_version,
)
from monsoontray.plans.errors import CorruptVersionError, InvalidListsError
from monsoontray.plans.model import Lists, Version, VersionName


def build_document(**changes):
    lists = build_lists(
        [build_customer("ribaverde", "order", "token")],
        [build_plan("order", [build_route("/orders", "orders", "swatches")])],
        [],
    )
    lists["services"] = [{"service": "orders", "resources": ["swatches"]}]
    lists.update(changes)
    return lists


def decode(document):
    return decode_lists(msgspec.json.encode(document))


def build_version(number=3):
    return Version(number, None, "ana", 5.0, decode(build_document()))


def test_decoding_an_encoded_version_returns_it():
    version = build_version()
    content = encode_version(version)
    name = VersionName(3, compute_digest(content))
    assert decode_version(content, name) == version


def test_version_with_wrong_digest_or_number_is_refused():
    content = encode_version(build_version())
    digest = compute_digest(content)
    with pytest.raises(CorruptVersionError, match="digest"):
        decode_version(content[:-1] + b" ", VersionName(3, digest))
    with pytest.raises(CorruptVersionError, match="contains the number 3"):
        decode_version(content, VersionName(4, digest))


def test_version_that_names_an_undeclared_service_is_refused():
    lists = msgspec.convert(build_document(services=[]), Lists)
    content = encode_version(Version(3, None, "ana", 5.0, lists))
    with pytest.raises(CorruptVersionError, match="'orders' is not declared"):
        decode_version(content, VersionName(3, compute_digest(content)))


@pytest.mark.parametrize(
    ("changes", "expected_text"),
    [
        ({"customers": [build_customer("c", "ghost", "t")]}, "plan 'ghost'"),
        ({"customers": [build_customer("a b", "order", "t")]}, "'a b'"),
        ({"plans": [build_plan("order", [build_route("/x", "looms")])]}, "'looms'"),
        ({"plans": [build_plan("order", [build_route("x", "orders")])]}, "'x'"),
        ({"plans": [build_plan("order", [], 12)]}, "priority 12"),
        (
            {"plans": [build_plan("order", [build_route("/x", "orders", "scans")])]},
            "'scans'",
        ),
        (
            {"plans": [build_plan("order", [build_route("/x", "orders")] * 2)]},
            "twice",
        ),
        (
            {"plans": [build_plan("order", []), build_plan("order", [])]},
            "plan 'order' appears twice",
        ),
        (
            {"customers": [{"customer": "c", "plan": "order", "token_sha256": "ff"}]},
            "token_sha256",
        ),
        (
            {
                "customers": [
                    build_customer("a", "order", "same"),
                    build_customer("b", "order", "same"),
                ]
            },
            "token_sha256",
        ),
        ({"surprise": 1}, "surprise"),
        ({"plans": "none"}, "plans"),
    ],
)
def test_fault_in_lists_is_reported(changes, expected_text):
    with pytest.raises(InvalidListsError, match=expected_text):
        decode(build_document(**changes))


def test_all_faults_are_reported_at_once():
    changes = {
        "customers": [build_customer("c", "ghost", "t")],
        "plans": [build_plan("order", [build_route("/x", "looms")])],
    }
    with pytest.raises(InvalidListsError) as error:
        decode(build_document(**changes))
    assert len(error.value.faults) == 2
