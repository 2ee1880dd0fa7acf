"""HTTP endpoint for the platform, its servers and other nodes."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import cherrypy
import msgspec
from cherrypy._cpserver import Server
from cherrypy._cpwsgi_server import CPWSGIServer
from loguru import logger

from monsoontray.decoding.documents import decode_digits
from monsoontray.decoding.errors import DecodingError
from monsoontray.decoding.values import MAX_INT64
from monsoontray.discovery.encoding import MirrorResponse, encode_response
from monsoontray.discovery.messages import (
    DescribeNodes,
    ReadMirror,
    ServerAnnounced,
    ServerLeft,
)
from monsoontray.discovery.mirror import MAX_PENDING_READS
from monsoontray.forwarding.messages import DescribeForwarding, ForwardingState
from monsoontray.kernel.errors import KernelError
from monsoontray.kernel.kernel import Kernel, Registration
from monsoontray.platform.announcements import (
    decode_deregistration,
    decode_heartbeat,
    decode_server_name,
)
from monsoontray.rollouts.messages import ReadEvidence

if TYPE_CHECKING:
    from cheroot.server import HTTPConnection

    from monsoontray.settings.settings import Address, Settings

NAME = "endpoint"
THREADS_PER_SERVER = 2  # heartbeats arrive about once a second
#: Each read that waits for changes occupies a thread; 4 more serve other requests.
PEER_SERVER_THREADS = MAX_PENDING_READS + 4
MAX_MIRROR_WAIT_MS = 2_000  # longest wait for changes that another node may request
MS_PER_S = 1000
NO_REVISION = -1  # precedes every revision of the store
SHUTDOWN_TIMEOUT_S = 0.2  # for requests in progress when the node stops
#: Connections that wait to be accepted, and idle ones that stay open, for each server.
#: All nodes of a zone poll one reader. Beyond the first limit the system drops the
#: packet that opens a connection, and the caller sends it again only after seconds.
MAX_WAITING_CONNECTIONS = 1_024
MAX_IDLE_CONNECTIONS = 1_024
ASK_TIMEOUT_S = 0.8  # the platform waits 1 s for a response
MAX_BODY_BYTES = 65_536
HEARTBEAT_CALL = "instances.heartbeat"
DEREGISTRATION_CALL = "instances.deregister"


class EndpointHandlers:
    """CherryPy handlers that translate HTTP requests to messages."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel

    @cherrypy.expose
    def readiness(self) -> bytes:
        """Respond with status 200 if callers may use this node, else 503."""
        try:
            state: ForwardingState = self._ask("forwarding", DescribeForwarding)
        except KernelError:
            cherrypy.response.status = 503
            return b""
        is_ready = state.version > 0 and state.servers > 0 and not state.stopping
        cherrypy.response.status = 200 if is_ready else 503
        return b""

    @cherrypy.expose
    def rpc(self, call: str = "", of: str = "") -> bytes:
        """Handle a heartbeat or deregistration of a backend server."""
        body: bytes = cherrypy.request.body.fp.read(MAX_BODY_BYTES)
        try:
            build_message = _decode_call(call, of, body)
        except DecodingError as error:
            self._kernel.find("metrics").count_refused_entry("announcement")
            logger.bind(call=call, server=of).warning("announcement refused: {}", error)
            return _encode_response({"error": str(error)}, 400)
        try:
            self._ask("membership", build_message)
        except KernelError as error:
            return _encode_response({"error": str(error)}, 503)
        return _encode_response({})

    @cherrypy.expose
    def metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        cherrypy.response.headers["Content-Type"] = "text/plain; version=0.0.4"
        rendered: bytes = self._kernel.find("metrics").render()
        return rendered

    @cherrypy.expose
    def mirror(self, known: str = "", wait: str = "") -> bytes:
        """Return the changes of the store since a revision, for another node."""
        revision = decode_digits(known.encode(), MAX_INT64)
        if revision is None:
            revision = NO_REVISION
        wait_ms = decode_digits(wait.encode(), MAX_MIRROR_WAIT_MS) or 0
        wait_deadline = self._kernel.clock.now() + wait_ms / MS_PER_S
        response: MirrorResponse = self._kernel.ask(
            "mirror",
            lambda reply: ReadMirror(revision, wait_deadline, reply),
            wait_deadline + ASK_TIMEOUT_S,
        )
        return encode_response(response)

    @cherrypy.expose
    def evidence(self) -> bytes:
        """Return the guard's evidence on its server; rollout decisions use it."""
        return _encode_response(self._ask("forwarding", ReadEvidence))

    @cherrypy.expose
    def status(self) -> bytes:
        """Return the state of this node and of the nodes that it knows."""
        forwarding = self._ask("forwarding", DescribeForwarding)
        nodes = self._ask("membership", DescribeNodes)
        node_fields = [msgspec.structs.asdict(node) for node in nodes]
        return _encode_response({"forwarding": forwarding, "nodes": node_fields})

    def _ask(self, service: str, build_message: Callable[[Any], object]) -> Any:
        deadline = self._kernel.clock.now() + ASK_TIMEOUT_S
        return self._kernel.ask(service, build_message, deadline)


