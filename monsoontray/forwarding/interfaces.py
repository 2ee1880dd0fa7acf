"""HTTP interfaces between a node and its callers and backend servers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from msgspec import Struct

from monsoontray.decisions.bounds import FleetBounds
from monsoontray.forwarding.http_profile import OWN_PROFILE, HttpProfile
from monsoontray.forwarding.sides import GuardSide, MeshEntrySide, PlanEntrySide

if TYPE_CHECKING:
    from monsoontray.settings.settings import Settings

PLATFORM_INTERFACE = "platform"


class Interface(Struct, frozen=True):
    """HTTP profile, sides and fleet-wide limits of a node."""

    http_profile: HttpProfile
    entry_side: Any
    guard_side: GuardSide
    bounds: FleetBounds


def build_interface(settings: Settings) -> Interface:
    """Return the interface selected by the settings."""
    if settings.get_string("interface") != PLATFORM_INTERFACE:
        return Interface(
            OWN_PROFILE, PlanEntrySide(), GuardSide(), read_bounds(settings)
        )
    from monsoontray.platform.headers import PLATFORM_PROFILE

    return Interface(
        PLATFORM_PROFILE,
        MeshEntrySide(PLATFORM_PROFILE, settings.get_string("service")),
        GuardSide(PLATFORM_PROFILE),
        read_bounds(settings),
    )


def read_bounds(settings: Settings) -> FleetBounds:
    """Return the fleet-wide limits from the settings.

    A retry ratio of 0 in the settings means that retries are not limited.
    """
    return FleetBounds(
        retry_ratio=settings.get_float("retry_ratio") or math.inf,
        retry_window_s=settings.get_float("retry_window_s"),
        retry_slack=settings.get_float("retry_slack"),
        cold_factor=settings.get_float("cold_factor"),
        cold_slack=settings.get_float("cold_slack"),
        exposure_share=settings.get_float("exposure_share"),
        exposure_slack=settings.get_float("exposure_slack"),
        stop_limit_s=settings.get_float("stop_limit_s"),
    )
