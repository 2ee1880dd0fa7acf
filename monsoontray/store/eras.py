"""Eras of a store that may come back from a copy, and positions in its history.

After that, the store gives revisions out again. A position puts the number of the
store's era before its revision, so that what is read in a later era counts as newer.
In era 0, of a store that names none, positions are revisions.
"""

from __future__ import annotations

from monsoontray.decoding.documents import decode_digits
from monsoontray.logs import logger
from monsoontray.store.outcomes import ABSENT

_REVISION_BITS = 40
_REVISION_MASK = (1 << _REVISION_BITS) - 1
MAX_ERA = (1 << (63 - _REVISION_BITS)) - 1


def build_position(era: int, revision: int) -> int:
    """Return the position of a revision; the absence of a key has no era."""
    if revision == ABSENT:
        return ABSENT
    return era << _REVISION_BITS | revision & _REVISION_MASK


def get_era(position: int) -> int:
    """Return the era of a position."""
    return position >> _REVISION_BITS


def get_revision(position: int) -> int:
    """Return the store's revision at a position."""
    return position & _REVISION_MASK


class StoreEra:
    """Era of the store as its latest answer to one client named it."""

    __slots__ = ("number",)

    def __init__(self) -> None:
        self.number = -1  # before the first answer

    def read(self, given: bytes) -> bool:
        """Read the era that an answer names; return whether it is not outdated."""
        number = decode_digits(given, MAX_ERA)
        if number is None:
            number = max(self.number, 0)
        if number < self.number:
            return False
        if number > self.number >= 0:
            logger.bind(era=number, before=self.number).warning(
                "store came back from a copy"
            )
        self.number = number
        return True
