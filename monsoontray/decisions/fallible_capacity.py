"""An estimate of capacity that a guard can do without."""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Any, TypeVar

from monsoontray.decisions.capacity import Capacity, Estimate

_Answer = TypeVar("_Answer")


class FallibleCapacity:
    """Estimate of capacity whose faults cost the estimate, but no call.

    After a fault the slots that the server announces hold until its next incarnation.
    Only faults of arithmetic are borne; they are reported once for each estimate.
    """

    __slots__ = ("_build", "_estimate", "_report_fault", "_slots")

    def __init__(
        self,
        slots: int,
        build: Callable[[int], Capacity],
        report_fault: Callable[[Exception], None],
    ) -> None:
        self._slots = slots  # as the server announces
        self._build = build
        self._report_fault = report_fault
        self._estimate: Capacity | None = build(slots)

    def get_estimate(self) -> Estimate | None:
        """Return what is known of the slowing; None after a fault."""
        return self._ask(lambda estimate: estimate.get_estimate(), None)

    def get_limit(self) -> int:
        """Return how many calls may run at once now."""
        return self._ask(lambda estimate: estimate.get_limit(), self._slots)

    def get_learned_limit(self) -> int:
        """Return how many calls at once the server takes well."""
        return self._ask(lambda estimate: estimate.get_learned_limit(), self._slots)

    def update(self, slots: int, is_restarted: bool) -> None:
        """Set the announced slots; a later incarnation gets a new estimate."""
        self._slots = slots
        if self._estimate is None and is_restarted:
            self._estimate = self._build(slots)
        self._ask(lambda estimate: estimate.update(slots, is_restarted), None)

    def start(self, call: Any, now: float) -> None:
        """Count a call that starts."""
        self._ask(lambda estimate: estimate.start(call, now), None)

    def end(self, call: Any, now: float) -> None:
        """Count a call that ends without an observation of its time."""
        self._ask(lambda estimate: estimate.end(call, now), None)

    def observe(self, call: Any, route: str, seconds: float, now: float) -> None:
        """Learn from a call that ran to its end."""
        self._ask(lambda estimate: estimate.observe(call, route, seconds, now), None)

    def remove_routes_except(self, routes: Collection[str]) -> None:
        """Remove the times of routes that are not listed."""
        self._ask(lambda estimate: estimate.remove_routes_except(routes), None)

    def _ask(self, ask: Callable[[Capacity], _Answer], default: _Answer) -> _Answer:
        """Return an answer of the estimate, or a default one without it."""
        if self._estimate is None:
            return default
        try:
            return ask(self._estimate)
        except (ArithmeticError, ValueError) as error:
            self._estimate = None
            self._report_fault(error)
            return default
