"""Account of what the forwarding task holds for callers, and of its descriptors."""

from __future__ import annotations

import resource
from typing import TYPE_CHECKING

from monsoontray.decisions.crowds import (
    choose_for_descriptors,
    choose_for_memory,
    compute_budget,
    compute_connection_limit,
    compute_room,
)
from monsoontray.forwarding.holdings import give_up

if TYPE_CHECKING:
    from monsoontray.decisions.crowds import Holding
    from monsoontray.forwarding.forwarder import Forwarder

#: Memory of a connection that holds nothing: its objects, parser and timer.
CONNECTION_COST = 4_096
DESCRIPTORS_PER_CLOSING = 16  # freed at once, since the search takes some time
MEMORY = "memory"
DESCRIPTORS = "descriptors"


class Account:
    """What all connections hold together, measured again once enough has come in."""

    __slots__ = ("_budget", "_connection_limit", "_forwarder", "room")

    def __init__(self, forwarder: Forwarder, memory_mb: int, descriptors: int) -> None:
        self._forwarder = forwarder
        system_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self._connection_limit = compute_connection_limit(
            min(descriptors, system_limit) if descriptors else system_limit
        )
        self._budget = compute_budget(memory_mb)
        #: Bytes that may come in until what is held is measured again.
        self.room = self._budget

    def update_budget(self, memory_mb: int) -> None:
        """Apply a changed setting; it takes effect when memory is measured next."""
        self._budget = compute_budget(memory_mb)
        self.room = min(self.room, self._budget)

    def relieve(self) -> None:
        """Measure what is held, and give up connections if it exceeds the budget."""
        forwarder = self._forwarder
        holdings = forwarder.find_holdings()
        open_cost = CONNECTION_COST * forwarder.count_connections()
        held = open_cost + sum(each.cost for each in holdings)
        budget = max(0, self._budget - open_cost)
        chosen = choose_for_memory(holdings, budget, forwarder.now)
        self._give_up(chosen, MEMORY, held)
        held -= sum(each.cost for each in chosen)
        self.room = compute_room(self._budget, held)

    def admit_connection(self) -> bool:
        """Return whether a new connection may stay; close others for it if needed."""
        self.room -= CONNECTION_COST
        forwarder = self._forwarder
        if forwarder.count_connections() <= self._connection_limit:
            return True
        holdings = forwarder.find_holdings()
        chosen = choose_for_descriptors(
            holdings, DESCRIPTORS_PER_CLOSING, forwarder.now
        )
        self._give_up(chosen, DESCRIPTORS, sum(each.cost for each in holdings))
        return forwarder.count_connections() <= self._connection_limit

    def _give_up(self, chosen: list[Holding], cause: str, held: int) -> None:
        if not chosen:
            return
        for each in chosen:
            if cause == DESCRIPTORS:
                each.connection.on_connection_lost()
            else:
                give_up(each.connection)
        self._forwarder.report.record_given_up(
            cause, len(chosen), held, self._budget, self._forwarder.count_connections()
        )
