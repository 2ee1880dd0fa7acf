"""The task that reads the store's changes and posts them to other services.

It reads the store itself or, in a large fleet, through one reader per zone.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any

from monsoontray.containment.encoding import PREFIX as CONTAINMENT_PREFIX
from monsoontray.decisions.freshness import Proof
from monsoontray.decisions.sources import StoreAccess
from monsoontray.decisions.store_retry import StoreRetry
from monsoontray.discovery.encoding import (
    DEPARTURES_KEY_PREFIX,
    MIRRORED_PREFIXES,
    NODE_KEY_PREFIX,
    USAGE_HOLDER_KEY,
)
from monsoontray.discovery.messages import (
    ChooseStoreAccess,
    StoreAccessChanged,
    StoreChanged,
    StoreListed,
)
from monsoontray.discovery.mirror_client import MirrorClient, PeerUpdate
from monsoontray.discovery.proofs import ProofReporter
from monsoontray.kernel.errors import KernelError
from monsoontray.kernel.kernel import Kernel, Registration
from monsoontray.kernel.messages import Stop
from monsoontray.kernel.task import Task
from monsoontray.logs import logger
from monsoontray.store.outcomes import Changes, Compacted, NotDone, Record

if TYPE_CHECKING:
    from monsoontray.decisions.directory import ListedNode
    from monsoontray.settings.settings import Settings
    from monsoontray.store.client import StoreClient

NAME = "store-watch"
#: Services that receive the changes, and the prefixes of the keys that each receives.
SUBSCRIBERS = (
    ("containment", (CONTAINMENT_PREFIX,)),
    ("mirror", MIRRORED_PREFIXES),
    ("rollouts", ("rollouts/",)),
    ("operator", ("op/",)),
    ("membership", (NODE_KEY_PREFIX, DEPARTURES_KEY_PREFIX)),
    ("usage-duty", (USAGE_HOLDER_KEY,)),
)
ALL_KEYS = ""
OUTAGE_WAIT_S = 0.2  # longest wait of a watch while the store is unreachable
#: Pause after a watch that returned changes, so that related changes arrive together.
BATCH_PAUSE_S = 0.4
#: The same while this node starts. Nodes that start together publish their servers one
#: after the other, and until this node has read of them, it refuses calls.
START_BATCH_PAUSE_S = 0.1
START_S = 1.5
#: Longest wait of a watch on a node that others read through. If the node cannot reach
#: the store, it reports this to them at most 0.5 s after this wait. They then have the
#: same time again to switch to another source.
READER_WAIT_S = 0.8
POLL_WAIT_S = 0.6  # time after which a reader answers without changes
POLL_PAUSE_S = 0.1  # minimum time between two requests to a reader
#: Time for which a reader that gave no update is excluded. Once two readers in a row
#: gave none, this node reads the store itself for this time. It is longer than most
#: disruptions of a single node.
EXCLUSION_S = 5.0
MAX_READERS_TRIED = 2
#: Time after the last read that found this node up to date, during which the changes
#: since then are read. Later the node lists the current records instead: the history
#: has every version of the configuration, and to read it over a slow link takes longer
#: than the next versions take to arrive.
MAX_REPLAY_S = 2.0
MEMBERSHIP_TIMEOUT_S = 0.5
#: A read of the store that takes longer than its wait by this time is logged.
SLOW_READ_S = 0.5
MS_PER_S = 1000


class StoreWatch(Task):
    """Task that owns the client which reads the store.

    It waits in calls to the store rather than in its mailbox.
    """

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(NAME, kernel, _reject)
        settings: Settings = kernel.find("settings").settings
        self._client: StoreClient = kernel.find("store").open_client("watch")
        self._wait_s = settings.get_seconds("watch_wait_ms")
        self._random = Random(settings.get_string("node"))
        self._mirror_client = MirrorClient(kernel, self._random)
        self._proofs = ProofReporter(kernel)
        #: Services of this node that receive changes, as in SUBSCRIBERS.
        self._subscribers = [s for s in SUBSCRIBERS if kernel.is_registered(s[0])]
        self._retry = StoreRetry(self._random)
        self._newest_revision = 0  # highest revision read so far
        self._revision: int | None = None  # None until the next listing
        self._is_store_unreachable = False
        self._excluded_until: dict[str, float] = {}  # by name of the reader
        self._reads_directly_until = 0.0  # until then this node reads the store itself
        self._readers_tried = 0  # consecutive readers that gave no update
        self._is_disturbed = False  # readers or the store did not answer
        self._replay_until = 0.0  # until then the changes since the revision are few
        self._reads_store: bool | None = None  # as last reported to the mirror
        self._started_until = self.clock.now() + START_S

    def stop(self, deadline: float) -> None:
        """Ask the task to end; a watch in progress ends with the process."""
        self.post(Stop(deadline))

    def serve(self) -> None:
        """Read the store until a message asks to stop."""
        while True:
            due = self.read()
            message = self.mailbox.get(due)
            if isinstance(message, Stop):
                return

    def close(self) -> None:
        """Close the client."""
        self._client.close()

    def read(self) -> float:
        """Read from the store or through a reader; return when to read next."""
        if self._revision is None:
            return self._list(StoreAccess())
        access = self._choose_store_access()
        now = self.clock.now()
        if access.sources and now >= self._reads_directly_until:
            return self._poll_reader(access.sources, self._revision)
        if access.sources and not self._retry.may_call(now):
            self._read_through_peers(access)
            return self._retry.compute_next_read(self.clock.now())
        if now >= self._replay_until:
            return self._list(access)
        return self._watch(self._revision, access)

    def _list(self, access: StoreAccess) -> float:
        """Read the whole store; return when to read next."""
        started_at = self.clock.now()
        outcome = self._client.list_prefix(ALL_KEYS)
        if isinstance(outcome, NotDone):
            return self._handle_failure("list", outcome, started_at, access)
        self._log_slow_read("list", outcome.records, started_at + SLOW_READ_S)
        self._handle_success()
        self._set_reads_store(True)
        self._post_listing(outcome.records, outcome.revision)
        self._report_proof(Proof(started_at, outcome.revision))
        return self.clock.now()

    def _post_listing(self, records: tuple[Record, ...], revision: int) -> None:
        self._revision = revision
        self._newest_revision = max(self._newest_revision, revision)
        self._mirror_client.add_delta_bases(records)
        for service, prefixes in self._subscribers:
            found = tuple(r for r in records if r.key.startswith(prefixes))
            self.kernel.post(service, StoreListed(found, revision))

    def _choose_store_access(self) -> StoreAccess:
        deadline = self.clock.now() + MEMBERSHIP_TIMEOUT_S
        try:
            access: StoreAccess = self.kernel.ask(
                "membership", ChooseStoreAccess, deadline
            )
        except KernelError as error:
            logger.warning("cannot get the readers of the store: {}", error)
            return StoreAccess()
        return access

    def _poll_reader(self, sources: tuple[ListedNode, ...], revision: int) -> float:
        """Read through a reader; return when to read next."""
        self._set_reads_store(False)
        now = self.clock.now()
        usable = [s for s in sources if self._excluded_until.get(s.node, 0.0) <= now]
        if not usable or self._readers_tried >= MAX_READERS_TRIED:
            self._readers_tried = 0
            self._reads_directly_until = now + EXCLUSION_S
            # The network of this node may be disturbed, so its own reads may fail too.
            self._is_disturbed = True
            logger.bind(for_s=EXCLUSION_S).info("no reader has news: reading the store")
            return now
        source = usable[0]
        wait_s = 0.0 if self._proofs.must_hurry() else POLL_WAIT_S
        update = self._mirror_client.poll_reader(source, revision, wait_s)
        reads_store = update is not None and update.reads_store
        has_changes = update is not None and update.revision > revision
        if update is not None and reads_store:
            if has_changes:
                self._apply_update(update)
            self._report_proof(update.proof)
        now = self.clock.now()
        if not reads_store or self._proofs.is_overdue():
            self._readers_tried += 1
            self._excluded_until[source.node] = now + EXCLUSION_S
            logger.bind(reader=source.node, answered=update is not None).info(
                "reader of the store is left out"
            )
            return now
        self._readers_tried = 0
        self._mark_current()
        pause_s = self._choose_batch_pause(now) if has_changes else POLL_PAUSE_S
        return now + pause_s

    def _report_proof(self, proof: Proof | None) -> None:
        self._proofs.report(proof, self._newest_revision)

    def _apply_update(self, update: PeerUpdate) -> None:
        """Post an update that was read through another node."""
        if update.is_complete:
            self._post_listing(update.records, update.revision)
        else:
            self._revision = self._newest_revision = update.revision
            self._post_changes(Changes(update.records, update.removed, update.revision))

    def _set_reads_store(self, reads_store: bool) -> None:
        """Report to the mirror whether this node reads the store itself."""
        if reads_store is not self._reads_store:
            self._reads_store = reads_store
            self.kernel.post("mirror", StoreAccessChanged(reads_store))

    def _watch(self, revision: int, access: StoreAccess) -> float:
        """Wait for changes in the store; return when to read next."""
        # While the store is unreachable, a call may never be answered. Short watches
        # end such a call soon, so that the recovery of the store is detected quickly.
        is_short = self._is_store_unreachable or self._is_disturbed
        wait_s = OUTAGE_WAIT_S if is_short else self._wait_s
        if access.for_others:
            wait_s = min(wait_s, READER_WAIT_S)
        wait_s = self._proofs.limit_wait(wait_s)
        started_at = self.clock.now()
        outcome = self._client.watch_prefix(ALL_KEYS, revision, wait_s)
        if isinstance(outcome, NotDone):
            return self._handle_failure("watch", outcome, started_at, access)
        self._handle_success()
        self._set_reads_store(True)
        if isinstance(outcome, Compacted):
            logger.bind(revision=self._revision).warning(
                "history of the store is compacted: listing all keys"
            )
            self._revision = None
            return self.clock.now()
        self._log_slow_read("watch", outcome.records, started_at + wait_s + SLOW_READ_S)
        self._revision = outcome.revision
        self._newest_revision = max(self._newest_revision, outcome.revision)
        self._post_changes(outcome)
        self._report_proof(Proof(started_at, outcome.revision))
        has_changes = outcome.records or outcome.removed
        now = self.clock.now()
        return now + self._choose_batch_pause(now) if has_changes else now

    def _choose_batch_pause(self, now: float) -> float:
        return START_BATCH_PAUSE_S if now < self._started_until else BATCH_PAUSE_S

    def _post_changes(self, changes: Changes) -> None:
        self._mirror_client.add_delta_bases(changes.records)
        for service, prefixes in self._subscribers:
            records = tuple(r for r in changes.records if r.key.startswith(prefixes))
            removed = tuple(r for r in changes.removed if r.key.startswith(prefixes))
            if records or removed:
                message = StoreChanged(records, removed, changes.revision)
                self.kernel.post(service, message)

    def _handle_failure(
        self, call: str, outcome: NotDone, started_at: float, access: StoreAccess
    ) -> float:
        """Read through peers after a failed call; return when to read next."""
        details = logger.bind(
            call=call,
            cause=outcome.cause.value,
            ms=round((self.clock.now() - started_at) * MS_PER_S),
        )
        if self._is_store_unreachable:
            details.info("store still lost")
        else:
            self._is_store_unreachable = True
            details.warning("store lost")
        self._set_reads_store(False)
        is_told = self._read_through_peers(access)
        now = self.clock.now()
        call_at = self._retry.record_failure(now)
        if not access.sources or not is_told:
            return call_at
        self._retry.record_lost(now)
        return self._retry.compute_next_read(now)

    def _read_through_peers(self, access: StoreAccess) -> bool:
        """Post a newer update of the zone's reader, or of a few other nodes.

        Return whether others have told that they do not reach the store either.
        """
        is_told, updates = False, list[PeerUpdate]()
        for reader in access.sources[:1]:
            update = self._mirror_client.poll_reader(reader, self._newest_revision, 0.0)
            is_told = update is not None
            if update is not None and update.reads_store:
                updates = [update]
                self._excluded_until.pop(reader.node, None)
                self._reads_directly_until = 0.0
        updates = updates or self._mirror_client.poll_peers(self._newest_revision)
        newest = max(updates, key=lambda update: update.revision, default=None)
        if newest is not None and newest.revision > self._newest_revision:
            logger.bind(revision=newest.revision).info("read the store through a peer")
            self._apply_update(newest)
        for update in updates:
            self._report_proof(update.proof)
        if any(update.reads_store for update in updates):
            self._replay_until = self.clock.now() + MAX_REPLAY_S
            self._retry.record_found()
            return False
        return is_told or bool(updates)

    def _log_slow_read(
        self, call: str, records: tuple[Record, ...], expected_by: float
    ) -> None:
        """Log a read whose response arrived late, with the size of its records."""
        late_s = self.clock.now() - expected_by
        if late_s > 0:
            logger.bind(
                call=call,
                late_ms=round(late_s * MS_PER_S),
                records=len(records),
                record_bytes=sum(len(record.value) for record in records),
            ).info("slow read of the store")

    def _mark_current(self) -> None:
        """Record that this node now knows all changes of the store."""
        self._replay_until = self.clock.now() + MAX_REPLAY_S
        self._is_disturbed = False
        self._retry.record_success()

    def _handle_success(self) -> None:
        self._mark_current()
        if self._is_store_unreachable:
            self._is_store_unreachable = False
            logger.bind(revision=self._revision).info("store regained")


def _reject(message: Any, watch: StoreWatch) -> None:
    raise TypeError(f"unsupported message: {message!r}")


def setup(kernel: Kernel) -> None:
    """Register the service."""
    requires = ("settings", "metrics", "store", "operator", "membership", "rollouts",
                "mirror", "containment")  # fmt: skip
    starts_after = ("usage-duty",)
    kernel.register(Registration(NAME, requires, StoreWatch, starts_after=starts_after))
