"""Election of the node that decides on rollouts, by a key with a lease."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from monsoontray.logs import logger
from monsoontray.store.outcomes import (
    ABSENT,
    Cause,
    Conflict,
    Done,
    Lease,
    NotDone,
    Unknown,
)

if TYPE_CHECKING:
    from monsoontray.kernel.kernel import Kernel
    from monsoontray.store.client import StoreClient

DECIDER_KEY = "rollouts/decider"
LEASE_LIFETIME_S = 2.0  # a crashed decider is replaced after this time
RENEW_AFTER_SHARE = 0.4  # of the lease's lifetime
#: Bound of the random delay before the first attempt, so that few nodes try at once.
MAX_INITIAL_DELAY_S = 0.6
RETRY_DELAY_S = 2.5  # a lease that its node does not renew has expired by then


class DeciderLease:
    """Lease that lets one node decide on rollouts.

    The lease only avoids duplicate work. Correctness does not depend on it: each step
    of a rollout is written on the condition that no other node has written one.
    """

    __slots__ = ("_client", "_clock", "_lease", "_next_attempt_at", "_node", "_random")

    def __init__(self, kernel: Kernel) -> None:
        self._client: StoreClient = kernel.find("store").open_client("decider")
        self._clock = kernel.clock
        self._node: str = kernel.find("settings").settings.get_string("node")
        self._random = Random(self._node)
        self._lease: Lease | None = None
        self._next_attempt_at: float | None = None

    def acquire(self, service: str) -> bool:
        """Return whether this node has the lease; acquire or renew it if possible."""
        now = self._clock.now()
        lease = self._lease
        if lease is not None:
            if lease.deadline - now > LEASE_LIFETIME_S * (1.0 - RENEW_AFTER_SHARE):
                return True
            renewed = self._client.renew_lease(lease.lease_id, LEASE_LIFETIME_S)
            if isinstance(renewed, Lease):
                self._lease = renewed
                return True
            if renewed == NotDone(Cause.LEASE_EXPIRED) or lease.deadline <= now:
                logger.bind(service=service).warning("rollout decider lease lost")
                self._lease = None
                return False
            return True
        if self._next_attempt_at is None:
            self._next_attempt_at = now + self._random.uniform(0.0, MAX_INITIAL_DELAY_S)
        if now < self._next_attempt_at:
            return False
        self._next_attempt_at = now + RETRY_DELAY_S
        return self._try_acquire(service)

    def release(self) -> None:
        """Release the lease."""
        if self._lease is not None:
            self._client.revoke_lease(self._lease.lease_id)
            self._lease = None
        self._next_attempt_at = None

    def close(self) -> None:
        """Release the lease and close the client."""
        self.release()
        self._client.close()

    def handle_taken(self, key: str) -> None:
        """Delay the next attempt, since a node has acquired the lease."""
        if key == DECIDER_KEY:
            self._next_attempt_at = self._clock.now() + RETRY_DELAY_S

    def handle_released(self, key: str) -> None:
        """Allow the next attempt, since the lease was released."""
        if key == DECIDER_KEY:
            self._next_attempt_at = None

    def _try_acquire(self, service: str) -> bool:
        """Acquire the lease unless another node has it; return whether it did."""
        lease = self._client.grant_lease(LEASE_LIFETIME_S)
        if not isinstance(lease, Lease):
            return False
        value = self._node.encode()
        outcome = self._client.compare_and_swap(
            DECIDER_KEY, ABSENT, value, lease.lease_id
        )
        if isinstance(outcome, Done):
            logger.bind(service=service).info("this node decides on rollouts")
            self._lease = lease
            return True
        if isinstance(outcome, Conflict | Unknown):
            # The store may still write the key, unless its lease has ended by then.
            self._client.revoke_lease(lease.lease_id)
        return False
