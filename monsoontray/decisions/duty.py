"""Decisions of a node that holds, or wants, the duty to report usage.

The task that runs it takes one step at a time and hands back its outcome.
"""

from __future__ import annotations

import math
from functools import singledispatch
from random import Random
from typing import Any

from msgspec.structs import replace

from monsoontray.decisions.duty_steps import (
    ClaimDuty,
    DutyRead,
    GrantLease,
    Holder,
    Ledger,
    ReadDuty,
    RecordWindow,
    RenewLease,
    ReportAccepted,
    SendReport,
    WindowUsage,
)
from monsoontray.store.outcomes import Cause, Conflict, Done, Lease, NotDone, Unknown

MAX_KEPT_WINDOWS = 4  # in the ledger
LEASE_SHARE = 0.8  # of the time within which another node takes over
RENEW_SHARE = 0.4  # of the lease's lifetime
SEND_LIMIT_S = 0.5
#: Time before the end of the lease from which nothing is sent.
LEASE_MARGIN_S = 0.3
#: Time after a claim until the first send, for sends of the earlier holder to arrive.
TAKEOVER_PAUSE_S = 0.3
RETRY_S = 0.2
MAX_RETRY_S = 1.6
#: Tokens of an era begin with its number: a copy may lack the latest of the one before.
TOKEN_BITS = 20
RANK_DELAY_S = 0.25  # between the attempts of two nodes to take over
MAX_RANK_DELAY_S = 3.0
#: A node checks this rarely whether it missed that the duty was released.
RECHECK_S = 30.0


