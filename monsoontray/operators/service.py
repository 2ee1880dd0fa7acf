"""CherryPy front end: translates HTTP requests to messages and decides nothing."""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatch
from typing import TYPE_CHECKING, Any

import cherrypy
import msgspec

from monsoontray.configuration.messages import (
    Accepted,
    ConfigurationState,
    DescribeConfiguration,
    History,
    OutcomeUnknown,
    Overtaken,
    ProposeLists,
    ReadHistory,
    Rejected,
    StoreFailed,
)
from monsoontray.decisions.servers import ServerRecord, ServerState
from monsoontray.decoding.documents import decode_json
from monsoontray.decoding.errors import DecodingError
from monsoontray.forwarding.messages import DescribeForwarding
from monsoontray.kernel.errors import ReplyTimeoutError
from monsoontray.kernel.kernel import Kernel, Registration
from monsoontray.logs import logger
from monsoontray.membership.messages import (
    AnnounceServer,
    DescribeFleet,
    NodesBehind,
    ServerLeaving,
    WaitForVersion,
)
from monsoontray.operators.schemas import (
    Announcement,
    AnnouncementResponse,
    ErrorResponse,
    LeaveRequest,
    Proposal,
    ProposalResult,
    VersionSummary,
    WaitResponse,
)
from monsoontray.operators.status import build_status
from monsoontray.plans.encoding import decode_lists
from monsoontray.plans.errors import InvalidListsError
from monsoontray.plans.model import Version
from monsoontray.settings.settings import Settings, parse_address

if TYPE_CHECKING:
    from monsoontray.kernel.clock import Clock

NAME = "operators"
SERVER_THREADS = 8
MAX_WAIT_S = 60.0  # each waiting operator occupies one of the server's threads
MAX_INTEGER_DIGITS = 9
MS_PER_S = 1000
ASK_TIMEOUT_S = 2.0
PROPOSAL_TIMEOUT_S = 30.0
MAX_BODY_BYTES = 2_000_000
HISTORY_COUNT = 20


class OperatorsApi:
    """CherryPy handlers for the requests of operators and backend servers."""

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        self._kernel = kernel
        self._clock: Clock = kernel.clock
        self._lifetime_ms = settings.get_int("announcement_lifetime_ms")

    @cherrypy.expose
    def health(self) -> bytes:
        """Return "ok" to show that the node is running."""
        return b"ok\n"

    @cherrypy.expose
    def metrics(self) -> bytes:
        """Return the metrics in Prometheus text format."""
        cherrypy.response.headers["Content-Type"] = "text/plain; version=0.0.4"
        rendered: bytes = self._kernel.find("metrics").render()
        return rendered

    @cherrypy.expose
    def status(self) -> bytes:
        """Return the status of the fleet as this node sees it."""
        fleet = self._ask("membership", DescribeFleet)
        forwarding = self._ask("forwarding", DescribeForwarding)
        configuration = self._ask("configuration", DescribeConfiguration)
        return _render_json(build_status(fleet, forwarding, configuration))

    @cherrypy.expose
    def config(self) -> bytes:
        """Return the version in force, or propose lists with POST."""
        if cherrypy.request.method == "POST":
            return self._propose()
        configuration: ConfigurationState = self._ask(
            "configuration", DescribeConfiguration
        )
        if configuration.version is None:
            return _render_json(ErrorResponse("no version is in force"), 404)
        return _render_json(configuration.version)

    @cherrypy.expose
    def validate(self) -> bytes:
        """Validate lists without proposing them."""
        try:
            decode_lists(_read_body())
        except InvalidListsError as error:
            return _render_json(
                ProposalResult("rejected", faults=tuple(error.faults)), 422
            )
        return _render_json(ProposalResult("valid"))

    @cherrypy.expose
    def history(self) -> bytes:
        """Return summaries of the latest versions, newest first."""
        outcome = self._ask(
            "acceptance",
            lambda reply: ReadHistory(HISTORY_COUNT, reply),
            PROPOSAL_TIMEOUT_S,
        )
        return render_outcome(outcome)

    @cherrypy.expose
    def wait(self, version: str = "", timeout_ms: str = "") -> bytes:
        """Wait until a version is in force at every node, or until the timeout."""
        for name, text in (("version", version), ("timeout_ms", timeout_ms)):
            if not text.isdecimal() or len(text) > MAX_INTEGER_DIGITS:
                raise _BadRequestError(
                    f"{name!r} must be a whole number of at most "
                    f"{MAX_INTEGER_DIGITS} digits, not {text!r}"
                )
        wait_s = min(int(timeout_ms) / MS_PER_S, MAX_WAIT_S)
        deadline = self._clock.now() + wait_s
        behind: NodesBehind = self._ask(
            "membership",
            lambda reply: WaitForVersion(int(version), deadline, reply),
            wait_s + ASK_TIMEOUT_S,
        )
        nodes = behind.nodes
        return _render_json(WaitResponse(int(version), not nodes, nodes))

    @cherrypy.expose
    def announce(self) -> bytes:
        """Announce a backend server, or repeat its announcement."""
        body = _decode_body(Announcement)
        for name in ("slots", "connections"):
            value = getattr(body, name)
            if value < 1:
                raise _BadRequestError(f"{name!r} must be at least 1, not {value}")
        try:
            address = parse_address(body.address)
        except ValueError as error:
            raise _BadRequestError(f"'address': {error}") from None
        record = ServerRecord(
            server=body.server,
            service=body.service,
            version=body.version,
            resources=body.resources,
            slots=body.slots,
            connections=body.connections,
            state=ServerState.SERVING,
        )
        self._kernel.post("membership", AnnounceServer(record, address))
        return _render_json(AnnouncementResponse(self._lifetime_ms))

    @cherrypy.expose
    def leave(self) -> bytes:
        """Report that a backend server is leaving."""
        body = _decode_body(LeaveRequest)
        self._kernel.post("membership", ServerLeaving(body.server))
        return _render_json(AnnouncementResponse(self._lifetime_ms))

    def _propose(self) -> bytes:
        body = _decode_body(Proposal)
        outcome = self._ask(
            "acceptance",
            lambda reply: ProposeLists(
                bytes(body.lists), body.based_on, body.author, reply
            ),
            PROPOSAL_TIMEOUT_S,
        )
        return render_outcome(outcome)

    def _ask(
        self,
        service: str,
        build: Callable[[Any], object],
        timeout_s: float = ASK_TIMEOUT_S,
    ) -> Any:
        deadline = self._clock.now() + timeout_s
        try:
            return self._kernel.ask(service, build, deadline)
        except ReplyTimeoutError:
            raise cherrypy.HTTPError(
                503, f"service {service} did not answer in time"
            ) from None


