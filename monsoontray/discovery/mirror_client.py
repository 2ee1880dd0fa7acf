"""Read the store through other nodes."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

import msgspec
import urllib3
from loguru import logger

from monsoontray.decisions.deltas import apply_delta
from monsoontray.discovery.encoding import (
    DELTA_MIN_BYTES,
    MIRRORED_PREFIXES,
    MirrorRecord,
    MirrorResponse,
    decode_response,
)
from monsoontray.discovery.messages import DescribeNodes
from monsoontray.kernel.errors import KernelError
from monsoontray.store.outcomes import Record

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from monsoontray.decisions.directory import ListedNode
    from monsoontray.kernel.kernel import Kernel

PATH = "/mirror"
TIMEOUT_S = 0.3  # many times what an answer takes
#: Beyond the time that an answer may be held back: a reader that stands still is left
#: within the time that configurations have to be in force.
POLL_MARGIN_S = 0.4
PEERS_ASKED = 2  # nodes asked at once; one of them may not be served either
MEMBERSHIP_TIMEOUT_S = 0.5
NO_REVISION = -1  # as the known revision: everything is sent whole
_MS_PER_S = 1000


@dataclass(slots=True, frozen=True)
class PeerUpdate:
    """Hold what another node has read from the store."""

    revision: int
    reads_store: bool  # whether the store serves that node
    is_complete: bool  # keys that are not named do not exist
    records: tuple[Record, ...]
    removed: tuple[Record, ...]


class MirrorClient:
    """Ask other nodes for what they have read."""

    __slots__ = ("_delta_bases", "_http", "_kernel", "_node", "_random")

    def __init__(self, kernel: Kernel, random: Random) -> None:
        self._kernel = kernel
        self._random = random
        self._node: str = kernel.find("settings").settings.get_string("node")
        self._http = urllib3.PoolManager(num_pools=16, maxsize=1, retries=False)
        self._delta_bases: dict[str, Record] = {}  # of which changes alone are sent

    def remember(self, records: Iterable[Record]) -> None:
        """Remember the large records that this node knows."""
        for record in records:
            is_large = len(record.value) >= DELTA_MIN_BYTES
            if is_large and record.key.startswith(MIRRORED_PREFIXES):
                self._delta_bases[record.key] = record

    def poll_peers(self, known_revision: int) -> PeerUpdate | None:
        """Return the newest news of a few nodes, if it is newer than what is known."""
        deadline = self._kernel.clock.now() + MEMBERSHIP_TIMEOUT_S
        try:
            nodes: Sequence[ListedNode] = self._kernel.ask(
                "membership", DescribeNodes, deadline
            )
        except KernelError as error:
            logger.warning("peers are not known: {}", error)
            return None
        others = [node for node in nodes if node.node != self._node]
        asked = self._random.sample(others, min(PEERS_ASKED, len(others)))
        found = [self._read_peer(node, known_revision, 0.0) for node in asked]
        newer_updates = [
            n for n in found if n is not None and n.revision > known_revision
        ]
        return max(newer_updates, key=lambda update: update.revision, default=None)

    def poll_reader(
        self, source: ListedNode, known_revision: int, wait_s: float
    ) -> PeerUpdate | None:
        """Return the news of a node that reads the store, waiting for some."""
        return self._read_peer(source, known_revision, wait_s)

    def _read_peer(
        self, node: ListedNode, known_revision: int, wait_s: float
    ) -> PeerUpdate | None:
        response = self._fetch(node, known_revision, wait_s)
        if response is None:
            return None
        records = [self._decode_record(each) for each in response.records]
        if None in records:
            logger.bind(peer=node.node).info("news of a peer is read whole")
            response = self._fetch(node, NO_REVISION, 0.0)
            if response is None:
                return None
            records = [self._decode_record(each) for each in response.records]
        return PeerUpdate(
            response.revision,
            response.reads_store,
            response.is_complete,
            tuple(record for record in records if record is not None),
            tuple(Record(key, revision, b"") for key, revision in response.removed),
        )

    def _decode_record(self, copied: MirrorRecord) -> Record | None:
        """Return a record, or None when what it changes is not known here."""
        if copied.delta is None:
            return Record(copied.key, copied.revision, copied.value)
        base = self._delta_bases.get(copied.key)
        if base is None or base.revision != copied.base_revision:
            return None
        value = apply_delta(base.value, copied.delta)
        return None if value is None else Record(copied.key, copied.revision, value)

    def _fetch(
        self, node: ListedNode, known_revision: int, wait_s: float
    ) -> MirrorResponse | None:
        wait_ms = int(wait_s * _MS_PER_S)
        url = f"http://{node.peer_address}{PATH}?known={known_revision}&wait={wait_ms}"
        timeout_s = wait_s + POLL_MARGIN_S if wait_s else TIMEOUT_S
        try:
            response = self._http.request("GET", url, timeout=timeout_s)
            return decode_response(response.data)
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError) as error:
            logger.bind(peer=node.node).debug("peer gave no news: {}", error)
            return None
