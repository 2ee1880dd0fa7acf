"""Read the store through other nodes, while it does not serve this one."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import msgspec
import urllib3
from loguru import logger

from monsoontray.discovery.messages import DescribeDiscovery
from monsoontray.kernel.errors import KernelError
from monsoontray.store.outcomes import Listing, Record

if TYPE_CHECKING:
    from collections.abc import Sequence

    from monsoontray.decisions.directory import ListedNode
    from monsoontray.kernel.kernel import Kernel

#: Key prefixes that nodes copy for each other.
MIRRORED = ("op/", "nodes/", "rollouts/")
PATH = "/mirror"
TIMEOUT_S = 0.3  # many times what an answer takes
PEERS_ASKED = 2  # nodes asked at once; one of them may not be served either
ASK_TIMEOUT_S = 0.5


class MirrorShape(msgspec.Struct, frozen=True):
    """Shape of the copy that a node keeps of the store."""

    revision: int
    records: tuple[Record, ...]  # none when the asker knows the revision


class RelayReader:
    """Ask a few other nodes for their copies."""

    __slots__ = ("_http", "_kernel", "_node", "_random")

    def __init__(self, kernel: Kernel, random: Random) -> None:
        self._kernel = kernel
        self._random = random
        self._node: str = kernel.find("settings").settings.get_text("node")
        self._http = urllib3.PoolManager(num_pools=16, maxsize=1, retries=False)

    def read(self, known_revision: int) -> Listing | None:
        """Return the newest copy found, if it is newer than what is known."""
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
        copies = [self._read_peer(node, known_revision) for node in asked]
        newer = [c for c in copies if c is not None and c.revision > known_revision]
        return max(newer, key=lambda copy: copy.revision, default=None)

    def _read_peer(self, node: ListedNode, known_revision: int) -> Listing | None:
        url = f"http://{node.peer_address}{PATH}?known={known_revision}"
        try:
            response = self._http.request("GET", url, timeout=TIMEOUT_S)
            copy = msgspec.json.decode(response.data, type=MirrorShape)
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError) as error:
            logger.bind(peer=node.node).debug("peer gave no copy: {}", error)
            return None
        return Listing(copy.records, copy.revision)
