"""Decide which announcement of the local backend server holds."""

from __future__ import annotations

import enum
from dataclasses import dataclass, replace

from monsoontray.decisions.servers import ServerRecord, ServerState

MAX_FORMER = 64  # incarnations that are remembered as gone
#: Time that a server which left without telling its incarnation stays gone: its
#: announcements may arrive seconds late.
DEPARTED_S = 15.0
_MS_PER_S = 1000


@dataclass(slots=True, frozen=True)
class Announcement:
    """Hold what a backend server says of itself."""

    server: str
    service: str
    version: str
    slots: int
    state: ServerState
    cold_for_s: float
    born: int  # milliseconds since the epoch at which this incarnation started
    sequence: int  # rises with each announcement of an incarnation


class Effect(enum.Enum):
    """Say what an announcement has changed."""

    NOTHING = "nothing"
    REPEATED = "repeated"  # it holds, but other nodes need not hear of it
    CHANGED = "changed"
    STALE = "stale"  # it was sent before the one that holds


class LocalServer:
    """Hold the announcement in force of the server on this VM."""

    __slots__ = ("_departed", "_former", "_last", "cold_until")

    def __init__(self) -> None:
        self._last: Announcement | None = None
        self.cold_until = 0.0
        #: Incarnations that have left or were followed by another one.
        self._former: dict[tuple[str, int], None] = {}
        #: Servers that left untold in which incarnation: until when that holds, and
        #: the time of day at which they left, in milliseconds.
        self._departed: dict[str, tuple[float, float]] = {}

    def hear(self, announcement: Announcement, now: float) -> Effect:
        """Take an announcement unless a later one holds."""
        name = (announcement.server, announcement.born)
        last = self._last
        if name in self._former or self._has_departed(announcement, now):
            return Effect.STALE
        if last is not None:
            if announcement.born < last.born:
                return Effect.STALE
            same = name == (last.server, last.born)
            if same and announcement.sequence <= last.sequence:
                return Effect.STALE
            if same and last.state is ServerState.LEAVING:
                # A server that leaves does not come back in this incarnation.
                announcement = replace(announcement, state=ServerState.LEAVING)
            if not same:
                self._forget(last)
        self._last = announcement
        self.cold_until = now + announcement.cold_for_s
        if last is None or _describe(last) != _describe(announcement):
            return Effect.CHANGED
        return Effect.REPEATED

    def leave(self, server: str, born: int, now: float, wall: float) -> bool:
        """Take that a server has left; say whether it was the one that holds.

        This process may never have heard of it, and the server need not say which
        incarnation has left (``born`` is 0 then).
        """
        if not born:
            self._departed[server] = (now + DEPARTED_S, wall * _MS_PER_S)
        last = self._last
        if last is None or last.server != server or (born and born != last.born):
            self._former[(server, born)] = None
            return False
        self._forget(last)
        self._last = None
        return True

    def build_record(self) -> ServerRecord | None:
        """Return the server as guards know it, if there is one."""
        last = self._last
        if last is None:
            return None
        return ServerRecord(
            server=last.server,
            service=last.service,
            version=last.version,
            resources=(),
            slots=last.slots,
            connections=last.slots,
            state=last.state,
            born=last.born,
            cold_until=self.cold_until,
        )

    def _has_departed(self, announcement: Announcement, now: float) -> bool:
        """Say whether an announcement is of an incarnation that has left."""
        until, left_ms = self._departed.get(announcement.server, (0.0, 0.0))
        if now >= until:
            self._departed.pop(announcement.server, None)
            return False
        return announcement.born <= left_ms

    def _forget(self, last: Announcement) -> None:
        self._former[(last.server, last.born)] = None
        while len(self._former) > MAX_FORMER:
            del self._former[next(iter(self._former))]


def _describe(announcement: Announcement) -> Announcement:
    """Return what other nodes know of an announcement."""
    return replace(announcement, cold_for_s=0.0, sequence=0)
