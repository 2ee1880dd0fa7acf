"""Listening sockets and the two sides that calls come in on."""

from __future__ import annotations

import socket
from dataclasses import dataclass
from functools import singledispatch
from typing import TYPE_CHECKING, Any

from monsoontray.decisions.admission import admit_call
from monsoontray.decisions.outcomes import Reason, Refusal, refuse_unrun
from monsoontray.decisions.paths import reduce_target
from monsoontray.forwarding.connection import prepare_socket
from monsoontray.forwarding.heads import RequestHead
from monsoontray.forwarding.routes import (
    CUSTOMER_HEADER,
    PRIORITY_HEADER,
    SERVER_HEADER,
    EntryRoute,
    GuardRoute,
)
from monsoontray.kernel.sockets import READABLE

if TYPE_CHECKING:
    from monsoontray.forwarding.forwarder import Forwarder
    from monsoontray.settings.settings import Address

BACKLOG = 1024  # connections that wait to be accepted
ACCEPT_BATCH = 64  # connections accepted in one event
LEAST_PRIORITY = 9
_BEARER = b"Bearer "


@dataclass(slots=True, frozen=True)
class EntrySide:
    """Mark calls that come from callers."""


@dataclass(slots=True, frozen=True)
class GuardSide:
    """Mark calls that come from other nodes."""


class Listener:
    """Own a listening socket and accept its connections."""

    __slots__ = ("_forwarder", "_side", "_sock")

    def __init__(self, address: Address, side: Any, forwarder: Forwarder) -> None:
        self._forwarder = forwarder
        self._side = side
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.setblocking(False)
        self._sock.bind((address.host, address.port))
        self._sock.listen(BACKLOG)
        forwarder.add_socket(self._sock.fileno(), self, READABLE)

    def act(self, events: int) -> None:
        """Accept the connections that wait."""
        for _ in range(ACCEPT_BATCH):
            try:
                sock, _address = self._sock.accept()
            except OSError:
                return
            prepare_socket(sock)
            self._forwarder.accept_caller(sock, self._side)

    def close(self) -> None:
        """Listen no longer."""
        self._forwarder.remove_socket(self._sock.fileno())
        self._sock.close()


@singledispatch
def find_route(
    side: Any, head: RequestHead, forwarder: Forwarder
) -> EntryRoute | GuardRoute | Refusal:
    """Decide where a call that came in on a side goes."""
    raise TypeError(f"no such side: {side!r}")


@find_route.register(EntrySide)
def _(
    side: EntrySide, head: RequestHead, forwarder: Forwarder
) -> EntryRoute | GuardRoute | Refusal:
    path = reduce_target(head.target)
    if path is None:
        return refuse_unrun(Reason.BAD_REQUEST)
    token = _find_token(head)
    admitted = admit_call(forwarder.entitlements, token, head.method, path)
    if isinstance(admitted, Refusal):
        return admitted
    return EntryRoute(admitted)


@find_route.register(GuardSide)
def _(
    side: GuardSide, head: RequestHead, forwarder: Forwarder
) -> EntryRoute | GuardRoute | Refusal:
    server = head.own.get(SERVER_HEADER, b"").decode("latin-1")
    if server not in forwarder.guards:
        return refuse_unrun(Reason.NO_SERVER)
    customer = head.own.get(CUSTOMER_HEADER, b"").decode("latin-1")
    priority = head.own.get(PRIORITY_HEADER, b"")
    rank = int(priority) if priority.isdigit() else LEAST_PRIORITY
    return GuardRoute(server, customer, rank)


def _find_token(head: RequestHead) -> bytes:
    credentials = head.authorization
    if not credentials.startswith(_BEARER):
        return b""
    return credentials[len(_BEARER) :]
