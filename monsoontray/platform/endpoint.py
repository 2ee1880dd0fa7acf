"""HTTP endpoint for the platform, its servers and other nodes."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import msgspec

from monsoontray.containment.messages import RecordsOffered
from monsoontray.decoding.documents import decode_digits
from monsoontray.decoding.errors import DecodingError
from monsoontray.decoding.values import MAX_INT64
from monsoontray.discovery.encoding import MirrorResponse, encode_response
from monsoontray.discovery.messages import (
    DeparturesOffered,
    DescribeNodes,
    ReadMirror,
    ServerAnnounced,
    ServerLeft,
)
from monsoontray.discovery.mirror import MAX_PENDING_READS
from monsoontray.forwarding.messages import DescribeForwarding, ForwardingState
from monsoontray.http.connection import ServerRequest, ServerResponse
from monsoontray.http.server import EndpointServer
from monsoontray.http.workers import WorkerPool
from monsoontray.kernel.errors import KernelError
from monsoontray.kernel.kernel import Kernel, Registration
from monsoontray.logs import logger
from monsoontray.platform.announcements import (
    decode_deregistration,
    decode_heartbeat,
    decode_server_name,
)
from monsoontray.rollouts.messages import ReadEvidence
from monsoontray.usage.messages import UsageTold

if TYPE_CHECKING:
    from monsoontray.settings.settings import Settings

NAME = "endpoint"
MAX_LOCAL_THREADS = 8  # for the platform and the local server
#: Each read that waits for changes occupies a thread; 4 more serve other requests.
MAX_PEER_THREADS = MAX_PENDING_READS + 4
MAX_MIRROR_WAIT_MS = 2_000  # longest wait for changes that another node may request
MS_PER_S = 1000
NO_REVISION = -1  # precedes every revision of the store
ASK_TIMEOUT_S = 0.8  # the platform waits 1 s for a response
HEARTBEAT_CALL = "instances.heartbeat"
DEREGISTRATION_CALL = "instances.deregister"


class EndpointHandlers:
    """Handlers that translate HTTP requests to messages."""

    __slots__ = ("_kernel", "_routes", "_service")

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._service: str = kernel.find("settings").settings.get_string("service")
        self._routes: dict[str, Callable[[ServerRequest], ServerResponse]] = {
            "/readiness": self.check_readiness,
            "/rpc": self.handle_announcement,
            "/metrics": self.render_metrics,
            "/mirror": self.read_mirror,
            "/containment": partial(self.exchange, "containment-peers", RecordsOffered),
            "/departures": partial(
                self.exchange, "departure-keepers", DeparturesOffered
            ),
            "/usage-counts": partial(self.exchange, "usage", UsageTold),
            "/evidence": self.read_evidence,
            "/status": self.describe_node,
        }

    def handle(self, request: ServerRequest) -> ServerResponse:
        """Handle a request by its path."""
        handler = self._routes.get(request.path)
        if handler is None:
            return _build_response({"error": "not found"}, HTTPStatus.NOT_FOUND)
        try:
            return handler(request)
        except KernelError as error:
            body = {"error": str(error)}
            return _build_response(body, HTTPStatus.SERVICE_UNAVAILABLE)

    def check_readiness(self, request: ServerRequest) -> ServerResponse:
        """Respond with status 200 if callers may use this node, else 503."""
        state: ForwardingState = self._ask("forwarding", DescribeForwarding)
        is_ready = state.version > 0 and state.servers > 0 and not state.stopping
        if is_ready:
            return ServerResponse()
        return ServerResponse(status=HTTPStatus.SERVICE_UNAVAILABLE)

    def handle_announcement(self, request: ServerRequest) -> ServerResponse:
        """Handle a heartbeat or deregistration of a backend server."""
        call, server = request.query.get("call", ""), request.query.get("of", "")
        try:
            build_message = _decode_call(call, server, request.body, self._service)
        except DecodingError as error:
            self._kernel.find("metrics").count_refused_entry("announcement")
            logger.bind(call=call, server=server).warning(
                "announcement refused: {}", error
            )
            return _build_response({"error": str(error)}, HTTPStatus.BAD_REQUEST)
        self._ask("membership", build_message)
        return _build_response({})

    def render_metrics(self, request: ServerRequest) -> ServerResponse:
        """Return the metrics in the Prometheus text format."""
        rendered: bytes = self._kernel.find("metrics").render()
        return ServerResponse(rendered, content_type="text/plain; version=0.0.4")

    def read_mirror(self, request: ServerRequest) -> ServerResponse:
        """Return the changes of the store since a revision, for another node."""
        known = request.query.get("known", "").encode()
        wait = request.query.get("wait", "").encode()
        revision = decode_digits(known, MAX_INT64)
        known_revision = NO_REVISION if revision is None else revision
        wait_ms = decode_digits(wait, MAX_MIRROR_WAIT_MS) or 0
        received_at = self._kernel.clock.now()
        wait_deadline = received_at + wait_ms / MS_PER_S
        response: MirrorResponse = self._kernel.ask(
            "mirror",
            lambda reply: ReadMirror(known_revision, wait_deadline, reply, received_at),
            wait_deadline + ASK_TIMEOUT_S,
        )
        content_type = "application/octet-stream"
        return ServerResponse(encode_response(response), content_type=content_type)

    def read_evidence(self, request: ServerRequest) -> ServerResponse:
        """Return the guard's evidence on its server; rollout decisions use it."""
        return _build_response(self._ask("forwarding", ReadEvidence))

    def exchange(
        self, service: str, build_message: Callable[..., object], request: ServerRequest
    ) -> ServerResponse:
        """Pass what another node offers to a service; return what that node lacks."""
        answer: bytes = self._ask(service, partial(build_message, request.body))
        return ServerResponse(answer, content_type="application/octet-stream")

    def describe_node(self, request: ServerRequest) -> ServerResponse:
        """Return the state of this node and of the nodes that it knows."""
        forwarding = self._ask("forwarding", DescribeForwarding)
        nodes = self._ask("membership", DescribeNodes)
        node_fields = [msgspec.structs.asdict(node) for node in nodes]
        return _build_response({"forwarding": forwarding, "nodes": node_fields})

    def _ask(self, service: str, build_message: Callable[[Any], object]) -> Any:
        deadline = self._kernel.clock.now() + ASK_TIMEOUT_S
        return self._kernel.ask(service, build_message, deadline)


