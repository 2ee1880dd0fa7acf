"""Task that decides which version is in force at this node and enforces it."""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from monsoontray.configuration.messages import (
    BaselineFound,
    ConfigurationState,
    ContentFetched,
    ContentFetchFailed,
    DescribeConfiguration,
    PeersAnswered,
    ReadContent,
    VersionReported,
)
from monsoontray.decisions.admission import Entitlements
from monsoontray.decisions.adoption import Adoption
from monsoontray.decisions.enforcement import (
    REFERENCE_WAIT_S,
    PendingVersion,
    Readiness,
    find_missing_references,
)
from monsoontray.decisions.servers import ServerTable
from monsoontray.decisions.version_tracker import VersionTracker
from monsoontray.forwarding.messages import UpdateEntitlements, UpdateServers
from monsoontray.kernel.kernel import Kernel, Registration
from monsoontray.kernel.task import Task
from monsoontray.logs import logger
from monsoontray.membership.messages import FetchFromPeer, VersionInForce
from monsoontray.plans.encoding import decode_version
from monsoontray.plans.errors import CorruptVersionError
from monsoontray.plans.model import Version, VersionName

NAME = "configuration"
FETCH_RETRY_DELAY_S = 4.0  # delay before an unanswered fetch is sent again


class Configuration(Task):
    """Task that owns the version in force, its content and the pending version."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(NAME, kernel, handle_message)
        self._tracker = VersionTracker()
        self._servers = ServerTable()
        self._version: Version | None = None
        self._content = b""
        self._pending_version: Version | None = None
        self._pending_content = b""
        self._fetch_retry_at: dict[VersionName, float] = {}
        self._waiting_routes: tuple[str, ...] = ()
        self._refusal_reason = ""

    def find_next_deadline(self) -> float | None:
        """Return when the pending version stops waiting for missing references."""
        return self._tracker.find_next_deadline()

    def on_deadline(self) -> None:
        """Enforce the pending version if it is ready."""
        self._enforce_if_ready()

    def handle_report(self, message: VersionReported) -> None:
        """Fetch a newer version from the peer that has it."""
        now = self.clock.now()
        adoption = self._tracker.evaluate_version(message.name)
        if adoption is Adoption.FORK:
            self._refuse_version(f"version {message.name.number} has two digests")
            return
        if (
            adoption is Adoption.IGNORE
            or self._fetch_retry_at.get(message.name, 0.0) > now
        ):
            return
        self._fetch_retry_at[message.name] = now + FETCH_RETRY_DELAY_S
        self.kernel.post("peers", FetchFromPeer(message.name, message.address))

    def handle_content(self, message: ContentFetched) -> None:
        """Validate a fetched version and make it the pending one."""
        name = message.name
        self._fetch_retry_at.pop(name, None)
        if not self._tracker.needs_content(name):
            return
        try:
            version = decode_version(message.content, name)
        except CorruptVersionError as error:
            self._refuse_version(str(error))
            return
        deadline = self.clock.now() + REFERENCE_WAIT_S
        self._tracker.offer(PendingVersion(Entitlements(name, version), deadline))
        self._pending_version = version
        self._pending_content = message.content
        self._enforce_if_ready()

    def handle_failed_fetch(self, name: VersionName) -> None:
        """Allow a failed fetch to be repeated at once."""
        self._fetch_retry_at.pop(name, None)

    def set_baseline(self, name: VersionName) -> None:
        """Set the store's head as the oldest version that may be enforced."""
        self._tracker.raise_baseline(name)
        self._enforce_if_ready()

    def update_peer_counts(self, message: PeersAnswered) -> None:
        """Set the baseline without the store if enough peers have answered."""
        self._tracker.set_baseline_from_peers(message.answered, message.known)
        self._enforce_if_ready()

    def update_servers(self, servers: ServerTable) -> None:
        """Replace the table of the fleet's servers."""
        self._servers = servers
        self._enforce_if_ready()
        if self._waiting_routes:
            self._update_waiting_routes()

    def read_content(self, name: VersionName) -> bytes:
        """Return a version's content, or nothing if it is not in force here."""
        return self._content if name == self._tracker.get_in_force() else b""

    def describe(self) -> ConfigurationState:
        """Return the version in force, missing references and the last refusal."""
        return ConfigurationState(
            self._tracker.get_in_force(),
            self._version,
            self._waiting_routes,
            self._refusal_reason,
        )

    def _enforce_if_ready(self) -> None:
        readiness = self._tracker.check_readiness(self._servers, self.clock.now())
        if readiness is not Readiness.READY:
            if readiness is not None:
                logger.debug("pending version is not ready: {}", readiness.value)
            return
        entitlements = self._tracker.enforce_pending().entitlements
        self._version = self._pending_version
        self._content = self._pending_content
        self._pending_version = None
        self._pending_content = b""
        self._refusal_reason = ""
        self.kernel.post("forwarding", UpdateEntitlements(entitlements))
        self.kernel.find("metrics").set_version(entitlements.name.number)
        logger.bind(version=entitlements.name.number).info("version in force")
        self._waiting_routes = find_missing_references(entitlements, self._servers)
        self._report_version_in_force()

    def _update_waiting_routes(self) -> None:
        assert self._version is not None
        entitlements = Entitlements(self._tracker.get_in_force(), self._version)
        missing = find_missing_references(entitlements, self._servers)
        if missing != self._waiting_routes:
            self._waiting_routes = missing
            self._report_version_in_force()

    def _report_version_in_force(self) -> None:
        message = VersionInForce(self._tracker.get_in_force(), self._waiting_routes)
        self.kernel.post("membership", message)

    def _refuse_version(self, reason: str) -> None:
        self._refusal_reason = reason
        self.kernel.find("metrics").count_refused_version()
        logger.error("version refused: {}", reason)


@singledispatch
def handle_message(message: Any, configuration: Configuration) -> None:
    """Handle a message."""
    raise TypeError(f"unsupported message: {message!r}")


@handle_message.register(VersionReported)
def _(message: VersionReported, configuration: Configuration) -> None:
    configuration.handle_report(message)


@handle_message.register(ContentFetched)
def _(message: ContentFetched, configuration: Configuration) -> None:
    configuration.handle_content(message)


@handle_message.register(ContentFetchFailed)
def _(message: ContentFetchFailed, configuration: Configuration) -> None:
    configuration.handle_failed_fetch(message.name)


@handle_message.register(BaselineFound)
def _(message: BaselineFound, configuration: Configuration) -> None:
    configuration.set_baseline(message.name)


@handle_message.register(PeersAnswered)
def _(message: PeersAnswered, configuration: Configuration) -> None:
    configuration.update_peer_counts(message)


@handle_message.register(UpdateServers)
def _(message: UpdateServers, configuration: Configuration) -> None:
    configuration.update_servers(message.servers)


@handle_message.register(ReadContent)
def _(message: ReadContent, configuration: Configuration) -> None:
    message.reply.put(configuration.read_content(message.name))


@handle_message.register(DescribeConfiguration)
def _(message: DescribeConfiguration, configuration: Configuration) -> None:
    message.reply.put(configuration.describe())


def setup(kernel: Kernel) -> None:
    """Register the service."""
    requires = ("settings", "metrics", "membership")
    kernel.register(Registration(NAME, requires, Configuration))
