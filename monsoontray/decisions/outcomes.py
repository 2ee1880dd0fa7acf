"""Refusals of calls: the reason, and whether the call may have run."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from msgspec import Struct

if TYPE_CHECKING:
    from monsoontray.decisions.servers import LoadReport


class Ran(enum.Enum):
    """Whether a back end may have run a call."""

    NOT_RUN = "not-run"
    REJECTED = "rejected"  # a back end received the call and reported it as not run
    UNKNOWN = "unknown"


class Reason(enum.Enum):
    """Reason for which a call is refused."""

    BAD_REQUEST = "bad-request"
    HEAD_TOO_LARGE = "head-too-large"
    HEAD_TIMEOUT = "head-timeout"
    BODY_TIMEOUT = "body-timeout"
    UNSUPPORTED = "unsupported"
    NO_VERSION = "no-version"
    NO_CREDENTIALS = "no-credentials"
    UNKNOWN_CUSTOMER = "unknown-customer"
    NOT_IN_PLAN = "not-in-plan"
    KEYS_UNPROVEN = "keys-unproven"  # keys may have been withdrawn meanwhile
    NO_SERVER = "no-server"
    NO_SLOT = "no-slot"
    SLOTS_BUSY = "slots-busy"  # and the call must not be queued
    QUEUE_TIMEOUT = "queue-timeout"
    SERVER_LEAVING = "server-leaving"
    UNREACHABLE = "unreachable"
    NODE_STOPPING = "node-stopping"
    DEADLINE_PASSED = "deadline-passed"
    WITHDRAWN = "withdrawn"  # the node that passed the call on took it back
    CONNECTION_LOST = "connection-lost"
    NO_ANSWER = "no-answer"
    BAD_RESPONSE = "bad-response"
    NO_ROUTE = "no-route"
    WRONG_SERVER = "wrong-server"
    SERVER_SHED = "server-shed"
    SERVER_COLD = "server-cold"
    SERVER_LIMITED = "server-limited"  # beyond the rate that the server names
    SERVER_FAILED = "server-failed"
    SERVER_FAILING = "server-failing"  # its latest calls all failed
    SERVER_UNKNOWN = "server-unknown"
    ZONE_EVACUATED = "zone-evacuated"
    VERSION_BLOCKED = "version-blocked"
    POISON = "poison"
    BODY_TOO_LARGE = "body-too-large"
    TOO_MANY_CONNECTIONS = "too-many-connections"
    TOO_MUCH_HELD = "too-much-held"  # by the node, for all its callers


class Refusal(Struct, frozen=True):
    """Refusal of a call, as the caller or another node gets it."""

    reason: Reason
    ran: Ran
    retry_after_s: float = 0.0  # 0 if unknown
    #: Load of the server whose guard refused; not part of the refusal itself.
    load: LoadReport | None = None

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Refusal):
            return NotImplemented
        return (self.reason, self.ran, self.retry_after_s) == (
            other.reason,
            other.ran,
            other.retry_after_s,
        )

    def __hash__(self) -> int:
        return hash((self.reason, self.ran, self.retry_after_s))


def refuse_not_run(reason: Reason) -> Refusal:
    """Return a refusal of a call that no back end received."""
    return Refusal(reason, Ran.NOT_RUN)


def refuse_unknown(reason: Reason) -> Refusal:
    """Return a refusal of a call that a back end may have run."""
    return Refusal(reason, Ran.UNKNOWN)
