from __future__ import annotations

import hashlib
from random import Random

import pytest

from monsoontray.decisions.keys import (
    Identified,
    KeyIndex,
    check_key,
    identify_customer,
)
from monsoontray.decisions.outcomes import Ran, Reason, Refusal
from monsoontray.decoding.customers import build_customers
from monsoontray.decoding.errors import DecodingError

KEY = "qf75rjvz48wuakn2ftim"
CUSTOMERS = build_customers(
    [("huka270", (KEY, "aj3nr26tta828m82thhk"), 1), ("puhu251", ("other",), None)]
)
KEYS = KeyIndex(CUSTOMERS)
DIGEST = hashlib.sha256(KEY.encode()).digest()


def identify(*credentials, is_fresh=True):
    return identify_customer(KEYS, credentials, is_fresh, Random(1))


@pytest.mark.parametrize(
    "credentials",
    [
        b"Bearer " + KEY.encode(),
        b"bearer " + KEY.encode(),
        b"BEARER   qf75rjvz48wuakn2ftim ",
    ],
)
def test_customer_is_found_whatever_the_case_of_the_scheme_and_the_spacing(credentials):
    assert identify(credentials) == Identified(CUSTOMERS[0], DIGEST)


@pytest.mark.parametrize(
    ("credentials", "reason"),
    [
        ((), Reason.NO_CREDENTIALS),
        ((b"",), Reason.NO_CREDENTIALS),
        ((b"Bearer",), Reason.NO_CREDENTIALS),
        ((b"Bearer  ",), Reason.NO_CREDENTIALS),
        ((b"Basic " + KEY.encode(),), Reason.NO_CREDENTIALS),
        ((KEY.encode(),), Reason.NO_CREDENTIALS),
        ((b"Bearer " + KEY.upper().encode(),), Reason.UNKNOWN_CUSTOMER),
        ((b"Bearer " + KEY[:-1].encode(),), Reason.UNKNOWN_CUSTOMER),
        ((b"Bearer " + KEY.encode() + b" x",), Reason.UNKNOWN_CUSTOMER),
        ((b"Bearer " + KEY.encode() + b",x",), Reason.UNKNOWN_CUSTOMER),
        ((b"Bearer " + DIGEST.hex().encode(),), Reason.UNKNOWN_CUSTOMER),
        ((b"Bearer " + KEY.encode(), b"Bearer other"), Reason.NO_CREDENTIALS),
        ((b"Bearer " + KEY.encode(),) * 2, Reason.NO_CREDENTIALS),
    ],
)
def test_request_without_exactly_one_known_key_is_refused(credentials, reason):
    assert identify(*credentials) == Refusal(reason, Ran.NOT_RUN)


def test_node_that_is_not_fresh_says_of_no_key_whether_it_is_known():
    for credentials in (b"Bearer " + KEY.encode(), b"Bearer unknown", b""):
        refusal = identify(credentials, is_fresh=False)
        assert (refusal.reason, refusal.ran) == (Reason.KEYS_UNPROVEN, Ran.NOT_RUN)
        assert refusal.retry_after_s > 0.0


def test_key_that_is_withdrawn_while_a_request_waits_is_refused():
    without = KeyIndex(CUSTOMERS[1:])
    assert check_key(KEYS, DIGEST, True, Random(1)) is None
    assert check_key(without, DIGEST, True, Random(1)).reason is Reason.UNKNOWN_CUSTOMER
    assert check_key(KEYS, DIGEST, False, Random(1)).reason is Reason.KEYS_UNPROVEN
    assert check_key(None, DIGEST, True, Random(1)) is None
    assert check_key(without, b"", False, Random(1)) is None


def test_error_about_a_shared_key_does_not_contain_it():
    with pytest.raises(DecodingError, match="share a key") as error:
        build_customers([("a", (KEY,), None), ("b", (KEY,), None)])
    assert KEY not in str(error.value)
