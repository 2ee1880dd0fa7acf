"""Memory that is held for calls and connections, and connections that are given up."""

from __future__ import annotations

from typing import TYPE_CHECKING

from monsoontray.decisions.crowds import Holding, Wait
from monsoontray.decisions.outcomes import Reason, refuse_not_run

if TYPE_CHECKING:
    from monsoontray.forwarding.call import Call
    from monsoontray.forwarding.caller import CallerConnection
    from monsoontray.forwarding.transaction import HttpTransaction

PART_COST = 64  # of a part of a body beside its bytes: an object and references
#: Of a call beside its headers and body, with its connection to a server.
CALL_COST = 12_288
#: Bytes that the socket of a connection may hold while it isn't read.
UNREAD_BYTES = 65_536


def find_holding(caller: CallerConnection) -> Holding:
    """Return what is held for a connection, and what it waits for."""
    cost = caller.unsent_bytes + caller.intake.measure()
    if caller.paused:
        cost += UNREAD_BYTES
    moved_at = caller.moved_at
    for transaction in caller.transactions:
        cost += _measure_transaction(transaction)
        call = transaction.call
        if call is not None and call.request.upstream is not None:
            moved_at = max(moved_at, call.request.upstream.moved_at)
    return Holding(caller, cost, moved_at, _find_wait(caller))


def give_up(caller: CallerConnection) -> None:
    """Refuse the requests, or close the connection if no answer can be sent."""
    if caller.closed:
        return
    calls = _find_calls(caller)
    # Nothing can be told behind a response that the caller doesn't read.
    is_silent = caller.is_lingering or caller.unsent_bytes or not _has_request(caller)
    is_answered = caller.transactions and not calls
    if is_silent or is_answered or any(call.response_started for call in calls):
        caller.on_connection_lost()
        return
    if not calls:
        caller.refuse_connection(refuse_not_run(Reason.TOO_MUCH_HELD))
        return
    caller.transactions[-1].closes_connection = True
    for call in calls:
        call.record_unfinished()
        call.refuse(call.build_refusal(Reason.TOO_MUCH_HELD))


def _find_wait(caller: CallerConnection) -> Wait:
    calls = _find_calls(caller)
    incoming = caller.find_incoming()
    awaits_body = incoming is not None and not incoming.paused
    if not calls or caller.unsent_bytes or awaits_body:
        return Wait.CLIENT
    if any(call.may_have_run for call in calls):
        return Wait.SERVER
    return Wait.SLOT


def _find_calls(caller: CallerConnection) -> list[Call]:
    return [each.call for each in caller.transactions if each.call is not None]


def _has_request(caller: CallerConnection) -> bool:
    """Return whether a request was received, or a part of one."""
    intake = caller.intake
    return bool(caller.transactions) or intake.head_in_progress or not intake.is_empty


def _measure_transaction(transaction: HttpTransaction) -> int:
    cost = transaction.buffered_bytes + PART_COST * len(transaction.buffered)
    call = transaction.call
    if call is None:
        return cost
    cost += CALL_COST + call.head.cost + call.request.measure()
    buffered = call.buffered_response
    if buffered is not None:
        cost += buffered.size + PART_COST * len(buffered.parts)
    return cost
