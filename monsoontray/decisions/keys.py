"""Admission of requests by the keys of a mesh's customers."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence
from random import Random

from msgspec import Struct

from monsoontray.decisions.outcomes import Ran, Reason, Refusal, refuse_not_run
from monsoontray.decisions.retries import compute_unready_retry
from monsoontray.routing.model import KeyHolder

_SCHEME = b"bearer"


class KeyIndex:
    """Customers by the digests of their keys; immutable."""

    __slots__ = ("_by_digest",)

    def __init__(self, customers: Iterable[KeyHolder]) -> None:
        self._by_digest = {
            digest: customer
            for customer in customers
            for digest in customer.key_digests
        }

    def find(self, digest: bytes) -> KeyHolder | None:
        """Return the customer that holds the key with a digest."""
        return self._by_digest.get(digest)


class Identified(Struct, frozen=True):
    """Customer of a request, and the digest of the key that it was sent with."""

    customer: KeyHolder
    key_digest: bytes


#: A request that needs no key and has none that is taken.
UNIDENTIFIED = Identified(KeyHolder("", ()), b"")


def identify_customer(
    keys: KeyIndex, credentials: Sequence[bytes], is_fresh: bool, random: Random
) -> Identified | Refusal:
    """Return the customer of a request with these ``Authorization`` values.

    A node that is not fresh can't tell a new key from an unknown one either.
    """
    if not is_fresh:
        return _refuse_unproven(random)
    key = _read_key(credentials)
    if not key:
        return refuse_not_run(Reason.NO_CREDENTIALS)
    digest = hashlib.sha256(key).digest()
    customer = keys.find(digest)
    if customer is None:
        return refuse_not_run(Reason.UNKNOWN_CUSTOMER)
    return Identified(customer, digest)


def check_key(
    keys: KeyIndex | None, digest: bytes, is_fresh: bool, random: Random
) -> Refusal | None:
    """Return a refusal if a key that was admitted must not be used any more."""
    if keys is None or not digest:
        return None
    if not is_fresh:
        return _refuse_unproven(random)
    if keys.find(digest) is None:
        return refuse_not_run(Reason.UNKNOWN_CUSTOMER)
    return None


def _refuse_unproven(random: Random) -> Refusal:
    retry_s = compute_unready_retry(random)
    return Refusal(Reason.KEYS_UNPROVEN, Ran.NOT_RUN, retry_s)


def _read_key(credentials: Sequence[bytes]) -> bytes:
    """Return the key, or nothing if there is not exactly one."""
    if len(credentials) != 1:
        return b""
    scheme, _, key = credentials[0].strip().partition(b" ")
    return key.strip() if scheme.lower() == _SCHEME else b""
