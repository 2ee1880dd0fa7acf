"""Find out which guards can be reached, apart from the calls that need to know."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from monsoontray.forwarding.forwarder import Forwarder
    from monsoontray.settings.settings import Address

FIRST_PAUSE_S = 0.1  # between two connections to a lost guard, doubled up to the last
LAST_PAUSE_S = 0.8  # so that a guard is back in use within a second of its return
MAX_LOST = 16  # guards that are connected to at a time; the others wait for a call


class Reachability:
    """Connect to the guards that were lost, until they accept or are gone.

    A part of the forwarding task. Calls avoid a lost guard, so that none waits for
    the time-out by which its return would be tried out.
    """

    __slots__ = ("_checked", "_forwarder", "_lost")

    def __init__(self, forwarder: Forwarder) -> None:
        self._forwarder = forwarder
        self._lost: dict[str, float] = {}  # the next pause, by server
        self._checked: set[str] = set()  # servers whose guard is being connected to

    def check(self, server: str, address: Address) -> None:
        """Connect to a guard that is silent; it is lost if it does not accept."""
        if server in self._checked or server in self._lost:
            return
        self._checked.add(server)
        self._forwarder.pool.open_spare(
            address, partial(self._take_check, server, address)
        )

    def lose(self, server: str, address: Address) -> None:
        """Take that a guard could not be reached."""
        self._forwarder.loads.mark_unreachable(server)
        if server in self._lost or len(self._lost) >= MAX_LOST:
            return
        self._lost[server] = FIRST_PAUSE_S
        self._plan(server, address)

    def forget_except(self, servers: Collection[str]) -> None:
        """Connect no longer to the guards of servers that are gone."""
        for server in self._lost.keys() - servers:
            del self._lost[server]

    def _take_check(self, server: str, address: Address, opened: bool) -> None:
        self._checked.discard(server)
        if not opened:
            self.lose(server, address)

    def _plan(self, server: str, address: Address) -> None:
        pause_s = self._lost[server]
        self._lost[server] = min(2 * pause_s, LAST_PAUSE_S)
        forwarder = self._forwarder
        due = forwarder.now + pause_s * forwarder.random.uniform(0.75, 1.0)
        forwarder.timers.add(due, partial(self._connect, server, address))

    def _connect(self, server: str, address: Address) -> None:
        if server in self._lost and not self._forwarder.stopping:
            self._forwarder.pool.open_spare(
                address, partial(self._take_connection, server, address)
            )

    def _take_connection(self, server: str, address: Address, opened: bool) -> None:
        if server not in self._lost:
            return
        if opened:
            del self._lost[server]
            self._forwarder.loads.mark_reachable(server, self._forwarder.now)
        else:
            self._plan(server, address)
