"""The task that keeps a copy of the store for nodes that it does not serve."""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from monsoontray.discovery.messages import ReadMirror, StoreChanged, StoreListed
from monsoontray.discovery.relay import MirrorShape
from monsoontray.kernel.kernel import DeathPolicy, Kernel, Registration
from monsoontray.kernel.task import Task
from monsoontray.store.outcomes import Record

NAME = "mirror"


class Mirror(Task):
    """Own the copy: records by key, and the revision that they are from."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(NAME, kernel, handle_message)
        self._records: dict[str, Record] = {}
        self._revision = 0

    def replace(self, message: StoreListed) -> None:
        """Take everything anew."""
        self._records = {record.key: record for record in message.records}
        self._revision = message.revision

    def change(self, message: StoreChanged) -> None:
        """Take what was written and removed."""
        events = [(record, True) for record in message.records]
        events += [(record, False) for record in message.removed]
        for record, is_kept in sorted(events, key=lambda event: event[0].revision):
            if is_kept:
                self._records[record.key] = record
            else:
                self._records.pop(record.key, None)
        self._revision = message.revision

    def copy(self, known_revision: int) -> MirrorShape:
        """Return the copy, without records if it is not newer than what is known."""
        if self._revision <= known_revision:
            return MirrorShape(self._revision, ())
        return MirrorShape(self._revision, tuple(self._records.values()))


@singledispatch
def handle_message(message: Any, mirror: Mirror) -> None:
    """Act on a message."""
    raise TypeError(f"no such message: {message!r}")


@handle_message.register(StoreListed)
def _(message: StoreListed, mirror: Mirror) -> None:
    mirror.replace(message)


@handle_message.register(StoreChanged)
def _(message: StoreChanged, mirror: Mirror) -> None:
    mirror.change(message)


@handle_message.register(ReadMirror)
def _(message: ReadMirror, mirror: Mirror) -> None:
    message.reply.put(mirror.copy(message.known_revision))


def setup(kernel: Kernel) -> None:
    """Register the service."""
    kernel.register(Registration(NAME, (), Mirror, DeathPolicy.RESTART))
