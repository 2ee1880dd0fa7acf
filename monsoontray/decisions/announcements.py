"""Decide which announcement of the local backend server holds."""

from __future__ import annotations

import enum
from dataclasses import dataclass, replace

from monsoontray.decisions.servers import ServerRecord, ServerState

MAX_ENDED_INCARNATIONS = 64  # incarnations that are remembered as gone
#: Time that a server which left without telling its incarnation stays gone: its
#: announcements may arrive seconds late.
DEPARTURE_RETENTION_S = 15.0
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


class AnnouncementEffect(enum.Enum):
    """Say what an announcement has changed."""

    NOTHING = "nothing"
    REPEATED = "repeated"  # it holds, but other nodes need not hear of it
    CHANGED = "changed"
    STALE = "stale"  # it was sent before the one that holds


class LocalServerTracker:
    """Hold the announcement in force of the server on this VM."""

    __slots__ = ("_current", "_departures", "_ended_incarnations", "cold_until")

    def __init__(self) -> None:
        self._current: Announcement | None = None
        self.cold_until = 0.0
        #: Incarnations that have left or were followed by another one.
        self._ended_incarnations: dict[tuple[str, int], None] = {}
        #: Servers that left untold in which incarnation: until when that holds, and
        #: the time of day at which they left, in milliseconds.
        self._departures: dict[str, tuple[float, float]] = {}

    def apply(self, announcement: Announcement, now: float) -> AnnouncementEffect:
        """Take an announcement unless a later one holds."""
        name = (announcement.server, announcement.born)
        current = self._current
        if name in self._ended_incarnations or self._is_departed(announcement, now):
            return AnnouncementEffect.STALE
        if current is not None:
            if announcement.born < current.born:
                return AnnouncementEffect.STALE
            same = name == (current.server, current.born)
            if same and announcement.sequence <= current.sequence:
                return AnnouncementEffect.STALE
            if same and current.state is ServerState.LEAVING:
                # A server that leaves does not come back in this incarnation.
                announcement = replace(announcement, state=ServerState.LEAVING)
            if not same:
                self._mark_ended(current)
        self._current = announcement
        self.cold_until = now + announcement.cold_for_s
        if current is None or _strip_volatile(current) != _strip_volatile(announcement):
            return AnnouncementEffect.CHANGED
        return AnnouncementEffect.REPEATED

    def remove(self, server: str, born: int, now: float, wall: float) -> bool:
        """Take that a server has left; say whether it was the one that holds.

        This process may never have heard of it, and the server need not say which
        incarnation has left (``born`` is 0 then).
        """
        if not born:
            self._departures[server] = (now + DEPARTURE_RETENTION_S, wall * _MS_PER_S)
        current = self._current
        if (
            current is None
            or current.server != server
            or (born and born != current.born)
        ):
            self._ended_incarnations[(server, born)] = None
            return False
        self._mark_ended(current)
        self._current = None
        return True

    def build_record(self) -> ServerRecord | None:
        """Return the server as guards know it, if there is one."""
        current = self._current
        if current is None:
            return None
        return ServerRecord(
            server=current.server,
            service=current.service,
            version=current.version,
            resources=(),
            slots=current.slots,
            connections=current.slots,
            state=current.state,
            born=current.born,
            cold_until=self.cold_until,
        )

    def _is_departed(self, announcement: Announcement, now: float) -> bool:
        """Say whether an announcement is of an incarnation that has left."""
        until, left_ms = self._departures.get(announcement.server, (0.0, 0.0))
        if now >= until:
            self._departures.pop(announcement.server, None)
            return False
        return announcement.born <= left_ms

    def _mark_ended(self, current: Announcement) -> None:
        self._ended_incarnations[(current.server, current.born)] = None
        while len(self._ended_incarnations) > MAX_ENDED_INCARNATIONS:
            del self._ended_incarnations[next(iter(self._ended_incarnations))]


def _strip_volatile(announcement: Announcement) -> Announcement:
    """Return what other nodes know of an announcement."""
    return replace(announcement, cold_for_s=0.0, sequence=0)
