"""Client that reads the guards' evidence about the versions of a service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import urllib3

from monsoontray.decisions.rollouts import ServerEvidence
from monsoontray.decoding.documents import decode_json
from monsoontray.decoding.errors import DecodingError
from monsoontray.discovery.messages import DescribeNodes
from monsoontray.kernel.errors import KernelError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from monsoontray.decisions.directory import ListedNode
    from monsoontray.kernel.kernel import Kernel

PATH = "/evidence"
TIMEOUT_S = 0.25  # many times the usual response time
SKIP_NODE_S = 2.0  # a node that did not respond is skipped for this time
ASK_TIMEOUT_S = 1.0


class EvidenceReader:
    """HTTP client that reads evidence from the nodes of a service's servers."""

    __slots__ = ("_http", "_kernel", "_skipped_until")

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._http = urllib3.PoolManager(num_pools=200, maxsize=1, retries=False)
        self._skipped_until: dict[str, float] = {}  # by node

    def read(self, service: str) -> list[ServerEvidence]:
        """Return the evidence of the guards that respond."""
        clock = self._kernel.clock
        deadline = clock.now() + ASK_TIMEOUT_S
        try:
            nodes: Sequence[ListedNode] = self._kernel.ask(
                "membership", DescribeNodes, deadline
            )
        except KernelError:
            return []
        found: list[ServerEvidence] = []
        for node in nodes:
            if node.server is None or node.server.service != service:
                continue
            if self._skipped_until.get(node.node, 0.0) > clock.now():
                continue
            evidence = self._read_node(node)
            if evidence is None:
                self._skipped_until[node.node] = clock.now() + SKIP_NODE_S
            else:
                found += [each for each in evidence if each.version]
        return found

    def _read_node(self, node: ListedNode) -> list[ServerEvidence] | None:
        url = f"http://{node.peer_address}{PATH}"
        try:
            response = self._http.request("GET", url, timeout=TIMEOUT_S)
        except urllib3.exceptions.HTTPError:
            return None
        if response.status != 200:
            return None
        try:
            evidence: list[ServerEvidence] = decode_json(
                response.data, list[ServerEvidence]
            )
        except DecodingError:
            return None
        return evidence
