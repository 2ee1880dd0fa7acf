"""Find out which guards can be reached, apart from the calls that need to know."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from monsoontray.forwarding.forwarder import Forwarder
    from monsoontray.settings.settings import Address

FIRST_PROBE_DELAY_S = (
    0.1  # between two connections to a lost guard, doubled up to the last
)
MAX_PROBE_DELAY_S = 0.8  # so that a guard is back in use within a second of its return
MAX_PROBED_GUARDS = (
    16  # guards that are connected to at a time; the others wait for a call
)


class Reachability:
    """Connect to the guards that were lost, until they accept or are gone.

    A part of the forwarding task. Calls avoid a lost guard, so that none waits for
    the time-out by which its return would be tried out.
    """

    __slots__ = ("_forwarder", "_probed", "_unreachable")

    def __init__(self, forwarder: Forwarder) -> None:
        self._forwarder = forwarder
        self._unreachable: dict[str, float] = {}  # the next pause, by server
        self._probed: set[str] = set()  # servers whose guard is being connected to

    def probe(self, server: str, address: Address) -> None:
        """Connect to a guard that is silent; it is lost if it does not accept."""
        if server in self._probed or server in self._unreachable:
            return
        self._probed.add(server)
        self._forwarder.pool.open_spare(
            address, partial(self._handle_check, server, address)
        )

    def mark_unreachable(self, server: str, address: Address) -> None:
        """Take that a guard could not be reached."""
        self._forwarder.loads.mark_unreachable(server)
        if server in self._unreachable or len(self._unreachable) >= MAX_PROBED_GUARDS:
            return
        self._unreachable[server] = FIRST_PROBE_DELAY_S
        self._schedule_probe(server, address)

    def forget_except(self, servers: Collection[str]) -> None:
        """Connect no longer to the guards of servers that are gone."""
        for server in self._unreachable.keys() - servers:
            del self._unreachable[server]

    def _handle_check(self, server: str, address: Address, opened: bool) -> None:
        self._probed.discard(server)
        if not opened:
            self.mark_unreachable(server, address)

    def _schedule_probe(self, server: str, address: Address) -> None:
        delay_s = self._unreachable[server]
        self._unreachable[server] = min(2 * delay_s, MAX_PROBE_DELAY_S)
        forwarder = self._forwarder
        due = forwarder.now + delay_s * forwarder.random.uniform(0.75, 1.0)
        forwarder.timers.add(due, partial(self._probe_unreachable, server, address))

    def _probe_unreachable(self, server: str, address: Address) -> None:
        if server in self._unreachable and not self._forwarder.stopping:
            self._forwarder.pool.open_spare(
                address, partial(self._handle_probe, server, address)
            )

    def _handle_probe(self, server: str, address: Address, opened: bool) -> None:
        if server not in self._unreachable:
            return
        if opened:
            del self._unreachable[server]
            self._forwarder.loads.mark_reachable(server, self._forwarder.now)
        else:
            self._schedule_probe(server, address)
