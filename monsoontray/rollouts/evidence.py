"""Client that reads the guards' evidence about the versions of a service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from monsoontray.decisions.rollouts import ServerEvidence
from monsoontray.decoding.documents import decode_json
from monsoontray.decoding.errors import DecodingError
from monsoontray.discovery.messages import DescribeNodes
from monsoontray.http.client import HttpClient, HttpRequest
from monsoontray.http.errors import RequestError
from monsoontray.kernel.errors import KernelError
from monsoontray.settings.settings import parse_address

if TYPE_CHECKING:
    from collections.abc import Sequence

    from monsoontray.decisions.directory import ListedNode
    from monsoontray.kernel.kernel import Kernel

PATH = "/evidence"
TIMEOUT_S = 0.25  # many times the usual response time
MAX_IDLE_CONNECTIONS = 200
SKIP_NODE_S = 2.0  # a node that did not respond is skipped for this time
ASK_TIMEOUT_S = 1.0


class EvidenceReader:
    """HTTP client that reads evidence from the nodes of a service's servers."""

    __slots__ = ("_http", "_kernel", "_skipped_until")

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._http = HttpClient(kernel.clock, MAX_IDLE_CONNECTIONS)
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
        now = self._kernel.clock.now()
        request = HttpRequest(
            "GET",
            parse_address(node.peer_address),
            PATH,
            connect_deadline=now + TIMEOUT_S,
            response_deadline=now + TIMEOUT_S,
        )
        try:
            response = self._http.send(request)
        except RequestError:
            return None
        if response.status != 200:
            return None
        try:
            evidence: list[ServerEvidence] = decode_json(
                response.body, list[ServerEvidence]
            )
        except DecodingError:
            return None
        return evidence
