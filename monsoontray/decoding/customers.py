"""Customers with keys, of which only digests are kept."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from monsoontray.decoding.errors import DecodingError
from monsoontray.routing.model import KeyHolder

if TYPE_CHECKING:
    from collections.abc import Iterable


def build_customers(
    entries: Iterable[tuple[str, tuple[str, ...], int | None]],
) -> tuple[KeyHolder, ...]:
    """Return the customers with these names, keys and priorities.

    Raise DecodingError if two have one name or share a key; the error names no key.
    """
    holders: dict[bytes, str] = {}
    customers: dict[str, KeyHolder] = {}
    for name, keys, priority in entries:
        if name in customers:
            raise DecodingError(f"customer {name!r} is listed twice")
        digests = tuple(hashlib.sha256(key.encode()).digest() for key in keys)
        for digest in digests:
            if holders.setdefault(digest, name) != name:
                raise DecodingError(
                    f"customers {holders[digest]!r} and {name!r} share a key"
                )
        customers[name] = KeyHolder(name, digests, priority)
    return tuple(customers.values())
