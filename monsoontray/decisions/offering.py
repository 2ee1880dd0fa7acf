"""Whether a call is offered to a server that must not queue it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from monsoontray.decisions.servers import Endpoint, LoadView, Location


def find_wasted_offers(
    candidates: Iterable[Endpoint],
    location: Location,
    loads: LoadView,
    now: float,
    full_memory_s: float,
) -> set[str]:
    """Return the servers of other zones that would refuse an offer for want of a slot.

    Such an offer costs bytes between zones and the time of a round trip.
    """
    if not full_memory_s:
        return set()
    return {
        endpoint.server
        for endpoint in candidates
        if endpoint.zone != location.zone
        and now - loads.get_last_response_at(endpoint.server) < full_memory_s
        and not loads.has_free_slot(endpoint.server)
    }
