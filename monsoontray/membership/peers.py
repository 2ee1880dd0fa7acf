"""The gRPC front end between nodes.

It translates between calls and messages to other tasks and makes no decisions.
"""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import singledispatch
from typing import TYPE_CHECKING, Any

import grpc

from monsoontray.configuration.messages import (
    ContentFetched,
    ContentFetchFailed,
    ReadContent,
)
from monsoontray.kernel.errors import ReplyTimeoutError
from monsoontray.kernel.kernel import CrashPolicy, Kernel, Registration
from monsoontray.kernel.task import Task
from monsoontray.logs import logger
from monsoontray.membership import peer_pb2, peer_pb2_grpc
from monsoontray.membership.encoding import (
    Exchange,
    decode_exchange,
    decode_version_name,
    encode_exchange,
    encode_version_name,
)
from monsoontray.membership.errors import MalformedExchangeError
from monsoontray.membership.messages import (
    ChannelFailed,
    ChannelWorked,
    ExchangeAnswered,
    ExchangeFailed,
    ExchangeReceived,
    FetchFromPeer,
    SendExchange,
)

if TYPE_CHECKING:
    from monsoontray.settings.settings import Settings

NAME = "peers"
SERVER_THREADS = 4
MAX_CHANNELS = 32
FETCH_TIMEOUT_S = 3.0
FAILURES_TO_REPLACE = 2  # consecutive failed calls after which a channel is replaced
STOP_GRACE_S = 0.2
_CHANNEL_OPTIONS = (
    ("grpc.enable_http_proxy", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 2000),
    ("grpc.use_local_subchannel_pool", 1),
)
_SERVER_OPTIONS = (("grpc.so_reuseport", 0),)


class PeerFrontEnd(peer_pb2_grpc.PeerServicer):
    """gRPC service that turns calls of peers into messages to tasks of this node."""

    def __init__(self, kernel: Kernel, timeout_s: float) -> None:
        self._kernel = kernel
        self._timeout_s = timeout_s

    def Swap(  # noqa: N802 - named by the protocol
        self, request: peer_pb2.Exchange, context: grpc.ServicerContext
    ) -> peer_pb2.Exchange:
        """Answer an exchange."""
        try:
            exchange = decode_exchange(request)
        except MalformedExchangeError as error:
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        answer: Exchange = self._ask(
            "membership", lambda reply: ExchangeReceived(exchange, reply), context
        )
        return encode_exchange(answer)

    def FetchVersion(  # noqa: N802 - named by the protocol
        self, request: peer_pb2.VersionName, context: grpc.ServicerContext
    ) -> peer_pb2.VersionContent:
        """Return the content of a version that this node has in force."""
        name = decode_version_name(request)
        content: bytes = self._ask(
            "configuration", lambda reply: ReadContent(name, reply), context
        )
        if not content:
            context.abort(
                grpc.StatusCode.NOT_FOUND,
                f"no version {name.number} here",
            )
        return peer_pb2.VersionContent(content=content)

    def _ask(
        self,
        service: str,
        build: Callable[[Any], object],
        context: grpc.ServicerContext,
    ) -> Any:
        deadline = self._kernel.clock.now() + self._timeout_s
        try:
            return self._kernel.ask(service, build, deadline)
        except ReplyTimeoutError as error:
            context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, str(error))


