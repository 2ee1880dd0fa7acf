"""Routes of admitted calls, and the hops that calls are sent to."""

from __future__ import annotations

import math

from msgspec import Struct

from monsoontray.decoding.values import MAX_INT64
from monsoontray.settings.settings import Address

SERVER_HEADER = b"monsoontray-server"
CUSTOMER_HEADER = b"monsoontray-customer"
PRIORITY_HEADER = b"monsoontray-priority"
IDEMPOTENT_HEADER = b"monsoontray-idempotent"
TIMEOUT_HEADER = b"monsoontray-timeout-ms"
OBJECTIVE_HEADER = b"monsoontray-objective-ms"
ROUTE_HEADER = b"monsoontray-route"
LOAD_HEADER = b"monsoontray-load"
RUN_TIME_HEADER = b"monsoontray-run-ms"  # mean time of the call's route at its server
WAIT_HEADER = b"monsoontray-wait-ms"  # expected time in the queue of the server
NO_WAIT_HEADER = b"monsoontray-no-wait"
LOWEST_PRIORITY = 9


class EntryRoute(Struct, frozen=True):
    """Route of an admitted call to any server of its service."""

    service: str
    resource: str  # empty means the service as a whole
    customer: str  # empty where calls are routed by host and path
    name: str  # of the route or plan
    priority: int
    idempotent: bool
    max_attempts: int
    deadline: float
    objective: float = math.inf  # latest time of a response that meets the objective
    max_body_bytes: int = MAX_INT64
    key_digest: bytes = b""  # of the key that the customer was identified by


class GuardRoute(Struct, frozen=True):
    """Route of another node's call to a local backend server."""

    server: str
    customer: str
    priority: int
    idempotent: bool
    deadline: float
    name: str  # of the route or plan
    objective: float = math.inf
    may_wait: bool = True  # if no slot is free, the call may be queued

    @property
    def max_attempts(self) -> int:
        """Return 1: a guard sends a call to its own server only, and only once."""
        return 1


class Hop(Struct, frozen=True):
    """Guard or backend server that a call is sent to next."""

    address: Address
    is_guard: bool  # otherwise it is a backend server
    lines: tuple[bytes, ...]  # header lines that are added to the request
