"""What servers announce of themselves in the headers of their responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from monsoontray.decoding.documents import decode_decimal
from monsoontray.forwarding.messages import ServerLeaving
from monsoontray.forwarding.routes import EntryRoute
from monsoontray.logs import logger

if TYPE_CHECKING:
    from monsoontray.decisions.guard import GuardState
    from monsoontray.decisions.servers import Endpoint
    from monsoontray.forwarding.call import Call
    from monsoontray.forwarding.heads import ResponseHead

MAX_LIMIT_PER_S = 1_000_000.0
LEAVING = b"1"
MAX_DEPARTURES = 1_024  # the oldest are forgotten


class Departures:
    """Incarnations of servers that were said to leave in responses passed on here.

    Their guards refuse further calls, unless they have restarted and not learned of it.
    """

    __slots__ = ("_born",)

    def __init__(self) -> None:
        self._born: dict[str, int] = {}  # by server

    def add(self, server: str, born: int) -> None:
        """Add an incarnation of a server, which may be listed again later."""
        self._born.pop(server, None)
        self._born[server] = born
        if len(self._born) > MAX_DEPARTURES:
            del self._born[next(iter(self._born))]

    def includes(self, endpoint: Endpoint) -> bool:
        """Return whether a server is leaving."""
        return self._born.get(endpoint.server) == endpoint.born


def handle_announcements(call: Call, head: ResponseHead) -> None:
    """Apply what a response to a call says about the server that sent it."""
    http_profile = call.forwarder.http_profile
    if not http_profile.server_limit:
        return
    is_leaving = head.node_headers.get(http_profile.server_leaving) == LEAVING
    guard = call.guard
    if guard is not None:
        limit = head.node_headers.get(http_profile.server_limit)
        if limit is not None or guard.pace is not None:
            _apply_limit(call, guard, limit)
        if is_leaving and not guard.is_leaving:
            guard.mark_leaving()
            record = guard.record
            call.forwarder.kernel.post(
                "membership", ServerLeaving(record.server, record.born)
            )
            call.forwarder.guards.move_unsent(guard)
    if is_leaving and isinstance(call.route, EntryRoute):
        call.forwarder.add_departure(call.route.service, call.server)


def _apply_limit(call: Call, guard: GuardState, value: bytes | None) -> None:
    """Apply the limit of a response; a response without one ends it."""
    per_s = None if value is None else decode_decimal(value, MAX_LIMIT_PER_S)
    if value is not None and per_s is None:
        call.forwarder.metrics.count_refused_entry("server-limit")
        return
    if guard.set_limit(per_s, call.now):
        logger.bind(server=guard.record.server, limit_per_s=per_s).info(
            "local server limits its calls"
            if per_s is not None
            else "local server no longer limits its calls"
        )
