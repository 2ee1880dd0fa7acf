"""What is known of a call once its request was admitted, and its next stop."""

from __future__ import annotations

import math
from dataclasses import dataclass

from monsoontray.settings.settings import Address

SERVER_HEADER = b"monsoontray-server"
CUSTOMER_HEADER = b"monsoontray-customer"
PRIORITY_HEADER = b"monsoontray-priority"
IDEMPOTENT_HEADER = b"monsoontray-idempotent"
TIMEOUT_HEADER = b"monsoontray-timeout-ms"
OBJECTIVE_HEADER = b"monsoontray-objective-ms"
ROUTE_HEADER = b"monsoontray-route"
LOAD_HEADER = b"monsoontray-load"
NO_WAIT_HEADER = b"monsoontray-no-wait"
LOWEST_PRIORITY = 9


@dataclass(slots=True, frozen=True)
class EntryRoute:
    """Take an admitted call to any server of its service."""

    service: str
    resource: str  # empty means the service as a whole
    customer: str  # empty where routes are not by customer
    name: str  # of the route or plan, for logs
    priority: int
    idempotent: bool
    max_attempts: int
    deadline: float
    objective: float = math.inf  # until when the answer counts as on time


@dataclass(slots=True, frozen=True)
class GuardRoute:
    """Take another node's call to the local backend server."""

    server: str
    customer: str
    priority: int
    idempotent: bool
    deadline: float
    name: str  # of the route or plan
    objective: float = math.inf
    may_wait: bool = True  # for a slot

    @property
    def max_attempts(self) -> int:
        """Return 1: a guard offers a call to its own server only, and once."""
        return 1


@dataclass(slots=True, frozen=True)
class Hop:
    """Describe the next stop of a call."""

    address: Address
    is_guard: bool
    lines: tuple[bytes, ...]
