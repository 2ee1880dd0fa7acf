"""What callers get whose connections are given up."""

from __future__ import annotations

import socket

import pytest

from monsoontray.forwarding.caller import CallerConnection
from monsoontray.forwarding.holdings import give_up
from monsoontray.forwarding.sides import GuardSide, MeshEntrySide
from monsoontray.kernel.sockets import READABLE
from monsoontray.platform.headers import PLATFORM_PROFILE
from tests.test_forwarding.test_withdrawals import Listening

ENTRY, GUARD = MeshEntrySide(PLATFORM_PROFILE, "one"), GuardSide(PLATFORM_PROFILE)


def receive_after_giving_up(side, may_run, response_started=False):
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    forwarder = Listening()
    caller = CallerConnection(ours, forwarder, side)
    theirs.sendall(b"GET /1 HTTP/1.1\r\nHost: shop\r\n\r\n")
    caller.handle_events(READABLE)
    call = forwarder.transactions[0].call
    call.request.may_run = may_run
    call.response_started = response_started
    give_up(caller)
    for connection in forwarder.dirty_connections:
        connection.flush()
    assert not forwarder.simulation.guard.waiting
    theirs.settimeout(1.0)
    with theirs:
        return theirs.recv(4_096)


@pytest.mark.parametrize(
    ("side", "may_run", "status", "ran"),
    [
        (ENTRY, False, b"503", b"not-run"),
        (ENTRY, True, b"502", b"unknown"),
        (GUARD, False, b"503", b"not-run"),
        (GUARD, True, b"503", b"unknown"),
    ],
)
def test_each_request_is_answered_as_far_as_its_outcome_is_known(
    side, may_run, status, ran
):
    answer = receive_after_giving_up(side, may_run)
    assert answer.startswith(b"HTTP/1.1 %b " % status)
    assert b'"refused":"too-much-held","ran":"%b"' % ran in answer


def test_response_that_has_begun_is_cut():
    assert receive_after_giving_up(ENTRY, True, response_started=True) == b""