class EndpointServer(CPWSGIServer):
    """HTTP server in which a connection occupies a thread only during requests."""

    keep_alive_conn_limit = MAX_IDLE_CONNECTIONS

    def process_conn(self, conn: HTTPConnection) -> None:
        """Handle a request; for a new connection, wait until one arrives.

        Otherwise callers that connect and send nothing would occupy all threads.
        """
        if conn.last_used is None:
            self._connections.put(conn)
        else:
            super().process_conn(conn)


class EndpointService:
    """Service that runs the CherryPy servers, one for each address."""

    def __init__(self, kernel: Kernel) -> None:
        settings: Settings = kernel.find("settings").settings
        setting_names = (
            "operator_address",
            "ready_address",
            "peer_address",
            "metrics_address",
        )
        self._addresses = {
            settings.get_bind_address(name)
            for name in setting_names
            if settings.get_string(name)
        }
        self._peer_address = settings.get_bind_address("peer_address")
        self._handlers = EndpointHandlers(kernel)
        self._servers: list[EndpointServer] = []

    def start(self) -> None:
        """Start the servers; raise OSError if an address is in use."""
        cherrypy.config.update(
            {
                "engine.autoreload.on": False,
                "checker.on": False,
                "log.screen": False,
                "request.show_tracebacks": False,
                "tools.encode.on": False,
            }
        )
        mount_config = {"/": {"request.process_request_body": False}}
        cherrypy.tree.mount(self._handlers, "/", mount_config)
        # CherryPy's engine is not used: it would wait 0.1 s for each server.
        for address in self._addresses:
            serves_peers = address == self._peer_address
            threads = PEER_SERVER_THREADS if serves_peers else THREADS_PER_SERVER
            server = EndpointServer(_build_server_adapter(address, threads))
            server.prepare()
            self._servers.append(server)
            name = f"{NAME}-{address.port}"
            threading.Thread(target=server.serve, name=name, daemon=True).start()

    def stop(self, deadline: float) -> None:
        """Stop the servers."""
        for server in self._servers:
            server.stop()

    def post(self, message: object) -> None:
        """Raise TypeError; the service accepts no messages."""
        raise TypeError(f"the endpoint accepts no messages: {message!r}")


def _build_server_adapter(address: Address, threads: int) -> Server:
    adapter = Server()
    adapter.socket_host = address.host
    adapter.socket_port = address.port
    adapter.thread_pool = threads
    adapter.socket_queue_size = MAX_WAITING_CONNECTIONS
    adapter.max_request_body_size = MAX_BODY_BYTES
    adapter.shutdown_timeout = SHUTDOWN_TIMEOUT_S
    return adapter


def _decode_call(call: str, of: str, body: bytes) -> Callable[[Any], object]:
    server = decode_server_name(of)
    if call == HEARTBEAT_CALL:
        announcement = decode_heartbeat(server, body)
        return lambda reply: ServerAnnounced(announcement, reply)
    if call == DEREGISTRATION_CALL:
        born = decode_deregistration(body)
        return lambda reply: ServerLeft(server, born, reply)
    raise DecodingError(f"'call' is {call!r}, which is not supported")


def _encode_response(value: object, status: int = 200) -> bytes:
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = "application/json"
    return msgspec.json.encode(value)


def setup(kernel: Kernel) -> None:
    """Register the service."""
    requires = ("settings", "metrics", "membership", "mirror")
    kernel.register(Registration(NAME, requires, EndpointService))
