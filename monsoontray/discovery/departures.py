"""Record the departures that a node acknowledges, for its next process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from monsoontray.decisions.announcements import AnnouncementEffect
from monsoontray.discovery.encoding import encode_departures
from monsoontray.discovery.messages import (
    KeepDepartures,
    PublishDepartures,
    RecoverDepartures,
)
from monsoontray.store.outcomes import ABSENT

if TYPE_CHECKING:
    from collections.abc import Iterable

    from monsoontray.decisions.announcements import Departure, LocalServerTracker
    from monsoontray.decisions.directory import NodeDirectory
    from monsoontray.kernel.kernel import Kernel
    from monsoontray.kernel.mailbox import Reply

#: Longest time for which a server waits until the store has its leaving. Then it is
#: acknowledged all the same, because a server waits a second only.
MAX_ACKNOWLEDGEMENT_DELAY_S = 0.4
TELL_INTERVAL_S = 1.0  # between two times at which keepers are told
#: Longest time for which a new process uses no server because keepers have not answered
#: or are not listed.
MAX_RECOVERY_S = 1.0
#: Time for which a new process asks keepers that are listed later, because their leases
#: had lapsed. It then uses its server already, unless it learns that this has left.
LATE_RECOVERY_S = 5.0


class DepartureRecords:
    """Departures at the store and at other nodes; part of the membership task.

    The store may take them late or not at all. Until it has them, other nodes are told
    of them again and again, and keep them for the next process of this node.
    """

    __slots__ = (
        "_ask_until",
        "_directory",
        "_kernel",
        "_lists_others",
        "_node",
        "_position",
        "_recovery_deadline",
        "_tell_at",
        "_tracker",
        "_unacknowledged",
        "is_recovered",
    )

    def __init__(
        self,
        kernel: Kernel,
        node: str,
        tracker: LocalServerTracker,
        directory: NodeDirectory,
    ) -> None:
        self._kernel = kernel
        self._node = node
        self._tracker = tracker
        self._directory = directory
        #: Replies that wait for the store, with the time at which they are due.
        self._unacknowledged: list[tuple[float, Reply]] = []
        self._tell_at: float | None = None  # None if the store has all departures
        self._recovery_deadline: float | None = None
        self._ask_until = 0.0  # until then nodes that are listed now are asked
        self._lists_others = False  # whether the first listing had other nodes
        self._position = ABSENT  # of the record that was read last
        #: Whether this process knows what earlier ones acknowledged. Until then no
        #: server is used, as it may have left.
        self.is_recovered = False

    def find_next_deadline(self) -> float | None:
        """Return when a leaving is acknowledged, keepers are told or not awaited."""
        due = [deadline for deadline, _ in self._unacknowledged]
        optional = (self._tell_at, self._recovery_deadline)
        return min(due + [each for each in optional if each is not None], default=None)

    def run_due(self, now: float) -> None:
        """Acknowledge leavings, tell keepers or end the recovery, as far as due."""
        if any(deadline <= now for deadline, _ in self._unacknowledged):
            self._put_replies()
        if self._tell_at is not None and self._tell_at <= now:
            self._tell(now)
        if self._recovery_deadline is not None and self._recovery_deadline <= now:
            self._end_recovery()

    def record(self, server: str, born: int, has_left: bool = False) -> bool:
        """Write a leaving and tell the keepers; return whether it is a new one."""
        wall_time = self._kernel.clock.wall_time()
        if not self._tracker.acknowledge_departure(server, born, wall_time, has_left):
            return False
        self.publish()
        return True

    def acknowledge(
        self, server: str, born: int, reply: Reply, has_left: bool = False
    ) -> None:
        """Acknowledge a leaving once the store has it, so that it binds this node."""
        if self.record(server, born, has_left):
            deadline = self._kernel.clock.now() + MAX_ACKNOWLEDGEMENT_DELAY_S
            self._unacknowledged.append((deadline, reply))
        else:
            reply.put(AnnouncementEffect.REPEATED)

    def read(self, departures: Iterable[Departure], position: int) -> bool:
        """Apply departures of the store's record, at its position.

        Return whether the current server is one of them.
        """
        self._position = max(self._position, position)
        return self._tracker.restore(departures, self._kernel.clock.now())

    def publish(self) -> None:
        """Write all departures, and tell the keepers until the store has them."""
        departures = self._tracker.get_departures()
        message = PublishDepartures(encode_departures(departures), self._position)
        self._kernel.post("publisher", message)
        self._tell(self._kernel.clock.now())

    def handle_written(self, value: bytes) -> None:
        """Acknowledge the leavings if the store has the latest of them."""
        if value == encode_departures(self._tracker.get_departures()):
            self._tell_at = None
            self._put_replies()

    def begin_recovery(self) -> None:
        """Ask other nodes for what earlier processes acknowledged.

        Where no other node is listed, leases may have lapsed, and nodes are awaited.
        """
        now = self._kernel.clock.now()
        self._recovery_deadline = now + MAX_RECOVERY_S
        self._ask_until = now + LATE_RECOVERY_S
        nodes = self._directory.get_nodes()
        self._lists_others = any(node.node != self._node for node in nodes)
        self.ask_keepers()

    def ask_keepers(self) -> None:
        """Ask the keepers that are listed and were not asked, after a recent start."""
        if self._kernel.clock.now() < self._ask_until:
            nodes = self._directory.get_nodes()
            self._kernel.post("departure-keepers", RecoverDepartures(nodes))

    def recover(self, departures: Iterable[Departure], is_last: bool) -> bool:
        """Apply departures that another node has kept.

        Return whether the current server is one of them.
        """
        known = self._tracker.get_departures()
        is_current = self._tracker.restore(departures, self._kernel.clock.now())
        if set(self._tracker.get_departures()) != set(known):
            self.publish()
        if is_last and self._lists_others:
            self._end_recovery()
        return is_current

    def _tell(self, now: float) -> None:
        """Tell the keepers until the store has the departures."""
        self._tell_at = now + TELL_INTERVAL_S
        departures = self._tracker.get_departures()
        nodes = self._directory.get_nodes()
        self._kernel.post("departure-keepers", KeepDepartures(departures, nodes))

    def _put_replies(self) -> None:
        waiting, self._unacknowledged = self._unacknowledged, []
        for _, reply in waiting:
            reply.put(AnnouncementEffect.CHANGED)

    def _end_recovery(self) -> None:
        self.is_recovered = True
        self._recovery_deadline = None
