"""Bounds that a whole deployment keeps, whichever node acts."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class FleetBounds:
    """State what all nodes together must keep to."""

    retry_ratio: float = math.inf  # retries for each call of a service
    retry_window_s: float = 10.0  # in which the ratio holds
    retry_slack: float = 0.0  # retries a window besides
    cold_factor: float = 1.0  # of the rate that a cold server says it bears
    cold_slack: float = 0.0  # calls a second besides
    exposure_share: float = 0.0  # of a service's calls that a bad version may get
    exposure_slack: float = 0.0  # calls besides
    stop_limit_s: float = 0.0  # after which a stopping process is killed; 0: unknown
