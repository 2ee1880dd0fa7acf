"""Limits on the retries that all nodes together add to a service's load."""

from __future__ import annotations

from collections import deque

from monsoontray.decisions.bounds import FleetBounds

#: Share of the fleet's retry ratio that each route may use. A retried call sends its
#: own calls to other services again, where they count as retries. A route that only
#: such calls use thus gets the retries of its callers' routes in addition to its own.
ROUTE_RATIO_SHARE = 0.45
#: Share of the fleet's additional retries for each route. A service has a few routes.
ROUTE_SLACK_SHARE = 0.2


class RetryBudget:
    """Calls and retries of one route at this node, in a sliding window.

    The retries of a node are limited to a share of its own calls plus an equal part
    of the fleet's additional retries. The limits of all nodes add up to the limit of
    the fleet without coordination, also while nodes are isolated.
    """

    __slots__ = ("_calls", "_ratio", "_retries", "_window_s", "allowance")

    def __init__(self, ratio: float, window_s: float, allowance: float) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self.allowance = allowance  # retries per window beyond the share of the calls
        self._calls: deque[float] = deque()
        self._retries: deque[float] = deque()

    def count_call(self, now: float) -> None:
        """Count a call that a back end received for the first time."""
        self._drop_old(now)
        self._calls.append(now)

    def try_retry(self, now: float) -> bool:
        """Count a retry if the budget allows it; return whether it does."""
        self._drop_old(now)
        if len(self._retries) + 1 > self._ratio * len(self._calls) + self.allowance:
            return False
        self._retries.append(now)
        return True

    def _drop_old(self, now: float) -> None:
        oldest = now - self._window_s
        for times in (self._calls, self._retries):
            while times and times[0] <= oldest:
                times.popleft()


class RetryBudgets:
    """Retry budgets of a node, one for each service and route."""

    __slots__ = ("_bounds", "_budgets", "_fleet_size")

    def __init__(self, bounds: FleetBounds) -> None:
        self._bounds = bounds
        self._budgets: dict[tuple[str, str], RetryBudget] = {}
        self._fleet_size = 1

    def set_bounds(self, bounds: FleetBounds) -> None:
        """Set the bounds for budgets that are created from now on."""
        self._bounds = bounds

    def update_fleet_size(self, count: int) -> None:
        """Update the number of nodes in the fleet.

        The largest number seen so far is used: an isolated node sees fewer nodes,
        but the others still send retries.
        """
        self._fleet_size = max(self._fleet_size, count)
        for budget in self._budgets.values():
            budget.allowance = self._compute_allowance()

    def count_call(self, service: str, route: str, now: float) -> None:
        """Count a call that a backend server received for the first time."""
        self._get_budget(service, route).count_call(now)

    def try_retry(self, service: str, route: str, now: float) -> bool:
        """Count a retry if the budget allows it; return whether it does."""
        return self._get_budget(service, route).try_retry(now)

    def _get_budget(self, service: str, route: str) -> RetryBudget:
        key = (service, route)
        budget = self._budgets.get(key)
        if budget is None:
            ratio = self._bounds.retry_ratio * ROUTE_RATIO_SHARE
            window_s = self._bounds.retry_window_s
            budget = RetryBudget(ratio, window_s, self._compute_allowance())
            self._budgets[key] = budget
        return budget

    def _compute_allowance(self) -> float:
        return self._bounds.retry_slack * ROUTE_SLACK_SHARE / self._fleet_size
