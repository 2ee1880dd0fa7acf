"""The task that watches the store and tells other services what changed."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any

from loguru import logger

from monsoontray.decisions.backoff import compute_retry_time
from monsoontray.discovery.messages import StoreChanged, StoreListed
from monsoontray.discovery.relay import MIRRORED, RelayReader
from monsoontray.kernel.kernel import Kernel, Registration
from monsoontray.kernel.messages import Stop
from monsoontray.kernel.task import Task
from monsoontray.store.outcomes import Changes, Compacted, NotDone, Record

if TYPE_CHECKING:
    from monsoontray.settings.settings import Settings
    from monsoontray.store.client import StoreClient

NAME = "store-watch"
#: The services that hear of each change, and the key prefixes they hear of.
SUBSCRIBERS = (
    ("mirror", MIRRORED),
    ("rollouts", ("rollouts/",)),
    ("operator", ("op/",)),
    ("membership", ("nodes/",)),
)
EVERYTHING = ""
FIRST_RETRY_S = 0.1  # pause after a first failed call, doubled up to the last
LAST_RETRY_S = 0.8
LOST_WAIT_S = 0.2  # longest wait of a watch while the store is lost
#: Pause between watches, in which changes that come together are collected.
COLLECT_S = 0.4


class StoreWatch(Task):
    """Own the client that waits for changes; waits in the store, not in a mailbox."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(NAME, kernel, _reject)
        settings: Settings = kernel.find("settings").settings
        self._client: StoreClient = kernel.find("store").open_client()
        self._wait_s = settings.get_seconds("watch_wait_ms")
        self._random = Random(settings.get_text("node"))
        self._relay = RelayReader(kernel, self._random)
        self._failures = 0
        self._newest = 0  # the latest revision that is known here
        self._revision: int | None = None
        self._is_lost = False

    def stop(self, deadline: float) -> None:
        """Ask the task to end; a watch that waits ends with the process."""
        self.post(Stop(deadline))

    def serve(self) -> None:
        """List and watch until told to stop."""
        while True:
            due = self._list() if self._revision is None else self._watch()
            message = self.mailbox.take(due)
            if isinstance(message, Stop):
                return

    def close(self) -> None:
        """Release the client."""
        self._client.close()

    def _list(self) -> float:
        """Read everything; return when to go on."""
        outcome = self._client.list_prefix(EVERYTHING)
        if isinstance(outcome, NotDone):
            return self._fail("list", outcome)
        self._succeed()
        self._tell_all(outcome.records, outcome.revision)
        return self.clock.now()

    def _tell_all(self, records: tuple[Record, ...], revision: int) -> None:
        self._revision = revision
        self._newest = max(self._newest, revision)
        for service, prefixes in SUBSCRIBERS:
            found = tuple(r for r in records if r.key.startswith(prefixes))
            self.kernel.post(service, StoreListed(found, revision))

    def _watch(self) -> float:
        """Wait for changes; return when to go on."""
        assert self._revision is not None
        # A call that the store does not answer is given up sooner while it is lost,
        # so that its return is seen at once.
        wait_s = LOST_WAIT_S if self._is_lost else self._wait_s
        outcome = self._client.watch_prefix(EVERYTHING, self._revision, wait_s)
        if isinstance(outcome, NotDone):
            return self._fail("watch", outcome)
        self._succeed()
        if isinstance(outcome, Compacted):
            logger.bind(revision=self._revision).warning("store history is gone")
            self._revision = None
            return self.clock.now()
        self._revision = outcome.revision
        self._newest = max(self._newest, outcome.revision)
        self._tell(outcome)
        has_changes = outcome.records or outcome.removed
        return self.clock.now() + (COLLECT_S if has_changes else 0.0)

    def _tell(self, changes: Changes) -> None:
        for service, prefixes in SUBSCRIBERS:
            records = tuple(r for r in changes.records if r.key.startswith(prefixes))
            removed = tuple(r for r in changes.removed if r.key.startswith(prefixes))
            if records or removed:
                message = StoreChanged(records, removed, changes.revision)
                self.kernel.post(service, message)

    def _fail(self, call: str, outcome: NotDone) -> float:
        if not self._is_lost:
            self._is_lost = True
            logger.bind(call=call, cause=outcome.cause.value).warning("store lost")
        self._ask_peer()
        due = compute_retry_time(
            self.clock.now(), self._failures, FIRST_RETRY_S, LAST_RETRY_S, self._random
        )
        self._failures += 1
        return due

    def _ask_peer(self) -> None:
        """Take what another node has read, while the store does not serve this one."""
        listing = self._relay.read(self._newest)
        if listing is None or listing.revision <= self._newest:
            return
        logger.bind(revision=listing.revision).info("read the store through a peer")
        self._tell_all(listing.records, listing.revision)

    def _succeed(self) -> None:
        self._failures = 0
        if self._is_lost:
            self._is_lost = False
            logger.bind(revision=self._revision).info("store regained")


def _reject(message: Any, watch: StoreWatch) -> None:
    raise TypeError(f"no such message: {message!r}")


def setup(kernel: Kernel) -> None:
    """Register the service."""
    requires = ("settings", "store", "operator", "membership", "rollouts",
                "mirror")  # fmt: skip
    kernel.register(Registration(NAME, requires, StoreWatch))
