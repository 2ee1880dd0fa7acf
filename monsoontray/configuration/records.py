"""Keys and records of versions in the platform's key-value service."""

from __future__ import annotations

import msgspec

from monsoontray.decoding.documents import decode_json
from monsoontray.decoding.values import SocketAddress
from monsoontray.plans.model import NO_VERSION, VersionName
from monsoontray.store.outcomes import ABSENT, Record

HEAD_KEY = "config/head"
DIRECTORY_KEY = "directory"


class Directory(msgspec.Struct, frozen=True):
    """Peer addresses of the nodes of each zone."""

    zones: dict[str, dict[str, SocketAddress]]  # "region/zone" -> node -> peer address


def build_version_key(name: VersionName) -> str:
    """Return the key of a version's content."""
    return f"config/versions/{name.number}-{name.digest[:16]}"


def build_watch_key(region: str, zone: str) -> str:
    """Return the key that a zone's watcher creates with its lease."""
    return f"watch/{region}/{zone}"


def encode_head(name: VersionName) -> bytes:
    """Return the bytes of the head record."""
    return msgspec.json.encode(name)


def decode_head(record: Record) -> VersionName:
    """Return the version that the head record names; raise DecodingError."""
    if record.revision == ABSENT:
        return NO_VERSION
    name: VersionName = decode_json(record.value, VersionName)
    return name


def decode_directory(record: Record) -> Directory:
    """Return the directory; raise DecodingError."""
    if record.revision == ABSENT:
        return Directory({})
    directory: Directory = decode_json(record.value, Directory)
    return directory