def build_endpoint(kernel: Kernel) -> EndpointServer:
    """Return the server of all addresses that the settings name."""
    settings: Settings = kernel.find("settings").settings
    # Reads that wait for changes must not occupy the threads for heartbeats.
    peer_pool = WorkerPool(f"{NAME}-peers", MAX_PEER_THREADS)
    local_pool = WorkerPool(f"{NAME}-local", MAX_LOCAL_THREADS)
    pools = {
        settings.get_bind_address(name): local_pool
        for name in ("operator_address", "ready_address", "metrics_address")
        if settings.get_string(name)
    }
    pools[settings.get_bind_address("peer_address")] = peer_pool
    return EndpointServer(NAME, kernel, EndpointHandlers(kernel).handle, pools)


def _decode_call(
    call: str, of: str, body: bytes, service: str
) -> Callable[[Any], object]:
    server = decode_server_name(of)
    if call == HEARTBEAT_CALL:
        announcement = decode_heartbeat(server, body, service)
        return lambda reply: ServerAnnounced(announcement, reply)
    if call == DEREGISTRATION_CALL:
        born = decode_deregistration(body)
        return lambda reply: ServerLeft(server, born, reply)
    raise DecodingError(f"'call' is {call!r}, which is not supported")


def _build_response(
    value: object, status: HTTPStatus = HTTPStatus.OK
) -> ServerResponse:
    return ServerResponse(msgspec.json.encode(value), status)


def setup(kernel: Kernel) -> None:
    """Register the service."""
    requires = ("settings", "metrics", "membership", "mirror", "containment-peers",
                "departure-keepers")  # fmt: skip
    kernel.register(Registration(NAME, requires, build_endpoint))