class Duty:
    """State of this node's part in the duty."""

    __slots__ = (
        "_acts_from", "_address", "_attempt_at", "_collected", "_failures", "_holder",
        "_holder_revision", "_last_act_at", "_lease", "_ledger", "_ledger_revision",
        "_lifetime_s", "_must_read", "_node", "_random", "_retry_at", "_send_at",
        "_send_interval_s", "_sent", "_takeover_s", "rank",
    )  # fmt: skip

    def __init__(
        self,
        node: str,
        address: str,
        takeover_s: float,
        send_interval_s: float,
        now: float,
        random: Random,
    ) -> None:
        self._node = node
        self._address = address
        self._takeover_s = takeover_s
        self._lifetime_s = LEASE_SHARE * takeover_s
        self._send_interval_s = send_interval_s
        self._random = random
        self._attempt_at = math.inf  # until the store is known to have no holder
        self._retry_at = now
        self._failures = 0
        self._must_read = True
        self._lease: Lease | None = None
        self._holder: Holder | None = None  # this node's own claim
        self._holder_revision = 0
        self._ledger = Ledger()
        self._ledger_revision = 0
        self._collected: dict[int, dict[str, int]] = {}
        self._sent: set[int] = set()
        self._send_at = now
        self._last_act_at = now  # an earlier process may have acted until then
        self._acts_from = now
        self.rank = 0  # among the nodes that may take over

    @property
    def is_held(self) -> bool:
        """Return whether this node holds the duty, as far as it knows."""
        return self._holder is not None

    @property
    def recorded(self) -> int:
        """Return the newest window that is known to be recorded."""
        return self._ledger.recorded

    @property
    def token(self) -> int:
        """Return the fencing token that this node knows as the latest."""
        return self._ledger.token

    @property
    def may_lack_records(self) -> bool:
        """Return whether the store may have lost the records of windows that ended.

        It came back from a copy, and no window has been recorded since.
        """
        return self._lease is not None and self._ledger.era < self._lease.era

    def see_holder(self, is_present: bool, now: float) -> None:
        """Handle that the store has, or no longer has, a holder."""
        if self.is_held:
            return
        if is_present:
            self._attempt_at = now + RECHECK_S * (1.0 + self._random.random())
        elif self._attempt_at > now + MAX_RANK_DELAY_S + RANK_DELAY_S:
            delay_s = min(self.rank * RANK_DELAY_S, MAX_RANK_DELAY_S)
            self._attempt_at = now + delay_s + self._random.random() * RANK_DELAY_S
            self._must_read = True

    def see_claim(self, holder: Holder, now: float) -> None:
        """Handle the claim of a holder, which may be this node's own, done late."""
        if not self._is_own(holder):
            self.see_holder(True, now)
        elif not self.is_held:
            self._attempt_at = self._retry_at = now
            self._must_read = True

    def raise_floor(self, token: int, recorded: int) -> None:
        """Take over the latest token and window that other nodes know of."""
        if not self.is_held:
            known = self._ledger
            self._ledger = Ledger(
                max(token, known.token),
                max(recorded, known.recorded),
                known.windows if recorded <= known.recorded else (),
                known.era,
            )

    def add_collected(self, window: int, counts: dict[str, int]) -> None:
        """Add the counts of a window, to be recorded unless it already is."""
        if window > self._ledger.recorded:
            self._collected[window] = counts

    def may_release(self, now: float) -> bool:
        """Return whether no send of this node can arrive any more."""
        return self._lease is not None and now > self._last_act_at + SEND_LIMIT_S

    def get_lease_id(self) -> str:
        """Return the lease that this node has, if any."""
        return "" if self._lease is None else self._lease.lease_id

    def choose_step(self, now: float) -> Any | None:
        """Return what to do now, or None if there is nothing."""
        if self._lease is not None and now >= self._lease.deadline:
            if self._holder is not None:
                self._lose(now)
            self._lease = None
            self._must_read = True
        if self._holder is None:
            return self._choose_claim(now)
        if now >= self._find_renewal_time():
            assert self._lease is not None
            return RenewLease(self._lease.lease_id, self._lifetime_s)
        if now >= self._retry_at:
            if self._must_read:
                return ReadDuty()
            record = self._build_record()
            if record is not None:
                return record
        return self._choose_send(now)

    def find_next_deadline(self, now: float) -> float:
        """Return when the next step may be due."""
        if self._holder is None:
            return max(self._attempt_at, self._retry_at)
        due = [self._find_renewal_time()]
        if self._must_read or self._build_record() is not None:
            due.append(self._retry_at)
        elif self._find_unsent() is not None:
            send_at = max(self._send_at, self._acts_from)
            if send_at > now:
                due.append(send_at)
            elif self._choose_send(now) is not None:
                due.append(now)
        return min(due)

    def apply(self, step: Any, outcome: Any, now: float) -> None:
        """Handle the outcome of a step."""
        apply_outcome(step, outcome, self, now)

    def _choose_claim(self, now: float) -> Any | None:
        if now < max(self._attempt_at, self._retry_at):
            return None
        if self._must_read:
            return ReadDuty()
        if self._lease is None:
            return GrantLease(self._lifetime_s)
        token = max(self._ledger.token, self._lease.era << TOKEN_BITS) + 1
        lease_id = self._lease.lease_id
        holder = Holder(self._node, self._address, token, lease_id)
        ledger = replace(self._ledger, token=token)
        return ClaimDuty(holder, ledger, self._ledger_revision)

    def _find_renewal_time(self) -> float:
        assert self._lease is not None
        due = self._lease.deadline - (1.0 - RENEW_SHARE) * self._lifetime_s
        return max(due, self._retry_at)

    def _build_record(self) -> RecordWindow | None:
        """Return how to record the next collected window, if there is one."""
        for window in [each for each in self._collected if each <= self.recorded]:
            del self._collected[window]
        if not self._collected:
            return None
        window = min(self._collected)
        kept = [each for each in self._ledger.windows if each.window not in self._sent]
        kept.append(WindowUsage(window, self._collected[window]))
        assert self._lease is not None
        windows = tuple(kept[-MAX_KEPT_WINDOWS:])
        ledger = Ledger(self.token, window, windows, self._lease.era)
        return RecordWindow(ledger, self._holder_revision, self._ledger_revision)

    def _choose_send(self, now: float) -> SendReport | None:
        usage = self._find_unsent()
        if usage is None or self._must_read:
            return None
        assert self._lease is not None
        if now < max(self._send_at, self._acts_from):
            return None
        deadline = now + SEND_LIMIT_S
        if deadline > self._lease.deadline - LEASE_MARGIN_S:
            return None
        return SendReport(usage, self._node, self.token, deadline)

    def _find_unsent(self) -> WindowUsage | None:
        for usage in self._ledger.windows:
            if usage.window not in self._sent:
                return usage
        return None

    def _hold(self, holder: Holder, holder_revision: int, now: float) -> None:
        self._holder = holder
        self._holder_revision = holder_revision
        self._acts_from = max(
            self._last_act_at + self._takeover_s, now + TAKEOVER_PAUSE_S
        )
        if self.may_lack_records:
            # A holder of the earlier era acts until its lease would have ended.
            self._acts_from = max(self._acts_from, now + self._takeover_s)
        self._sent.clear()
        self._collected.clear()
        self._failures = 0

    def _lose(self, now: float) -> None:
        """Give up the duty or the claim; the lease may be another's to end."""
        self._lease = None
        self._holder = None
        self._must_read = True
        self._attempt_at = now + RETRY_S + self._random.random() * MAX_RANK_DELAY_S

    def _fail(self, now: float) -> None:
        """Wait longer after each failed call to the store."""
        delay_s = min(RETRY_S * 2**self._failures, MAX_RETRY_S)
        self._retry_at = now + delay_s * self._random.uniform(0.5, 1.0)
        self._failures = min(self._failures + 1, 8)

    def _accept_read(self, read: DutyRead, now: float) -> None:
        self._must_read = False
        self._failures = 0
        ledger, known = read.ledger, self._ledger
        # A store that came back from a copy takes no decision back.
        self._ledger = Ledger(
            max(ledger.token, known.token),
            max(ledger.recorded, known.recorded),
            ledger.windows if ledger.recorded >= known.recorded else known.windows,
            ledger.era,
        )
        self._ledger_revision = read.ledger_revision
        holder = read.holder
        if self._is_own(holder):
            assert holder is not None
            if self._holder is None:
                self._hold(holder, read.holder_revision, now)
            self._holder_revision = read.holder_revision
        elif self._holder is not None:
            self._lose(now)
        elif read.holder_revision:
            self._must_read = True
            self.see_holder(True, now)

    def _is_own(self, holder: Holder | None) -> bool:
        lease = self._lease
        return (
            holder is not None
            and lease is not None
            and holder.node == self._node
            and holder.lease_id == lease.lease_id
        )


