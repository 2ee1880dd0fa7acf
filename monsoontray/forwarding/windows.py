"""Limit on how long a peer may be silent, which spares peers that only don't read."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from msgspec import Struct

if TYPE_CHECKING:
    from monsoontray.kernel.timers import Timer, Timers

#: A connection fails when the peer doesn't acknowledge sent bytes for this long, so
#: that unreachable peers are detected. It allows for several retransmissions.
USER_TIMEOUT_MS = 1_500
NO_USER_TIMEOUT_MS = 0
#: Time between two checks. The system probes a closed window after 0.2 s, so the second
#: check within the timeout finds it.
CHECK_INTERVAL_S = 0.5

# Parts of the system's ``struct tcp_info``.
_BACKOFF_OFFSET = 4
_UNACKNOWLEDGED_OFFSET = 24
_UNSENT_OFFSET = 144
_INFO_BYTES = 148
_UNSIGNED = struct.Struct("I")


class SendQueue(Struct, frozen=True):
    """What the system holds of the bytes that were sent on a connection."""

    unacknowledged: int  # segments that were transmitted
    unsent: int  # bytes for which the peer's window has no room yet
    backoff: int  # timeouts in a row, of a retransmission or of a probe

    @property
    def is_empty(self) -> bool:
        """Return whether the peer has acknowledged everything."""
        return not (self.unacknowledged or self.unsent or self.backoff)

    @property
    def is_window_closed(self) -> bool:
        """Return whether the system probes the closed window of a reachable peer.

        The peer has acknowledged all that its window took.
        """
        return self.backoff > 0 and not self.unacknowledged


class TimerOwner(Protocol):
    """Task that owns a connection."""

    now: float  # monotonic seconds of the current event
    timers: Timers


class SilenceLimit:
    """Limit on the silence of a peer, lifted while the peer's window is closed.

    The system applies TCP_USER_TIMEOUT also to bytes that wait because a peer reads
    nothing, although it acknowledges every probe.
    """

    __slots__ = ("_is_lifted", "_on_lifted", "_owner", "_sock", "_timer", "_was_used")

    def __init__(
        self, sock: socket.socket, owner: TimerOwner, on_lifted: Callable[[], None]
    ) -> None:
        self._sock = sock
        self._owner = owner
        self._on_lifted = on_lifted
        self._timer: Timer | None = None
        self._was_used = False  # bytes were sent since the last check
        self._is_lifted = False
        set_user_timeout(sock, USER_TIMEOUT_MS)

    def record_sent(self) -> None:
        """Check the window at intervals until the peer has acknowledged the bytes."""
        self._was_used = True
        if self._timer is None:
            self._add_timer()

    def stop(self) -> None:
        """Check no more."""
        if self._timer is not None:
            self._owner.timers.cancel(self._timer)
            self._timer = None

    def _add_timer(self) -> None:
        deadline = self._owner.now + CHECK_INTERVAL_S
        self._timer = self._owner.timers.add(deadline, self._check)

    def _check(self) -> None:
        self._timer = None
        queue = read_send_queue(self._sock)
        if queue.is_window_closed is not self._is_lifted:
            self._is_lifted = queue.is_window_closed
            timeout_ms = NO_USER_TIMEOUT_MS if self._is_lifted else USER_TIMEOUT_MS
            set_user_timeout(self._sock, timeout_ms)
            if self._is_lifted:
                self._on_lifted()
        if self._was_used or not queue.is_empty:
            self._was_used = False
            self._add_timer()


def read_send_queue(sock: socket.socket) -> SendQueue:
    """Return what the system holds of the bytes that were sent on a connection."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_BYTES)
    except OSError:
        return SendQueue(0, 0, 0)
    info = info.ljust(_INFO_BYTES, b"\0")  # some systems return fewer fields
    (unacknowledged,) = _UNSIGNED.unpack_from(info, _UNACKNOWLEDGED_OFFSET)
    (unsent,) = _UNSIGNED.unpack_from(info, _UNSENT_OFFSET)
    return SendQueue(unacknowledged, unsent, info[_BACKOFF_OFFSET])


def set_user_timeout(sock: socket.socket, timeout_ms: int) -> None:
    """Set how long the system waits for acknowledgements; 0 is its default."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
