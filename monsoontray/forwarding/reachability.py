"""Detect which guards accept connections, independently of calls to them."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from monsoontray.forwarding.upstream import ConnectOutcome

if TYPE_CHECKING:
    from collections.abc import Collection

    from monsoontray.forwarding.forwarder import Forwarder
    from monsoontray.settings.settings import Address

FIRST_PROBE_DELAY_S = 0.1  # doubled after each failed probe, up to the maximum
#: A guard that can be reached again is used within a second.
MAX_PROBE_DELAY_S = 0.8
MAX_PROBED_GUARDS = 16  # further unreachable guards are tried by calls only


class Reachability:
    """Prober of unreachable guards; part of the forwarding task.

    It connects to a guard until the guard accepts or is removed. Meanwhile, calls
    avoid the guard, so that no call has to wait for a timeout to find out whether it
    is reachable again.
    """

    __slots__ = ("_forwarder", "_probes_in_progress", "_unreachable")

    def __init__(self, forwarder: Forwarder) -> None:
        self._forwarder = forwarder
        self._unreachable: dict[str, float] = {}  # next probe delay, by server
        #: Servers whose unresponsive guard is being probed.
        self._probes_in_progress: set[str] = set()

    def probe(self, server: str, address: Address) -> None:
        """Connect to an unresponsive guard; mark it unreachable if that fails."""
        if server in self._probes_in_progress or server in self._unreachable:
            return
        self._probes_in_progress.add(server)
        self._forwarder.pool.preconnect(
            address, partial(self._on_unresponsive_probed, server, address)
        )

    def mark_unreachable(self, server: str, address: Address) -> None:
        """Mark a guard as unreachable and probe it until it accepts."""
        self._forwarder.loads.mark_unreachable(server)
        if server in self._unreachable or len(self._unreachable) >= MAX_PROBED_GUARDS:
            return
        self._unreachable[server] = FIRST_PROBE_DELAY_S
        self._schedule_probe(server, address)

    def remove_except(self, servers: Collection[str]) -> None:
        """Stop probing the guards of all but the given servers."""
        for server in self._unreachable.keys() - servers:
            del self._unreachable[server]

    def _on_unresponsive_probed(
        self, server: str, address: Address, outcome: ConnectOutcome
    ) -> None:
        self._probes_in_progress.discard(server)
        if outcome is not ConnectOutcome.CONNECTED:
            self.mark_unreachable(server, address)

    def _schedule_probe(self, server: str, address: Address) -> None:
        delay_s = self._unreachable[server]
        self._unreachable[server] = min(2 * delay_s, MAX_PROBE_DELAY_S)
        forwarder = self._forwarder
        due = forwarder.now + delay_s * forwarder.random.uniform(0.75, 1.0)
        forwarder.timers.add(due, partial(self._probe_unreachable, server, address))

    def _probe_unreachable(self, server: str, address: Address) -> None:
        if server in self._unreachable and not self._forwarder.stopping:
            self._forwarder.pool.preconnect(
                address, partial(self._on_unreachable_probed, server, address)
            )

    def _on_unreachable_probed(
        self, server: str, address: Address, outcome: ConnectOutcome
    ) -> None:
        if server not in self._unreachable:
            return
        if outcome is ConnectOutcome.CONNECTED:
            del self._unreachable[server]
            self._forwarder.loads.mark_reachable(server, self._forwarder.now)
        else:
            self._schedule_probe(server, address)