class Peers(Task):
    """Task that owns the gRPC server and the channels to other nodes."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(NAME, kernel, handle_message)
        settings: Settings = kernel.find("settings").settings
        self._address = str(settings.get_bind_address("peer_address"))
        self._timeout_s = settings.get_seconds("exchange_timeout_ms")
        self._channels: dict[str, grpc.Channel] = {}
        self._consecutive_failures: dict[str, int] = {}  # by address
        self._server: grpc.Server | None = None

    def open(self) -> None:
        """Start the gRPC server."""
        pool = ThreadPoolExecutor(SERVER_THREADS, thread_name_prefix="peer-call")
        server = grpc.server(pool, options=_SERVER_OPTIONS)
        front_end = PeerFrontEnd(self.kernel, self._timeout_s)
        peer_pb2_grpc.add_PeerServicer_to_server(front_end, server)
        server.add_insecure_port(self._address)
        server.start()
        self._server = server

    def close(self) -> None:
        """Close the server and the channels."""
        if self._server is not None:
            self._server.stop(STOP_GRACE_S).wait()
        for channel in self._channels.values():
            channel.close()

    def send_exchange(self, message: SendExchange) -> None:
        """Send an exchange to a peer; the answer is posted to membership."""
        stub = peer_pb2_grpc.PeerStub(self._get_channel(message.address))
        request = encode_exchange(message.exchange)
        future = stub.Swap.future(request, timeout=self._timeout_s)
        had_failed = message.address in self._consecutive_failures

        def handle_answer(done: grpc.Future) -> None:
            answer = _read_answer(done, message)
            self._report_call(
                message.address, isinstance(answer, ExchangeFailed), had_failed
            )
            self.kernel.post("membership", answer)

        future.add_done_callback(handle_answer)

    def fetch_version(self, message: FetchFromPeer) -> None:
        """Fetch a version from a peer; its content is posted to configuration."""
        stub = peer_pb2_grpc.PeerStub(self._get_channel(message.address))
        request = encode_version_name(message.name)
        future = stub.FetchVersion.future(request, timeout=FETCH_TIMEOUT_S)
        had_failed = message.address in self._consecutive_failures

        def handle_content(done: grpc.Future) -> None:
            content = _read_content(done, message)
            failed = isinstance(content, ContentFetchFailed)
            self._report_call(message.address, failed, had_failed)
            self.kernel.post("configuration", content)

        future.add_done_callback(handle_content)

    def record_failure(self, address: str) -> None:
        """Count a failed call; replace a channel after several in a row.

        Its connection may be broken without being closed.
        """
        failures = self._consecutive_failures.get(address, 0) + 1
        self._consecutive_failures[address] = failures
        if failures >= FAILURES_TO_REPLACE:
            del self._consecutive_failures[address]
            channel = self._channels.pop(address, None)
            if channel is not None:
                logger.debug("replacing the channel to {}", address)
                channel.close()

    def record_success(self, address: str) -> None:
        """Reset the count of failed calls to an address."""
        self._consecutive_failures.pop(address, None)

    def _report_call(self, address: str, failed: bool, had_failed: bool) -> None:
        """Post the outcome of a call to this task; runs in a gRPC thread."""
        if failed:
            self.post(ChannelFailed(address))
        elif had_failed:
            self.post(ChannelWorked(address))

    def _get_channel(self, address: str) -> grpc.Channel:
        """Return the channel to an address; create it if there is none."""
        channel = self._channels.pop(address, None)
        if channel is None:
            channel = grpc.insecure_channel(address, options=_CHANNEL_OPTIONS)
            if len(self._channels) >= MAX_CHANNELS:
                oldest = next(iter(self._channels))
                self._channels.pop(oldest).close()
        self._channels[address] = channel  # in the order of their last use
        return channel


def _read_answer(
    done: grpc.Future, message: SendExchange
) -> ExchangeAnswered | ExchangeFailed:
    try:
        answer = decode_exchange(done.result())
    except (grpc.RpcError, grpc.FutureCancelledError, MalformedExchangeError) as error:
        logger.debug("exchange with {} failed: {}", message.address, error)
        return ExchangeFailed(message.node)
    return ExchangeAnswered(message.node, message.address, answer)


def _read_content(
    done: grpc.Future, message: FetchFromPeer
) -> ContentFetched | ContentFetchFailed:
    try:
        return ContentFetched(message.name, done.result().content)
    except (grpc.RpcError, grpc.FutureCancelledError) as error:
        logger.debug("fetch from {} failed: {}", message.address, error)
        return ContentFetchFailed(message.name)


@singledispatch
def handle_message(message: Any, peers: Peers) -> None:
    """Handle a message to the peers task."""
    raise TypeError(f"unsupported message: {message!r}")


@handle_message.register(SendExchange)
def _(message: SendExchange, peers: Peers) -> None:
    peers.send_exchange(message)


@handle_message.register(ChannelFailed)
def _(message: ChannelFailed, peers: Peers) -> None:
    peers.record_failure(message.address)


@handle_message.register(ChannelWorked)
def _(message: ChannelWorked, peers: Peers) -> None:
    peers.record_success(message.address)


@handle_message.register(FetchFromPeer)
def _(message: FetchFromPeer, peers: Peers) -> None:
    peers.fetch_version(message)


def setup(kernel: Kernel) -> None:
    """Register the service."""
    requires = ("settings", "membership", "configuration")
    kernel.register(Registration(NAME, requires, Peers, CrashPolicy.STOP_NODE))
