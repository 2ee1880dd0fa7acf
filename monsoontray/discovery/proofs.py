"""Proofs that this node knows all changes of the store, as the store's reader has them.

Services get a proof after the changes that it is about.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from monsoontray.decisions.freshness import Freshness, Proof
from monsoontray.discovery.messages import StoreProven
from monsoontray.logs import logger

if TYPE_CHECKING:
    from monsoontray.kernel.kernel import Kernel
    from monsoontray.metrics.service import Metrics
    from monsoontray.settings.settings import Settings

SUBSCRIBERS = ("mirror", "operator")
#: Longest wait of a watch, as a share of the time for which a withdrawn key may be
#: taken: the answer of a watch proves nothing later than when it was asked for.
MAX_WAIT_SHARE = 0.2


class ProofReporter:
    """Reporter of proofs; part of the task that reads the store.

    It does nothing where withdrawn keys may be taken without limit.
    """

    __slots__ = ("_bound_s", "_freshness", "_kernel", "_metrics")

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._metrics: Metrics = kernel.find("metrics")
        settings: Settings = kernel.find("settings").settings
        self._bound_s = settings.get_float("key_withdrawal_s")
        self._freshness = Freshness(self._bound_s)

    def limit_wait(self, wait_s: float) -> float:
        """Return how long a watch may wait, given how long it would otherwise."""
        if not self._freshness.is_bounded:
            return wait_s
        return min(wait_s, MAX_WAIT_SHARE * self._bound_s)

    def must_hurry(self) -> bool:
        """Return whether the next proof is needed soon."""
        return self._freshness.must_hurry(self._kernel.clock.now())

    def is_overdue(self) -> bool:
        """Return whether the next proof has to come from elsewhere."""
        return self._freshness.is_overdue(self._kernel.clock.now())

    def report(self, proof: Proof | None, newest_revision: int) -> None:
        """Post a proof whose changes were posted, if it is needed and valid."""
        if proof is None or not self._freshness.is_bounded:
            return
        was_fresh = self._freshness.is_fresh(self._kernel.clock.now())
        if self._freshness.prove(proof, newest_revision):
            self._metrics.count_proof()
            if not was_fresh:
                logger.bind(revision=proof.revision).info(
                    "configuration is proven to be the newest"
                )
            for service in SUBSCRIBERS:
                self._kernel.post(service, StoreProven(proof))
