"""Decide until when a node may rely on its configuration being the newest.

The moments are readings of a clock that also counts while the machine is suspended, not
of the time of day. A read of the store proves a configuration as of the moment before
the read was asked for: a later write may be missing from the answer.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from msgspec import Struct

from monsoontray.decisions.evacuations import REWRITE_S
from monsoontray.store.eras import get_era

if TYPE_CHECKING:
    from collections.abc import Iterable

    from monsoontray.store.outcomes import Record

#: Share of the bound that a proof lasts; the rest is for clocks that run apart.
LIFETIME_SHARE = 0.95
#: Share of a proof's lifetime after which a node hurries to get another one.
HURRY_SHARE = 0.5
#: Share after which a reader that gave no newer proof is not waited for any longer.
OVERDUE_SHARE = 0.6


class Proof(Struct, frozen=True):
    """Proof that all changes of the store were known at a moment."""

    at: float  # by the clock of the node that holds the proof
    revision: int  # of the store as it was read


class Freshness:
    """The latest proof that a node has, and how long it lasts."""

    __slots__ = ("_bound_s", "_proven_at")

    def __init__(self, bound_s: float) -> None:
        self._proven_at = -math.inf
        self.set_bound(bound_s)

    def set_bound(self, bound_s: float) -> None:
        """Set how long a withdrawn key may be taken, in seconds; 0: without limit."""
        self._bound_s = bound_s * LIFETIME_SHARE

    @property
    def is_bounded(self) -> bool:
        """Return whether the node needs proofs at all."""
        return self._bound_s > 0.0

    def prove(self, proof: Proof, newest_revision: int = 0) -> bool:
        """Record a proof unless it is invalid; return whether it is valid.

        A store whose revision is below one that is known answers from a copy or has
        lost writes, and proves nothing. An earlier proof changes nothing.
        """
        if proof.revision < newest_revision:
            return False
        self._proven_at = max(self._proven_at, proof.at)
        return True

    def is_fresh(self, now: float) -> bool:
        """Return whether the configuration may be relied on.

        A request that was received before ``now`` was sent within the bound after any
        withdrawal that the node does not know of.
        """
        return not self.is_bounded or now - self._proven_at <= self._bound_s

    def must_hurry(self, now: float) -> bool:
        """Return whether the next proof is needed soon."""
        return self._is_older_than(HURRY_SHARE, now)

    def is_overdue(self, now: float) -> bool:
        """Return whether the next proof has to come from elsewhere."""
        return self._is_older_than(OVERDUE_SHARE, now)

    def _is_older_than(self, share: float, now: float) -> bool:
        return self.is_bounded and now - self._proven_at > share * self._bound_s


class Rewriting:
    """Whether the operator may still write again what a copy of the store lacks.

    Until then, the copy's configuration may have a key that was withdrawn before.
    """

    __slots__ = ("_begun_at", "_era", "_written_at")

    def __init__(self) -> None:
        self._era: int | None = None  # None until the store was read
        self._begun_at = -math.inf  # when the latest era was first seen
        self._written_at = 0  # position of the copy's configuration

    def see(
        self, position: int, records: Iterable[Record], key: str, now: float
    ) -> None:
        """Take the store's position and what was read; the configuration has a key."""
        era = get_era(position)
        written_at = max((r.revision for r in records if r.key == key), default=0)
        if self._era is None:
            self._era = era
        if era > self._era:
            self._era, self._begun_at, self._written_at = era, now, written_at
        elif written_at > self._written_at:
            self._begun_at = -math.inf

    def is_over(self, now: float) -> bool:
        """Return whether the configuration has what the operator had written."""
        return now - self._begun_at > REWRITE_S


def compute_lead(proof: Proof, received_at: float) -> float:
    """Return by how many seconds a proof is later than a request that asks for it."""
    return proof.at - received_at


def adopt_proof(asked_at: float, lead_s: float, revision: int) -> Proof | None:
    """Return another node's proof by the clock of the node that asked for it, if valid.

    The request was received after it was asked for, so the moment is never too late.
    """
    return Proof(asked_at + lead_s, revision) if math.isfinite(lead_s) else None
