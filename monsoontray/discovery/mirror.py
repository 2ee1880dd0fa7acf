"""The task that keeps a copy of the store and serves it to other nodes."""

from __future__ import annotations

from collections import deque
from functools import singledispatch
from typing import Any

from msgspec.structs import replace

from monsoontray.decisions.deltas import Delta, build_delta
from monsoontray.decisions.freshness import Proof, compute_lead
from monsoontray.discovery.encoding import DELTA_MIN_BYTES, MirrorRecord, MirrorResponse
from monsoontray.discovery.messages import (
    ReadMirror,
    StoreAccessChanged,
    StoreChanged,
    StoreListed,
    StoreProven,
)
from monsoontray.kernel.kernel import CrashPolicy, Kernel, Registration
from monsoontray.kernel.task import Task
from monsoontray.store.outcomes import Record

NAME = "mirror"
MAX_REMOVALS = 1_000  # a node that missed older removals gets a complete copy
#: Earlier values kept per large record: about as many as one failover writes.
MAX_DELTA_BASES = 8
MAX_PENDING_READS = 12  # further requests are answered at once


class Mirror(Task):
    """Task that owns the copy of the store and the requests that wait for changes."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(NAME, kernel, handle_message)
        self._records: dict[str, Record] = {}
        self._is_listed = False  # the records include those of a listing
        self._removed: dict[str, int] = {}  # key to the revision of the removal
        #: Earlier values of large records.
        self._delta_bases: dict[str, deque[Record]] = {}
        self._deltas: dict[tuple[str, int], Delta] = {}  # by key and base revision
        self._revision = 0
        self._removals_known_since = 0  # all removals after this revision are known
        self._reads_store = False
        self._proof: Proof | None = None
        self._pending_reads: list[ReadMirror] = []

    def find_next_deadline(self) -> float | None:
        """Return when the next pending request is answered even without changes."""
        return min((request.deadline for request in self._pending_reads), default=None)

    def on_deadline(self) -> None:
        """Answer the pending requests whose deadline has passed."""
        now = self.clock.now()
        self._answer(
            [request for request in self._pending_reads if request.deadline <= now]
        )

    def apply_listing(self, message: StoreListed) -> None:
        """Replace all records by those of a listing.

        After the first listing, the difference to the known records is kept like other
        changes, so that nodes which know an earlier revision need no complete response.
        """
        listed = {record.key: record for record in message.records}
        if not self._is_listed:
            self._is_listed = True
            self._records = listed
            self._removals_known_since = message.revision
        else:
            for key in self._records.keys() - listed.keys():
                self._remove_record(key, message.revision)
            for record in message.records:
                known = self._records.get(record.key)
                if known is None or known.revision < record.revision:
                    self._set_record(record)
        self._finish_update(message.revision)

    def apply_changes(self, message: StoreChanged) -> None:
        """Apply writes and removals in the order of their revisions."""
        events = [(record, True) for record in message.records]
        events += [(record, False) for record in message.removed]
        for record, is_write in sorted(events, key=lambda event: event[0].revision):
            if is_write:
                self._set_record(record)
            else:
                self._remove_record(record.key, record.revision)
        self._finish_update(message.revision)

    def set_proof(self, proof: Proof) -> None:
        """Record that the copy has all changes up to a moment."""
        if self._is_listed:
            self._proof = proof

    def set_reads_store(self, reads_store: bool) -> None:
        """Update whether this node reads the store itself.

        If it does not, answer all pending requests, so that the requesting nodes switch
        to another source.
        """
        self._reads_store = reads_store
        if not reads_store:
            self._answer(self._pending_reads)

    def handle_read(self, request: ReadMirror) -> None:
        """Answer a request, or keep it until there are changes to report."""
        has_update = self._revision > request.known_revision or not self._reads_store
        if has_update or len(self._pending_reads) >= MAX_PENDING_READS:
            self._reply(request)
        else:
            self._pending_reads.append(request)

    def build_response(self, known_revision: int) -> MirrorResponse:
        """Return the changes since a revision.

        The response has all records if some removals since then are not known.
        """
        if self._revision <= known_revision:
            return MirrorResponse(self._revision, self._reads_store)
        if known_revision < self._removals_known_since:
            records = tuple(
                MirrorRecord(each.key, each.revision, each.value)
                for each in self._records.values()
            )
            return MirrorResponse(self._revision, self._reads_store, True, records)
        return MirrorResponse(
            self._revision,
            self._reads_store,
            False,
            tuple(
                self._encode_record(record, known_revision)
                for record in self._records.values()
                if record.revision > known_revision
            ),
            tuple(r for r in self._removed.items() if r[1] > known_revision),
        )

    def _finish_update(self, revision: int) -> None:
        """Forget old removals, and answer the requests that wait for changes."""
        while len(self._removed) > MAX_REMOVALS:
            key = next(iter(self._removed))
            self._removals_known_since = max(
                self._removals_known_since, self._removed.pop(key)
            )
        self._deltas.clear()
        self._revision = revision
        self._answer_reads_with_updates()

    def _set_record(self, record: Record) -> None:
        known = self._records.get(record.key)
        if known is not None and len(known.value) >= DELTA_MIN_BYTES:
            earlier = self._delta_bases.setdefault(
                record.key, deque(maxlen=MAX_DELTA_BASES)
            )
            earlier.append(known)
        self._records[record.key] = record
        self._removed.pop(record.key, None)

    def _remove_record(self, key: str, revision: int) -> None:
        self._records.pop(key, None)
        # The removals stay in the order of their revisions.
        self._removed.pop(key, None)
        self._removed[key] = revision

    def _encode_record(self, record: Record, known_revision: int) -> MirrorRecord:
        """Return a record; a large one as a delta to the value that the peer has."""
        earlier = self._delta_bases.get(record.key, ())
        base = max(
            (each for each in earlier if each.revision <= known_revision),
            key=lambda each: each.revision,
            default=None,
        )
        if base is None or len(record.value) < DELTA_MIN_BYTES:
            return MirrorRecord(record.key, record.revision, record.value)
        key = (record.key, base.revision)
        delta = self._deltas.get(key)
        if delta is None:
            delta = self._deltas[key] = build_delta(base.value, record.value)
        return MirrorRecord(record.key, record.revision, b"", base.revision, delta)

    def _answer_reads_with_updates(self) -> None:
        """Answer the pending requests that know only an older revision."""
        self._answer(
            [
                request
                for request in self._pending_reads
                if request.known_revision < self._revision
            ]
        )

    def _answer(self, requests: list[ReadMirror]) -> None:
        answered = list(requests)
        self._pending_reads = [
            request for request in self._pending_reads if request not in answered
        ]
        for request in answered:
            self._reply(request)

    def _reply(self, request: ReadMirror) -> None:
        """Answer a request, with the proof that the answer has all changes."""
        response = self.build_response(request.known_revision)
        proof = self._proof
        if proof is not None and request.received_at is not None:
            response = replace(
                response,
                proof_lead_s=compute_lead(proof, request.received_at),
                proof_revision=proof.revision,
            )
        request.reply.put(response)


@singledispatch
def handle_message(message: Any, mirror: Mirror) -> None:
    """Handle a message to the mirror task."""
    raise TypeError(f"unsupported message: {message!r}")


@handle_message.register(StoreListed)
def _(message: StoreListed, mirror: Mirror) -> None:
    mirror.apply_listing(message)


@handle_message.register(StoreChanged)
def _(message: StoreChanged, mirror: Mirror) -> None:
    mirror.apply_changes(message)


@handle_message.register(StoreProven)
def _(message: StoreProven, mirror: Mirror) -> None:
    mirror.set_proof(message.proof)


@handle_message.register(StoreAccessChanged)
def _(message: StoreAccessChanged, mirror: Mirror) -> None:
    mirror.set_reads_store(message.reads_store)


@handle_message.register(ReadMirror)
def _(message: ReadMirror, mirror: Mirror) -> None:
    mirror.handle_read(message)


def setup(kernel: Kernel) -> None:
    """Register the service."""
    kernel.register(Registration(NAME, (), Mirror, CrashPolicy.RESTART))
