"""Containment of requests that end the servers that run them."""

from __future__ import annotations

from collections import deque
from functools import partial
from typing import TYPE_CHECKING

from monsoontray.containment.messages import RequestCleared, ServerEnded
from monsoontray.decisions.containment import (
    CONTAINED,
    MAX_CONTAINED,
    Clearance,
    Containment,
    ServerEnd,
    list_names,
)
from monsoontray.decisions.outcomes import Ran, Reason, Refusal
from monsoontray.decisions.servers import ServerState
from monsoontray.forwarding.attempts import request_local_slot
from monsoontray.forwarding.fingerprint import PREFIX_BODY_BYTES
from monsoontray.forwarding.upstream import ConnectOutcome
from monsoontray.logs import logger

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from monsoontray.containment.messages import UpdateContainment
    from monsoontray.decisions.guard import GuardState
    from monsoontray.decisions.servers import ServerRecord
    from monsoontray.forwarding.call import Call
    from monsoontray.forwarding.forwarder import Forwarder

#: Time from the first lost connection of an ended server until its end is recorded, in
#: which the other connections are lost too.
GATHERING_S = 0.02
#: Times between the checks whether a server accepts connections after it lost some.
#: What is between a node and its server may accept some for a while after its end.
CHECK_DELAYS_S = (0.02, 0.2, 0.5, 1.0, 2.0)
#: Time without a response after which a server that leaves requests unanswered is
#: checked although its connections are open, and time until the next such check.
SILENCE_S = 0.5
#: Time after which unanswered requests no longer count as lost by the end of their
#: server, if that shows only when the server is replaced by a new incarnation.
LOSS_MEMORY_S = 15.0
MAX_LOSSES = 64  # of one server; the oldest are forgotten
#: Longest body of a request with a known start that is kept before it is sent, and how
#: many bodies may be kept beyond the usual limit at a time.
MAX_HELD_BYTES = 4_194_304
MAX_LONG_HELD = 4
MAX_ENDED = 64  # servers whose ends are remembered; the oldest are forgotten
_MS_PER_S = 1000


class Losses:
    """Requests that one incarnation of a server received and did not answer."""

    __slots__ = ("_lost_at", "born", "first_at", "is_being_checked", "next_check_at")

    def __init__(self, born: int, now: float) -> None:
        self.born = born
        self.first_at = now  # when the first request was lost
        self.is_being_checked = False  # whether the server still accepts connections
        self.next_check_at = now  # if no connection is lost before
        self._lost_at: dict[str, float] = {}  # by fingerprint

    def add(self, fingerprint: str, now: float) -> None:
        """Add a request whose connection was lost or that was abandoned."""
        self._lost_at[fingerprint] = now
        if len(self._lost_at) > MAX_LOSSES:
            del self._lost_at[next(iter(self._lost_at))]

    def select(self, last_response_at: float, now: float) -> list[str]:
        """Return the requests since whose loss the server has sent no response."""
        oldest = max(last_response_at, now - LOSS_MEMORY_S)
        return [each for each, at in self._lost_at.items() if at >= oldest]

    def find_earliest(self, fingerprints: Iterable[str]) -> float:
        """Return when the first of some requests was lost."""
        return min(self._lost_at[each] for each in fingerprints)


