"""Task that accepts operators' changes and writes them to the platform's store."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, Any

from monsoontray.configuration.messages import (
    Accepted,
    History,
    HistoryOutcome,
    OutcomeUnknown,
    Overtaken,
    ProposalOutcome,
    ProposeLists,
    ReadHistory,
    Rejected,
    StoreFailed,
)
from monsoontray.configuration.records import (
    HEAD_KEY,
    build_version_key,
    decode_head,
    encode_head,
)
from monsoontray.decoding.errors import DecodingError
from monsoontray.kernel.kernel import CrashPolicy, Kernel, Registration
from monsoontray.kernel.task import Task
from monsoontray.logs import logger
from monsoontray.plans.encoding import (
    compute_digest,
    decode_lists,
    decode_version,
    encode_version,
)
from monsoontray.plans.errors import CorruptVersionError, InvalidListsError
from monsoontray.plans.model import NO_VERSION, Lists, Version, VersionName
from monsoontray.store.outcomes import (
    ABSENT,
    Conflict,
    Done,
    NotDone,
    ReadOutcome,
    Record,
    Unknown,
)

if TYPE_CHECKING:
    from monsoontray.store.client import StoreClient

NAME = "acceptance"
MAX_CONTENT_BYTES = 1_000_000  # the platform's store limits values to a megabyte
MAX_HEAD_WRITES = 4


class Acceptance(Task):
    """Task that accepts proposals and owns the store client that writes them."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(NAME, kernel, handle_message)
        self._client: StoreClient = kernel.find("store").open_client("versions")

    def close(self) -> None:
        """Close the store client."""
        self._client.close()

    def propose(self, message: ProposeLists) -> ProposalOutcome:
        """Accept lists as the next version, or return why they are not accepted."""
        try:
            lists = decode_lists(message.lists)
        except InvalidListsError as error:
            return Rejected(tuple(error.faults))
        record = self._read(HEAD_KEY)
        if isinstance(record, NotDone):
            return StoreFailed(record.cause.value)
        head = decode_head(record)
        if head.number != message.based_on:
            return self._build_overtaken(message.based_on, head)
        return self._accept(lists, message.author, head, record.revision)

    def read_history(self, count: int) -> HistoryOutcome:
        """Return up to ``count`` of the latest versions, newest first."""
        record = self._read(HEAD_KEY)
        if isinstance(record, NotDone):
            return StoreFailed(record.cause.value)
        versions: list[Version] = []
        name: VersionName | None = decode_head(record)
        while name is not None and name != NO_VERSION and len(versions) < count:
            version = self._read_version(name)
            if isinstance(version, StoreFailed):
                return version
            versions.append(version)
            name = version.previous
        return History(tuple(versions))

    def _accept(
        self, lists: Lists, author: str, head: VersionName, revision: int
    ) -> ProposalOutcome:
        previous = None if head == NO_VERSION else head
        accepted_at = self.clock.wall_time()
        version = Version(head.number + 1, previous, author, accepted_at, lists)
        content = encode_version(version)
        if len(content) > MAX_CONTENT_BYTES:
            fault = (
                f"the version has {len(content)} bytes; "
                f"the limit is {MAX_CONTENT_BYTES} bytes"
            )
            return Rejected((fault,))
        name = VersionName(version.number, compute_digest(content))
        failure = self._write_content(name, content)
        if failure is not None:
            return failure
        result = self._update_head(name, head, revision)
        logger.bind(version=name.number).info("proposal by {}: {}", author, result)
        return result

    def _update_head(
        self, name: VersionName, head: VersionName, revision: int
    ) -> ProposalOutcome:
        """Set the head record to a version by compare-and-swap.

        If a write gets no answer, the head is read back. The write is repeated while
        the head has not changed: it expects the same revision each time, so it takes
        effect at most once.
        """
        cause = ""
        for _ in range(MAX_HEAD_WRITES):
            value = encode_head(name)
            outcome = self._client.compare_and_swap(HEAD_KEY, revision, value)
            if isinstance(outcome, Done):
                return Accepted(name)
            if isinstance(outcome, NotDone) and not cause:
                return StoreFailed(outcome.cause.value)
            if not isinstance(outcome, Conflict):
                cause = outcome.cause.value
            record = self._read(HEAD_KEY)
            if isinstance(record, NotDone):
                continue
            if record.revision != revision:
                return self._find_outcome_in_history(name, decode_head(record))
        return OutcomeUnknown(name, cause or "conflict")

    def _write_content(self, name: VersionName, content: bytes) -> StoreFailed | None:
        """Write a version's content under a key that contains its digest."""
        key = build_version_key(name)
        outcome = self._client.compare_and_swap(key, ABSENT, content)
        if isinstance(outcome, Done | Conflict):
            return None  # on a conflict, the same content is already stored
        if isinstance(outcome, Unknown):
            found = self._read(key)
            if isinstance(found, Record) and found.value == content:
                return None
        return StoreFailed(outcome.cause.value)

    def _find_outcome_in_history(
        self, name: VersionName, head: VersionName
    ) -> ProposalOutcome:
        """Look for a version in the history to find out whether it was accepted."""
        current = head
        while current.number > name.number:
            version = self._read_version(current)
            if isinstance(version, StoreFailed) or version.previous is None:
                return OutcomeUnknown(name, "history-unread")
            current = version.previous
        if current == name:
            return Accepted(name)
        return self._build_overtaken(name.number - 1, head)

    def _build_overtaken(self, based_on: int, head: VersionName) -> ProposalOutcome:
        author = ""
        if head != NO_VERSION:
            version = self._read_version(head)
            author = "" if isinstance(version, StoreFailed) else version.author
        return Overtaken(based_on, head.number, author)

    def _read(self, key: str) -> ReadOutcome:
        """Read a key; retry once, because a kept-alive connection may be stale."""
        outcome = self._client.get(key)
        if isinstance(outcome, NotDone):
            return self._client.get(key)
        return outcome

    def _read_version(self, name: VersionName) -> Version | StoreFailed:
        record = self._read(build_version_key(name))
        if isinstance(record, NotDone):
            return StoreFailed(record.cause.value)
        try:
            return decode_version(record.value, name)
        except CorruptVersionError as error:
            return StoreFailed(str(error))


@singledispatch
def handle_message(message: Any, acceptance: Acceptance) -> None:
    """Handle a message."""
    raise TypeError(f"unsupported message: {message!r}")


@handle_message.register(ProposeLists)
def _(message: ProposeLists, acceptance: Acceptance) -> None:
    try:
        message.reply.put(acceptance.propose(message))
    except DecodingError as error:
        message.reply.put(StoreFailed(f"the head record is corrupt: {error}"))


@handle_message.register(ReadHistory)
def _(message: ReadHistory, acceptance: Acceptance) -> None:
    try:
        message.reply.put(acceptance.read_history(message.count))
    except DecodingError as error:
        message.reply.put(StoreFailed(f"the head record is corrupt: {error}"))


def setup(kernel: Kernel) -> None:
    """Register the service."""
    requires = ("settings", "store", "configuration")
    kernel.register(Registration(NAME, requires, Acceptance, CrashPolicy.RESTART))