class _BadRequestError(cherrypy.HTTPError):
    """Response 400: the body or a parameter of the request is invalid."""

    def __init__(self, message: str) -> None:
        super().__init__(400, message)


@singledispatch
def render_outcome(outcome: Any) -> bytes:
    """Return the response body for an outcome, and set the response's status."""
    raise TypeError(f"unsupported outcome: {outcome!r}")


@render_outcome.register(Accepted)
def _(outcome: Accepted) -> bytes:
    name = outcome.name
    return _render_json(ProposalResult("accepted", name.number, name.digest))


@render_outcome.register(Rejected)
def _(outcome: Rejected) -> bytes:
    return _render_json(ProposalResult("rejected", faults=outcome.faults), 422)


@render_outcome.register(Overtaken)
def _(outcome: Overtaken) -> bytes:
    by = f" by {outcome.author}" if outcome.author else ""
    detail = (
        f"the change is based on version {outcome.based_on}, "
        f"but version {outcome.latest}{by} is the latest"
    )
    return _render_json(ProposalResult("overtaken", outcome.latest, detail=detail), 409)


@render_outcome.register(StoreFailed)
def _(outcome: StoreFailed) -> bytes:
    detail = f"nothing was changed: the store failed ({outcome.cause})"
    return _render_json(ProposalResult("not-done", detail=detail), 503)


@render_outcome.register(OutcomeUnknown)
def _(outcome: OutcomeUnknown) -> bytes:
    name = outcome.name
    detail = (
        f"version {name.number} may or may not have been accepted ({outcome.cause}); "
        "check config history before trying again"
    )
    return _render_json(
        ProposalResult("unknown", name.number, name.digest, detail=detail), 504
    )


@render_outcome.register(History)
def _(outcome: History) -> bytes:
    return _render_json([_summarize_version(version) for version in outcome.versions])


def _summarize_version(version: Version) -> VersionSummary:
    return VersionSummary(
        number=version.number,
        digest_of_previous=version.previous.digest if version.previous else "",
        author=version.author,
        accepted_at=version.accepted_at,
        customers=len(version.lists.customers),
        plans=len(version.lists.plans),
    )


def _read_body() -> bytes:
    if cherrypy.request.method != "POST":
        raise cherrypy.HTTPError(405, "use POST")
    body: bytes = cherrypy.request.body.fp.read(MAX_BODY_BYTES + 1)
    if len(body) > MAX_BODY_BYTES:
        raise cherrypy.HTTPError(413, f"the body exceeds {MAX_BODY_BYTES} bytes")
    return body


def _decode_body(schema: Any) -> Any:
    try:
        return decode_json(_read_body(), schema)
    except DecodingError as error:
        raise _BadRequestError(str(error)) from None


def _render_json(value: object, status: int = 200) -> bytes:
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = "application/json"
    return msgspec.json.encode(value) + b"\n"


def _render_error(status: str, message: str, traceback: str, version: str) -> bytes:
    cherrypy.response.headers["Content-Type"] = "application/json"
    return msgspec.json.encode(ErrorResponse(message)) + b"\n"


class OperatorsService:
    """Service that runs the CherryPy server with the operators' API."""

    def __init__(self, kernel: Kernel) -> None:
        settings: Settings = kernel.find("settings").settings
        self._address = settings.get_address("operator_address")
        self._api = OperatorsApi(kernel, settings)

    def start(self) -> None:
        """Start the server; raise OSError if the address is in use."""
        cherrypy.config.update(
            {
                "server.socket_host": self._address.host,
                "server.socket_port": self._address.port,
                "server.thread_pool": SERVER_THREADS,
                "server.max_request_body_size": MAX_BODY_BYTES,
                "engine.autoreload.on": False,
                "checker.on": False,
                "log.screen": False,
                "request.show_tracebacks": False,
                "error_page.default": _render_error,
                "tools.encode.on": False,
            }
        )
        raw_body_config = {"/": {"request.process_request_body": False}}
        cherrypy.tree.mount(self._api, "/", raw_body_config)
        cherrypy.engine.signals.subscriptions = {}
        cherrypy.engine.start()
        logger.info("serving the operators' API at {}", self._address)

    def stop(self, deadline: float) -> None:
        """Stop the server."""
        cherrypy.engine.exit()

    def post(self, message: object) -> None:
        """Raise TypeError: the service accepts no messages."""
        raise TypeError(f"the operators service accepts no messages: {message!r}")


def setup(kernel: Kernel) -> None:
    """Register the service."""
    requires = ("settings", "metrics", "membership", "acceptance")
    kernel.register(Registration(NAME, requires, OperatorsService))