class RequestContainment:
    """Observer of ended servers and of what they ran; part of the forwarding task."""

    __slots__ = (
        "_cleared",
        "_containment",
        "_ended",
        "_forwarder",
        "_held",
        "_long",
        "_losses",
        "_running",
    )

    def __init__(self, forwarder: Forwarder) -> None:
        self._forwarder = forwarder
        self._containment = Containment()
        self._losses: dict[str, Losses] = {}  # by server
        self._ended: dict[str, int] = {}  # the latest recorded incarnation, by server
        self._running: dict[str, Call] = {}  # the suspect at each local server
        self._held: dict[str, deque[Call]] = {}  # suspects that wait for it to end
        self._cleared: dict[str, Clearance] = {}  # as last reported, by fingerprint
        #: Calls of which more is kept than can be sent again.
        self._long: set[Call] = set()

    def update(self, message: UpdateContainment) -> None:
        """Apply the ends that are known in the fleet."""
        ends = message.ends
        found = self._containment.update(ends, message.clearances, self._forwarder.now)
        for fingerprint in found:
            servers = [e.server for e in ends.values() if fingerprint in e.fingerprints]
            logger.bind(fingerprint=fingerprint, servers=",".join(servers)).warning(
                "request is refused: servers ended while they ran it"
            )
        for clearance in self._containment.build_clearances():
            self._report_clearance(clearance)
        self._forwarder.metrics.set_contained(self.count_contained())

    def may_start(self, call: Call) -> bool:
        """Return whether a call may start an attempt.

        Otherwise it was refused, or it starts once its body has been received.
        """
        if not self.is_recognized(call):
            call.await_fingerprint()
            return False
        if self.is_contained(call):
            call.refuse(CONTAINED)
            return False
        return True

    def is_recognized(self, call: Call) -> bool:
        """Return whether enough of a request is known to start it or to refuse it.

        A body that is not kept can't be read before the call starts. If a request with
        such a body turns out to be contained, its end is not sent.
        """
        request = call.request
        fingerprint = request.fingerprint
        if fingerprint.value or not self._containment.needs_fingerprint(
            fingerprint.head
        ):
            return True
        if self._forwarder.limits.replay_buffer_bytes < PREFIX_BODY_BYTES:
            return True
        if fingerprint.known and not self._containment.needs_body(fingerprint.known):
            return True
        return not self._may_hold(call)

    def is_contained(self, call: Call) -> bool:
        """Return whether a call is to be refused, by what is known of its request."""
        return self._containment.is_contained(call.request.fingerprint.known)

    def may_request_slot(self, call: Call, server: str, may_wait: bool) -> bool:
        """Return whether a call may request a slot of a local server.

        A suspect may not while another one is there. It then waits or is refused.
        """
        fingerprint = call.request.fingerprint.known
        if self._containment.is_contained(fingerprint):
            call.fail_attempt(CONTAINED)
            return False
        if not self._containment.is_suspect(fingerprint):
            return True
        running = self._running.setdefault(server, call)
        if running is call:
            return True
        if may_wait:
            self._held.setdefault(server, deque()).append(call)
        else:
            call.fail_attempt(Refusal(Reason.SLOTS_BUSY, Ran.NOT_RUN))
        return False

    def remove(self, call: Call) -> None:
        """Remove a call whose attempt has ended; the next suspect takes its place."""
        self._long.discard(call)
        if not self._running and not self._held:
            return
        for held in self._held.values():
            if call in held:
                held.remove(call)
        for server, running in list(self._running.items()):
            if running is call:
                del self._running[server]
                self._admit_held(server)

    def record_completion(self, call: Call) -> None:
        """Record a call whose response was complete."""
        fingerprint = call.request.fingerprint.value
        if not fingerprint:
            return
        self._containment.record_completion(fingerprint, self._forwarder.now)
        for name in list_names(fingerprint):
            clearance = self._containment.build_clearance(name)
            if clearance is not None:
                self._report_clearance(clearance)

    def record_loss(self, call: Call, guard: GuardState, reason: Reason) -> None:
        """Record that the connection to a local server was lost during a call.

        If the server accepts no connection either, it has ended.
        """
        losses = self._add_loss(call, guard)
        if (
            losses is None
            or losses.is_being_checked
            or reason is not Reason.CONNECTION_LOST
        ):
            return
        losses.is_being_checked = True
        self._check(guard.record.server, losses, CHECK_DELAYS_S)

    def record_abandoned(self, call: Call, guard: GuardState) -> None:
        """Record that a call ended before a local server answered it.

        The server may have ended without closing its connections, so that it is checked
        if it has sent no response for some time.
        """
        losses = self._add_loss(call, guard)
        now = self._forwarder.now
        if losses is None or losses.is_being_checked or losses.next_check_at > now:
            return
        waits_since = min(call.slot_granted_at, losses.first_at)
        if now - max(waits_since, guard.last_response_at) < SILENCE_S:
            return
        losses.next_check_at = now + SILENCE_S
        losses.is_being_checked = True
        self._check(guard.record.server, losses, ())

    def record_replacement(self, guard: GuardState) -> None:
        """Record the end of a local server in whose place another one has responded.

        The new incarnation may respond before it has announced itself.
        """
        server = guard.record.server
        losses = self._losses.get(server)
        if losses is not None and losses.born == guard.record.born:
            self._record_end(server, losses)

    def update_servers(self, records: Collection[ServerRecord]) -> None:
        """Record the ends of servers that were replaced by a new incarnation."""
        current = {record.server: record.born for record in records}
        for server, losses in list(self._losses.items()):
            if current.get(server) == losses.born:
                continue
            if records:
                self._record_end(server, losses)
            self._losses.pop(server, None)

    def count_contained(self) -> int:
        """Return how many requests are refused."""
        return self._containment.count_contained()

    def _may_hold(self, call: Call) -> bool:
        """Return whether more of a call's body may be kept before it starts."""
        size = call.request.body_size
        if size < self._forwarder.limits.replay_buffer_bytes:
            return True
        if size >= MAX_HELD_BYTES:
            return False
        if call not in self._long and len(self._long) >= MAX_LONG_HELD:
            return False
        self._long.add(call)
        return True

    def _add_loss(self, call: Call, guard: GuardState) -> Losses | None:
        """Add a call to the losses of its server, if the server may have run it."""
        record = guard.record
        if self._ended.get(record.server) == record.born:
            return None
        fingerprint = call.request.fingerprint.known
        is_unanswered = not call.response_started and call.buffered_response is None
        if record.state is ServerState.LEAVING or not (
            call.request.may_run and is_unanswered and fingerprint
        ):
            return None
        now = self._forwarder.now
        losses = self._losses.get(record.server)
        if losses is None or losses.born != record.born:
            losses = self._losses[record.server] = Losses(record.born, now)
        losses.add(fingerprint, now)
        return losses

    def _check(
        self, server: str, losses: Losses, later_delays_s: tuple[float, ...]
    ) -> None:
        """Connect to a server that may have ended, unless it has responded since.

        The check is repeated, because a process that ends closes the connections that
        it has accepted before it refuses new ones.
        """
        address = self._forwarder.guards.find_address(server)
        if address is None or not self._select_lost(server, losses):
            losses.is_being_checked = False
            return
        on_checked = partial(self._on_checked, server, losses, later_delays_s)
        self._forwarder.pool.preconnect(address, on_checked)

    def _on_checked(
        self,
        server: str,
        losses: Losses,
        later_delays_s: tuple[float, ...],
        outcome: ConnectOutcome,
    ) -> None:
        now, timers = self._forwarder.now, self._forwarder.timers
        self._forwarder.metrics.count_server_check(outcome.value)
        if outcome is ConnectOutcome.REFUSED:
            timers.add(now + GATHERING_S, partial(self._record_end, server, losses))
        elif later_delays_s:
            delay_s, *delays_s = later_delays_s
            check = partial(self._check, server, losses, tuple(delays_s))
            timers.add(now + delay_s, check)
        else:
            losses.is_being_checked = False
            logger.bind(
                server=server,
                outcome=outcome.value,
                lost=",".join(self._select_lost(server, losses)),
            ).info("local server left requests unanswered but may not have ended")

    def _select_lost(self, server: str, losses: Losses) -> list[str]:
        """Return the requests since whose loss a server has sent no response."""
        guard = self._forwarder.guards.find(server)
        if guard is None or self._losses.get(server) is not losses:
            return []
        return losses.select(guard.last_response_at, self._forwarder.now)

    def _record_end(self, server: str, losses: Losses) -> None:
        """Report the end of a server that was running requests."""
        lost = self._select_lost(server, losses)
        if self._losses.get(server) is losses:
            del self._losses[server]
        if not lost:
            return
        self._ended.pop(server, None)
        self._ended[server] = losses.born
        if len(self._ended) > MAX_ENDED:
            del self._ended[next(iter(self._ended))]
        delay_s = self._forwarder.now - losses.find_earliest(lost)
        candidates = self._containment.select_candidates(lost)
        end = ServerEnd(server, losses.born, candidates)
        self._forwarder.metrics.count_server_end()
        self._forwarder.kernel.post("containment", ServerEnded(end))
        logger.bind(
            server=server,
            born=losses.born,
            lost=",".join(lost),
            candidates=",".join(candidates),
            after_ms=round(delay_s * _MS_PER_S),
        ).warning("local server ended while it ran requests")

    def _report_clearance(self, clearance: Clearance) -> None:
        if self._cleared.get(clearance.fingerprint) == clearance:
            return
        self._cleared[clearance.fingerprint] = clearance
        if len(self._cleared) > MAX_CONTAINED:
            del self._cleared[next(iter(self._cleared))]
        self._forwarder.kernel.post("containment", RequestCleared(clearance))
        logger.bind(fingerprint=clearance.fingerprint).info(
            "request completed that servers had ended with"
        )

    def _admit_held(self, server: str) -> None:
        """Let the next held suspect request a slot."""
        held = self._held.get(server)
        if not held:
            self._held.pop(server, None)
            return
        call = held.popleft()
        # The current call ends first, so that its slot is free.
        self._forwarder.timers.add(
            self._forwarder.now, partial(self._resume, call, server)
        )

    def _resume(self, call: Call, server: str) -> None:
        """Let a held call request its slot, unless its attempt has ended."""
        if call.is_active and call.guard is None and call.server in ("", server):
            request_local_slot(call, server, True)
