"""Limits that apply to all nodes of a deployment together."""

from __future__ import annotations

import math

from msgspec import Struct


class FleetBounds(Struct, frozen=True):
    """Limits on what all nodes of a deployment do together."""

    retry_ratio: float = math.inf  # retries per call of a service
    retry_window_s: float = 10.0  # over which the ratio is computed
    retry_slack: float = 0.0  # retries per window in addition
    cold_factor: float = 1.0  # of the rate that a cold server announces
    cold_slack: float = 0.0  # calls a second in addition
    exposure_share: float = 0.0  # of a service's calls that a bad version may get
    exposure_slack: float = 0.0  # calls in addition
    stop_limit_s: float = 0.0  # after which a stopping process is killed; 0: unknown
