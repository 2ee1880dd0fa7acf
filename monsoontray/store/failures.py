"""What failures of requests, and statuses of responses, prove about a call."""

from __future__ import annotations

from functools import singledispatch

from monsoontray.http.client import HttpResponse
from monsoontray.http.errors import (
    ConnectError,
    ConnectionLostError,
    RequestError,
    ResponseTimeoutError,
)
from monsoontray.store.outcomes import Cause, NotDone, Unknown


@singledispatch
def classify_failure(error: RequestError) -> NotDone | Unknown:
    """Return what the failure of a request proves."""
    return Unknown(Cause.BAD_RESPONSE)


@classify_failure.register(ConnectError)
def _(error: ConnectError) -> NotDone | Unknown:
    return NotDone(Cause.UNREACHABLE)


@classify_failure.register(ResponseTimeoutError)
def _(error: ResponseTimeoutError) -> NotDone | Unknown:
    return Unknown(Cause.TIMEOUT)


@classify_failure.register(ConnectionLostError)
def _(error: ConnectionLostError) -> NotDone | Unknown:
    return Unknown(Cause.CONNECTION_LOST)


def classify_status(
    response: HttpResponse,
) -> HttpResponse | NotDone | Unknown:
    """Return the response, or what its status proves if it is none to the call."""
    if response.status in (429, 503):
        return NotDone(Cause.OVERLOADED)
    if response.status >= 500:
        return Unknown(Cause.BAD_RESPONSE)
    if response.status in (400, 403, 413):
        return NotDone(Cause.REFUSED)
    return response
