"""Decide which requests end the servers that run them.

A server that ends takes every request with it that it is running, and only one of them
is the cause. The evidence of an end is divided among its requests. A request that has
been part of an end is a suspect: it runs beside no other suspect, so that a further end
is evidence against it alone. A request that completes is cleared.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from msgspec import Struct

from monsoontray.decisions.outcomes import Ran, Reason, Refusal

#: Characters of a fingerprint that depend on the request's head only, and those that
#: depend on the first part of a long body as well.
HEAD_LENGTH = 16
PREFIX_LENGTH = 32
#: Ends and evidence from which a request is refused.
MIN_ENDS = 3
MIN_EVIDENCE = 0.999
#: A request that completed this long before an end, or later, is not its cause.
COMPLETION_MEMORY_S = 10.0
MAX_COMPLETIONS = 256  # remembered ones; the oldest are forgotten
MAX_CONTAINED = 256  # refused requests; the oldest are forgotten
RETRY_AFTER_S = 60.0
CONTAINED = Refusal(Reason.POISON, Ran.NOT_RUN, RETRY_AFTER_S)


class ServerEnd(Struct, frozen=True):
    """End of a server's incarnation, and the requests that may have caused it."""

    server: str
    born: int  # start of the incarnation, milliseconds since the epoch
    fingerprints: tuple[str, ...]


class Clearance(Struct, frozen=True):
    """A request that completed, and the ends that it therefore did not cause."""

    fingerprint: str
    ends: frozenset[str]


class Suspicion:
    """Ends that a request is part of."""

    __slots__ = ("ends", "evidence", "risen_at")

    def __init__(self, risen_at: float) -> None:
        self.ends: set[str] = set()
        self.evidence = 0.0
        self.risen_at = risen_at  # when the latest of the ends became known

    def is_conclusive(self) -> bool:
        """Return whether the request is refused from now on."""
        return len(self.ends) >= MIN_ENDS and self.evidence >= MIN_EVIDENCE


class Containment:
    """Requests that are refused or suspected because of ends of servers."""

    __slots__ = ("_completed_at", "_contained", "_heads", "_prefixes", "_suspicions")

    def __init__(self) -> None:
        self._suspicions: dict[str, Suspicion] = {}
        #: Refused requests; they stay refused when the records of the ends expire.
        self._contained: dict[str, None] = {}
        self._heads: frozenset[str] = frozenset()
        self._prefixes: frozenset[str] = frozenset()  # of the known long fingerprints
        self._completed_at: dict[str, float] = {}

    def update(
        self,
        ends: Mapping[str, ServerEnd],
        clearances: Iterable[Clearance],
        now: float,
    ) -> list[str]:
        """Replace the known ends and clearances; return the newly refused requests."""
        cleared_ends = {each.fingerprint: each.ends for each in clearances}
        suspicions: dict[str, Suspicion] = {}
        for key, end in ends.items():
            for fingerprint in end.fingerprints:
                if key in cleared_ends.get(fingerprint, ()):
                    continue
                suspicion = suspicions.setdefault(fingerprint, Suspicion(now))
                suspicion.ends.add(key)
                suspicion.evidence += 1.0 / len(end.fingerprints)
        for fingerprint, suspicion in suspicions.items():
            known = self._suspicions.get(fingerprint)
            if known is not None and suspicion.ends <= known.ends:
                suspicion.risen_at = known.risen_at
        self._suspicions = suspicions
        for fingerprint in self._contained.keys() & cleared_ends.keys():
            del self._contained[fingerprint]
        found = [
            fingerprint
            for fingerprint, suspicion in suspicions.items()
            if suspicion.is_conclusive() and fingerprint not in self._contained
        ]
        self._contained.update(dict.fromkeys(found))
        while len(self._contained) > MAX_CONTAINED:
            del self._contained[next(iter(self._contained))]
        known_fingerprints = suspicions.keys() | self._contained.keys()
        self._heads = frozenset(each[:HEAD_LENGTH] for each in known_fingerprints)
        self._prefixes = frozenset(
            each[:PREFIX_LENGTH]
            for each in known_fingerprints
            if len(each) > PREFIX_LENGTH
        )
        return found

    def needs_fingerprint(self, head: str) -> bool:
        """Return whether a request with such a head may be refused or suspected."""
        return head in self._heads

    def needs_body(self, prefix: str) -> bool:
        """Return whether only the rest of a long body tells if it is known."""
        return prefix in self._prefixes

    def is_contained(self, fingerprint: str) -> bool:
        """Return whether a request is refused."""
        return any(
            each in self._contained and not self._is_cleared(each)
            for each in list_names(fingerprint)
        )

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request may have ended a server."""
        return any(
            each in self._suspicions and not self._is_cleared(each)
            for each in list_names(fingerprint)
        )

    def select_candidates(self, fingerprints: Iterable[str]) -> tuple[str, ...]:
        """Return the requests of an end that may be its cause: suspects, if any."""
        candidates = tuple(fingerprints)
        suspects = tuple(each for each in candidates if self.is_suspect(each))
        return suspects or candidates

    def record_completion(self, fingerprint: str, now: float) -> None:
        """Record a request that a server has run to its end."""
        for each in list_names(fingerprint):
            self._completed_at.pop(each, None)
            self._completed_at[each] = now
        while len(self._completed_at) > MAX_COMPLETIONS:
            del self._completed_at[next(iter(self._completed_at))]

    def build_clearance(self, fingerprint: str) -> Clearance | None:
        """Return what nodes that refuse a request must know if it completed here."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None or not suspicion.is_conclusive():
            return None
        if not self._is_cleared(fingerprint):
            return None
        return Clearance(fingerprint, frozenset(suspicion.ends))

    def build_clearances(self) -> list[Clearance]:
        """Return the clearances of all suspects that completed at this node."""
        built = (self.build_clearance(each) for each in self._suspicions)
        return [each for each in built if each is not None]

    def count_contained(self) -> int:
        """Return how many requests are refused."""
        return len(self._contained)

    def _is_cleared(self, fingerprint: str) -> bool:
        completed_at = self._completed_at.get(fingerprint)
        if completed_at is None:
            return False
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None:  # its ends have expired
            return True
        return completed_at > suspicion.risen_at - COMPLETION_MEMORY_S


def list_names(fingerprint: str) -> tuple[str, ...]:
    """Return the names by which a request is known: a long body's start, the whole."""
    if len(fingerprint) <= PREFIX_LENGTH:
        return (fingerprint,)
    return (fingerprint[:PREFIX_LENGTH], fingerprint)
