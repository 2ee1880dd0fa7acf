"""Which node decides on rollouts: the one that holds a key bound to its lease."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from loguru import logger

from monsoontray.store.outcomes import ABSENT, Cause, Conflict, Done, Lease, NotDone

if TYPE_CHECKING:
    from monsoontray.kernel.kernel import Kernel
    from monsoontray.store.client import StoreClient

KEY = "rollouts/decider"
LIFETIME_S = 2.0  # a decider that died is followed within this time
RENEW_AFTER_SHARE = 0.4  # of the lifetime
MAX_DELAY_S = 0.6  # nodes wait a random time, so that few of them ask at once
RETRY_S = 2.5  # time after which a key that should have lapsed is tried again


class DeciderLease:
    """Hold the right to decide, or wait for it.

    The right only saves work: each step of a rollout is written under the
    condition that nobody else has written one.
    """

    __slots__ = ("_client", "_clock", "_lease", "_node", "_random", "_try_at")

    def __init__(self, kernel: Kernel, client: StoreClient) -> None:
        self._client = client
        self._clock = kernel.clock
        self._node: str = kernel.find("settings").settings.get_string("node")
        self._random = Random(self._node)
        self._lease: Lease | None = None
        self._try_at: float | None = None

    def acquire(self, service: str) -> bool:
        """Say whether this node decides now; take the right if it is free."""
        now = self._clock.now()
        lease = self._lease
        if lease is not None:
            if lease.deadline - now > LIFETIME_S * (1.0 - RENEW_AFTER_SHARE):
                return True
            renewed = self._client.renew_lease(lease.lease_id, LIFETIME_S)
            if isinstance(renewed, Lease):
                self._lease = renewed
                return True
            if renewed == NotDone(Cause.LEASE_LAPSED) or lease.deadline <= now:
                logger.bind(service=service).warning("right to decide was lost")
                self._lease = None
                return False
            return True
        if self._try_at is None:
            self._try_at = now + self._random.uniform(0.0, MAX_DELAY_S)
        if now < self._try_at:
            return False
        self._try_at = now + RETRY_S
        return self._try_acquire(service)

    def release(self) -> None:
        """Give the right back."""
        if self._lease is not None:
            self._client.revoke_lease(self._lease.lease_id)
            self._lease = None
        self._try_at = None

    def handle_taken(self, key: str) -> None:
        """Note that a node has taken the right."""
        if key == KEY:
            self._try_at = self._clock.now() + RETRY_S

    def handle_released(self, key: str) -> None:
        """Note that nobody has the right."""
        if key == KEY:
            self._try_at = None

    def _try_acquire(self, service: str) -> bool:
        lease = self._client.grant_lease(LIFETIME_S)
        if not isinstance(lease, Lease):
            return False
        value = self._node.encode()
        taken = self._client.compare_and_swap(KEY, ABSENT, value, lease.lease_id)
        if isinstance(taken, Done):
            logger.bind(service=service).info("this node decides on rollouts")
            self._lease = lease
            return True
        if isinstance(taken, Conflict):
            self._client.revoke_lease(lease.lease_id)
        return False
