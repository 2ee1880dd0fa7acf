"""Encode and decode lists and versions as JSON."""

from __future__ import annotations

import hashlib

import msgspec

from monsoontray.decoding.documents import decode_json
from monsoontray.decoding.errors import DecodingError
from monsoontray.plans.errors import CorruptVersionError, InvalidListsError
from monsoontray.plans.model import Lists, Version, VersionName
from monsoontray.plans.validation import find_faults


def encode_version(version: Version) -> bytes:
    """Return the JSON encoding of a version."""
    return msgspec.json.encode(version)


def compute_digest(content: bytes) -> str:
    """Return the SHA-256 digest that identifies the content of a version."""
    return hashlib.sha256(content).hexdigest()


def decode_version(content: bytes, name: VersionName) -> Version:
    """Return a fully validated version; raise CorruptVersionError."""
    if compute_digest(content) != name.digest:
        raise CorruptVersionError(f"version {name.number} does not match its digest")
    try:
        version: Version = decode_json(content, Version)
    except DecodingError as error:
        raise CorruptVersionError(f"version {name.number}: {error}") from error
    if version.number != name.number:
        raise CorruptVersionError(
            f"version {name.number} contains the number {version.number}"
        )
    faults = find_faults(version.lists)
    if faults:
        raise CorruptVersionError(f"version {name.number}: {faults[0]}")
    return version


def decode_lists(content: bytes) -> Lists:
    """Return validated lists from an operator's JSON; raise InvalidListsError."""
    try:
        lists: Lists = decode_json(content, Lists)
    except DecodingError as error:
        raise InvalidListsError([str(error)]) from error
    faults = find_faults(lists)
    if faults:
        raise InvalidListsError(faults)
    return lists