@singledispatch
def apply_outcome(step: Any, outcome: Any, duty: Duty, now: float) -> None:
    """Handle the outcome of a step."""
    raise TypeError(f"unsupported step: {step!r}")


@apply_outcome.register(ReadDuty)
def _(step: ReadDuty, outcome: Any, duty: Duty, now: float) -> None:
    if isinstance(outcome, DutyRead):
        duty._accept_read(outcome, now)
    else:
        duty._fail(now)


@apply_outcome.register(GrantLease)
def _(step: GrantLease, outcome: Any, duty: Duty, now: float) -> None:
    if isinstance(outcome, Lease):
        duty._lease = outcome
    else:
        duty._fail(now)


@apply_outcome.register(ClaimDuty)
def _(step: ClaimDuty, outcome: Any, duty: Duty, now: float) -> None:
    if isinstance(outcome, Done):
        duty._ledger = step.ledger
        duty._ledger_revision = outcome.revision
        duty._hold(step.holder, outcome.revision, now)
        return
    # The claim may have succeeded, or may do so later as long as its lease lasts.
    duty._must_read = True
    duty._fail(now)
    if outcome == NotDone(Cause.LEASE_EXPIRED):
        duty._lease = None


@apply_outcome.register(RenewLease)
def _(step: RenewLease, outcome: Any, duty: Duty, now: float) -> None:
    if isinstance(outcome, Lease):
        duty._lease = outcome
    elif outcome == NotDone(Cause.LEASE_EXPIRED):
        duty._lose(now)
    else:
        duty._retry_at = now + RETRY_S


@apply_outcome.register(RecordWindow)
def _(step: RecordWindow, outcome: Any, duty: Duty, now: float) -> None:
    if isinstance(outcome, Done):
        duty._ledger = step.ledger
        duty._ledger_revision = outcome.revision
        duty._failures = 0
        return
    if isinstance(outcome, Conflict | Unknown):
        duty._must_read = True
    if not isinstance(outcome, Conflict):
        duty._fail(now)


@apply_outcome.register(SendReport)
def _(step: SendReport, outcome: Any, duty: Duty, now: float) -> None:
    duty._last_act_at = now
    duty._send_at = now + duty._send_interval_s
    if isinstance(outcome, ReportAccepted):
        duty._sent.add(step.usage.window)
    else:
        duty._send_at = now + max(RETRY_S, duty._send_interval_s)
