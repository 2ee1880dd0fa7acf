"""Client of other nodes' mirrors, to read the store through them."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from msgspec import Struct

from monsoontray.decisions.deltas import apply_delta
from monsoontray.decisions.freshness import Proof, adopt_proof
from monsoontray.decoding.errors import DecodingError
from monsoontray.discovery.encoding import (
    DELTA_MIN_BYTES,
    MIRRORED_PREFIXES,
    MirrorRecord,
    MirrorResponse,
    decode_response,
)
from monsoontray.discovery.messages import DescribeNodes
from monsoontray.http.client import HttpClient, HttpRequest
from monsoontray.http.errors import RequestError
from monsoontray.kernel.errors import KernelError
from monsoontray.logs import logger
from monsoontray.settings.settings import parse_address
from monsoontray.store.outcomes import Record

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from monsoontray.decisions.directory import ListedNode
    from monsoontray.kernel.kernel import Kernel

PATH = "/mirror"
TIMEOUT_S = 0.3  # many times the usual response time
#: Timeout of a poll, in addition to the time that the reader waits for changes. It is
#: short, so that a paused reader is replaced early enough for a new configuration to
#: be in force in time.
POLL_TIMEOUT_MARGIN_S = 0.4
MAX_IDLE_CONNECTIONS = 16
PEERS_POLLED = 2  # per attempt; one of them may not reach the store either
MEMBERSHIP_TIMEOUT_S = 0.5
NO_REVISION = -1  # known revision that requests a complete response
_MS_PER_S = 1000


class PeerUpdate(Struct, frozen=True):
    """Content of the store or its changes, as read through another node."""

    revision: int
    reads_store: bool  # whether that node reads the store itself
    is_complete: bool  # if so, keys that are not in ``records`` do not exist
    records: tuple[Record, ...]
    removed: tuple[Record, ...]
    proof: Proof | None = None  # of the node's copy, by the clock of this node


class MirrorClient:
    """HTTP client that reads the store through the mirrors of other nodes."""

    __slots__ = ("_delta_bases", "_http", "_kernel", "_node", "_random")

    def __init__(self, kernel: Kernel, random: Random) -> None:
        self._kernel = kernel
        self._random = random
        self._node: str = kernel.find("settings").settings.get_string("node")
        self._http = HttpClient(kernel.clock, MAX_IDLE_CONNECTIONS)
        self._delta_bases: dict[str, Record] = {}  # large records, to apply deltas to

    def add_delta_bases(self, records: Iterable[Record]) -> None:
        """Store large mirrored records, to which later deltas apply."""
        for record in records:
            is_large = len(record.value) >= DELTA_MIN_BYTES
            if is_large and record.key.startswith(MIRRORED_PREFIXES):
                self._delta_bases[record.key] = record

    def poll_peers(self, known_revision: int) -> list[PeerUpdate]:
        """Return the updates of those of a few random nodes that respond."""
        deadline = self._kernel.clock.now() + MEMBERSHIP_TIMEOUT_S
        try:
            nodes: Sequence[ListedNode] = self._kernel.ask(
                "membership", DescribeNodes, deadline
            )
        except KernelError as error:
            logger.warning("cannot get the list of nodes: {}", error)
            return []
        others = [node for node in nodes if node.node != self._node]
        polled = self._random.sample(others, min(PEERS_POLLED, len(others)))
        updates = [self._read_peer(node, known_revision, 0.0) for node in polled]
        return [update for update in updates if update is not None]

    def poll_reader(
        self, source: ListedNode, known_revision: int, wait_s: float
    ) -> PeerUpdate | None:
        """Return an update from a reader, which may wait for changes before it answers.

        Return None if the reader does not answer in time.
        """
        return self._read_peer(source, known_revision, wait_s)

    def _read_peer(
        self, node: ListedNode, known_revision: int, wait_s: float
    ) -> PeerUpdate | None:
        asked_at = self._kernel.clock.now()
        response = self._fetch(node, known_revision, wait_s)
        if response is None:
            return None
        records = [self._decode_record(each) for each in response.records]
        if None in records:
            logger.bind(peer=node.node).info(
                "deltas of a peer do not apply: requesting a complete response"
            )
            asked_at = self._kernel.clock.now()
            response = self._fetch(node, NO_REVISION, 0.0)
            if response is None:
                return None
            records = [self._decode_record(each) for each in response.records]
        lead_s = response.proof_lead_s
        proof = None
        if lead_s is not None:
            proof = adopt_proof(asked_at, lead_s, response.proof_revision)
        return PeerUpdate(
            response.revision,
            response.reads_store,
            response.is_complete,
            tuple(record for record in records if record is not None),
            tuple(Record(key, revision, b"") for key, revision in response.removed),
            proof,
        )

    def _decode_record(self, encoded: MirrorRecord) -> Record | None:
        """Return a record, or None if its delta does not apply to a known record."""
        if encoded.delta is None:
            return Record(encoded.key, encoded.revision, encoded.value)
        base = self._delta_bases.get(encoded.key)
        if base is None or base.revision != encoded.base_revision:
            return None
        value = apply_delta(base.value, encoded.delta)
        return None if value is None else Record(encoded.key, encoded.revision, value)

    def _fetch(
        self, node: ListedNode, known_revision: int, wait_s: float
    ) -> MirrorResponse | None:
        wait_ms = int(wait_s * _MS_PER_S)
        read_timeout_s = wait_s + POLL_TIMEOUT_MARGIN_S if wait_s else TIMEOUT_S
        started_at = self._kernel.clock.now()
        request = HttpRequest(
            "GET",
            parse_address(node.peer_address),
            f"{PATH}?known={known_revision}&wait={wait_ms}",
            connect_deadline=started_at + TIMEOUT_S,
            response_deadline=started_at + read_timeout_s,
        )
        try:
            return decode_response(self._http.send(request).body)
        except (RequestError, DecodingError) as error:
            # The type tells a node that accepts no connection from one that accepts
            # it and does not answer.
            logger.bind(
                peer=node.node,
                cause=type(error).__name__,
                ms=round((self._kernel.clock.now() - started_at) * _MS_PER_S),
            ).info("mirror request failed: {}", error)
            return None
