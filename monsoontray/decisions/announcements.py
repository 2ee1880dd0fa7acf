"""Decide which announcement of the local backend server is current."""

from __future__ import annotations

import enum
from collections.abc import Iterable

from msgspec import Struct
from msgspec.structs import replace

from monsoontray.decisions.servers import ServerRecord, ServerState
from monsoontray.decoding.values import Timestamp, Token

MAX_ENDED_INCARNATIONS = 64  # the oldest ones are dropped
#: Time for which announcements of a server are ignored after it left without naming
#: its incarnation. Announcements may arrive seconds late.
DEPARTURE_RETENTION_S = 15.0
#: Departures that the next process of a node learns of; the oldest are dropped.
MAX_DEPARTURES = 16
_MS_PER_S = 1000


class Departure(Struct, frozen=True, array_like=True):
    """Leaving of a server that was acknowledged; the field order is the format."""

    server: Token
    born: Timestamp  # start of its incarnation in milliseconds; 0 if it was not named
    left_ms: Timestamp  # milliseconds since the epoch


class Announcement(Struct, frozen=True):
    """Announcement of a backend server to the node on its VM."""

    server: str
    service: str
    version: str
    slots: int
    state: ServerState
    cold_for_s: float
    born: int  # milliseconds since the epoch at which this incarnation started
    sequence: int  # increases with each announcement of an incarnation


class AnnouncementEffect(enum.Enum):
    """Effect of an announcement."""

    NOTHING = "nothing"
    REPEATED = "repeated"  # it is current, but changes nothing for other nodes
    CHANGED = "changed"
    STALE = "stale"  # it is older than the current one


class LocalServerTracker:
    """Current announcement of the server on this VM, and incarnations that ended."""

    __slots__ = (
        "_acknowledged",
        "_current",
        "_departures",
        "_ended_incarnations",
        "_last_left",
        "cold_until",
    )

    def __init__(self) -> None:
        self._current: Announcement | None = None
        self._last_left: Announcement | None = None
        #: Departures that were acknowledged here or in an earlier process.
        self._acknowledged: dict[tuple[str, int], Departure] = {}
        self.cold_until = 0.0
        #: Incarnations that left or were replaced by a later one, the oldest first.
        self._ended_incarnations: dict[tuple[str, int], None] = {}
        #: Servers that left without naming their incarnation: when the entry expires,
        #: and when the server left, in milliseconds since the epoch.
        self._departures: dict[str, tuple[float, float]] = {}

    def apply(self, announcement: Announcement, now: float) -> AnnouncementEffect:
        """Make an announcement the current one, unless it is stale."""
        incarnation = (announcement.server, announcement.born)
        current = self._current
        if incarnation in self._ended_incarnations or self._is_departed(
            announcement, now
        ):
            return AnnouncementEffect.STALE
        if current is not None:
            if announcement.born < current.born:
                return AnnouncementEffect.STALE
            is_same = incarnation == (current.server, current.born)
            if is_same and announcement.sequence <= current.sequence:
                return AnnouncementEffect.STALE
            if is_same and current.state is ServerState.LEAVING:
                # A leaving server does not return to service in this incarnation.
                announcement = replace(announcement, state=ServerState.LEAVING)
            if not is_same:
                self._mark_ended(current)
        self._current = announcement
        self.cold_until = now + announcement.cold_for_s
        if current is None or _strip_volatile(current) != _strip_volatile(announcement):
            return AnnouncementEffect.CHANGED
        return AnnouncementEffect.REPEATED

    def remove(self, server: str, born: int, now: float, wall_time: float) -> bool:
        """Handle the departure of a server; return whether it was the current one.

        The server may be unknown if this process started after its announcements. It
        need not name its incarnation; ``born`` is 0 then.
        """
        if not born:
            self._departures[server] = (
                now + DEPARTURE_RETENTION_S,
                wall_time * _MS_PER_S,
            )
        current = self._current
        if (
            current is None
            or current.server != server
            or (born and born != current.born)
        ):
            self._ended_incarnations[(server, born)] = None
            return False
        self._mark_ended(current)
        self._last_left = current
        self._current = None
        return True

    def acknowledge_departure(
        self, server: str, born: int, wall_time: float, has_left: bool = False
    ) -> bool:
        """Record a leaving that is acknowledged; return whether it is a new one.

        A server that has left without naming its incarnation may be a later one.
        """
        is_known = (server, born) in self._acknowledged
        if is_known and (born or not has_left):
            return False
        self._remember(Departure(server, born, int(wall_time * _MS_PER_S)))
        return True

    def get_departures(self) -> tuple[Departure, ...]:
        """Return the departures that the next process of this node must know."""
        return tuple(self._acknowledged.values())

    def restore(self, departures: Iterable[Departure], now: float) -> bool:
        """Apply departures that an earlier process has acknowledged.

        Return whether the current server is one of them.
        """
        is_current = False
        for each in departures:
            key = (each.server, each.born)
            known = self._acknowledged.get(key, each)
            self._acknowledged[key] = max(known, each, key=_get_time)
            if each.born:
                is_current |= self.restore_departure(each.server, each.born)
                continue
            until = now + DEPARTURE_RETENTION_S
            self._departures[each.server] = (until, each.left_ms)
            current = self._current
            if current is not None and self._is_departed(current, now):
                is_current |= self.restore_departure(current.server, current.born)
        # Those that are read again, in an earlier list, displace no later ones.
        acknowledged = sorted(self._acknowledged.values(), key=_get_time)
        self._acknowledged = {
            (each.server, each.born): each for each in acknowledged[-MAX_DEPARTURES:]
        }
        return is_current

    def restore_departure(self, server: str, born: int) -> bool:
        """Apply that an incarnation was leaving or had left in an earlier process.

        Return whether it is the current one, which then counts as leaving. An
        announcement that was sent before may arrive late, after the node's restart.
        """
        current = self._current
        if not born:
            return False
        if current is None or (current.server, current.born) != (server, born):
            self._ended_incarnations[(server, born)] = None
            return False
        if current.state is ServerState.LEAVING:
            return False
        self._current = replace(current, state=ServerState.LEAVING)
        return True

    def get_last_left(self) -> Announcement | None:
        """Return the last announcement of the server that left last, if any."""
        return self._last_left

    def build_record(self) -> ServerRecord | None:
        """Return the record of the server for the guard; None without a server."""
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

    def _remember(self, departure: Departure) -> None:
        key = (departure.server, departure.born)
        self._acknowledged.pop(key, None)
        self._acknowledged[key] = departure
        while len(self._acknowledged) > MAX_DEPARTURES:
            del self._acknowledged[next(iter(self._acknowledged))]

    def _is_departed(self, announcement: Announcement, now: float) -> bool:
        """Return whether an announcement is of an incarnation that has left."""
        until, left_ms = self._departures.get(announcement.server, (0.0, 0.0))
        if now >= until:
            self._departures.pop(announcement.server, None)
            return False
        return announcement.born <= left_ms

    def _mark_ended(self, announcement: Announcement) -> None:
        self._ended_incarnations[(announcement.server, announcement.born)] = None
        while len(self._ended_incarnations) > MAX_ENDED_INCARNATIONS:
            del self._ended_incarnations[next(iter(self._ended_incarnations))]


def _get_time(departure: Departure) -> int:
    return departure.left_ms


def _strip_volatile(announcement: Announcement) -> Announcement:
    """Return an announcement without the fields that other nodes do not use."""
    return replace(announcement, cold_for_s=0.0, sequence=0)
