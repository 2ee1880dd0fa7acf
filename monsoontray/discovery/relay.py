"""Read the store through other nodes."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

import msgspec
import urllib3
from loguru import logger

from monsoontray.decisions.deltas import apply_delta
from monsoontray.discovery.copies import (
    LARGE_BYTES,
    MIRRORED,
    CopiedRecord,
    Copy,
    decode_copy,
)
from monsoontray.discovery.messages import DescribeDiscovery
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
FOLLOW_MARGIN_S = 0.4
PEERS_ASKED = 2  # nodes asked at once; one of them may not be served either
ASK_TIMEOUT_S = 0.5
UNKNOWN = -1  # as the known revision: everything is sent whole
_MS_PER_S = 1000


@dataclass(slots=True, frozen=True)
class PeerNews:
    """Hold what another node has read from the store."""

    revision: int
    is_served: bool  # whether the store serves that node
    is_whole: bool  # keys that are not named do not exist
    records: tuple[Record, ...]
    removed: tuple[Record, ...]


class RelayReader:
    """Ask other nodes for what they have read."""

    __slots__ = ("_http", "_kernel", "_large", "_node", "_random")

    def __init__(self, kernel: Kernel, random: Random) -> None:
        self._kernel = kernel
        self._random = random
        self._node: str = kernel.find("settings").settings.get_text("node")
        self._http = urllib3.PoolManager(num_pools=16, maxsize=1, retries=False)
        self._large: dict[str, Record] = {}  # of which changes alone are sent

    def remember(self, records: Iterable[Record]) -> None:
        """Remember the large records that this node knows."""
        for record in records:
            is_large = len(record.value) >= LARGE_BYTES
            if is_large and record.key.startswith(MIRRORED):
                self._large[record.key] = record

    def read(self, known_revision: int) -> PeerNews | None:
        """Return the newest news of a few nodes, if it is newer than what is known."""
        deadline = self._kernel.clock.now() + ASK_TIMEOUT_S
        try:
            nodes: Sequence[ListedNode] = self._kernel.ask(
                "membership", DescribeDiscovery, deadline
            )
        except KernelError as error:
            logger.warning("peers are not known: {}", error)
            return None
        others = [node for node in nodes if node.node != self._node]
        asked = self._random.sample(others, min(PEERS_ASKED, len(others)))
        found = [self._read_peer(node, known_revision, 0.0) for node in asked]
        newer = [n for n in found if n is not None and n.revision > known_revision]
        return max(newer, key=lambda news: news.revision, default=None)

    def follow(
        self, source: ListedNode, known_revision: int, wait_s: float
    ) -> PeerNews | None:
        """Return the news of a node that reads the store, waiting for some."""
        return self._read_peer(source, known_revision, wait_s)

    def _read_peer(
        self, node: ListedNode, known_revision: int, wait_s: float
    ) -> PeerNews | None:
        copy = self._fetch(node, known_revision, wait_s)
        if copy is None:
            return None
        records = [self._restore(each) for each in copy.records]
        if None in records:
            logger.bind(peer=node.node).info("news of a peer is read whole")
            copy = self._fetch(node, UNKNOWN, 0.0)
            if copy is None:
                return None
            records = [self._restore(each) for each in copy.records]
        return PeerNews(
            copy.revision,
            copy.is_served,
            copy.is_whole,
            tuple(record for record in records if record is not None),
            tuple(Record(key, revision, b"") for key, revision in copy.removed),
        )

    def _restore(self, copied: CopiedRecord) -> Record | None:
        """Return a record, or None when what it changes is not known here."""
        if copied.delta is None:
            return Record(copied.key, copied.revision, copied.value)
        base = self._large.get(copied.key)
        if base is None or base.revision != copied.base_revision:
            return None
        value = apply_delta(base.value, copied.delta)
        return None if value is None else Record(copied.key, copied.revision, value)

    def _fetch(
        self, node: ListedNode, known_revision: int, wait_s: float
    ) -> Copy | None:
        wait_ms = int(wait_s * _MS_PER_S)
        url = f"http://{node.peer_address}{PATH}?known={known_revision}&wait={wait_ms}"
        timeout_s = wait_s + FOLLOW_MARGIN_S if wait_s else TIMEOUT_S
        try:
            response = self._http.request("GET", url, timeout=timeout_s)
            return decode_copy(response.data)
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError) as error:
            logger.bind(peer=node.node).debug("peer gave no news: {}", error)
            return None
