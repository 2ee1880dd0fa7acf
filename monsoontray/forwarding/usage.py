"""Count the calls that this node's guards send to their servers, for `usage`."""

from __future__ import annotations

from typing import TYPE_CHECKING

from monsoontray.decisions.usage import CallCounter
from monsoontray.usage.messages import TakeUsage, UsageCounted

if TYPE_CHECKING:
    from monsoontray.forwarding.call import Call
    from monsoontray.forwarding.forwarder import Forwarder

USAGE = "usage"


class UsageRecorder:
    """Counts of the calls of customers; nothing is counted without the service."""

    __slots__ = ("_counter", "_forwarder")

    def __init__(self, forwarder: Forwarder, window_s: float) -> None:
        self._forwarder = forwarder
        is_counted = window_s > 0 and forwarder.kernel.is_registered(USAGE)
        self._counter = CallCounter(window_s) if is_counted else None

    def count(self, call: Call) -> None:
        """Count a call whose request is sent to the local server."""
        if self._counter is not None and call.route.customer:
            call.usage_window = self._counter.count(
                call.route.customer, self._forwarder.now
            )

    def take_back(self, call: Call) -> None:
        """Take back the count of a call that its server did not run."""
        if self._counter is not None and call.usage_window:
            self._counter.take_back(call.route.customer, call.usage_window)
            call.usage_window = 0

    def report(self, message: TakeUsage) -> None:
        """Post what was counted since the last time, and use a time."""
        if self._counter is not None:
            self._counter.offset = message.offset
            self.report_last()

    def report_last(self) -> None:
        """Post what was counted since the last time."""
        if self._counter is not None:
            counts = self._counter.take()
            now = self._forwarder.now
            self._forwarder.kernel.post(USAGE, UsageCounted(counts, now))
