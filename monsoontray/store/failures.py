"""What the failure of a request to the store proves."""

from __future__ import annotations

from functools import singledispatch

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
