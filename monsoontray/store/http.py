"""An adapter for key-value services that speak HTTP and JSON."""

from __future__ import annotations

import base64
from collections.abc import Sequence
from typing import Any
from urllib.parse import quote

import msgspec
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    MaxRetryError,
    NewConnectionError,
    ProtocolError,
    ReadTimeoutError,
)

from monsoontray.kernel.clock import Clock
from monsoontray.store.outcomes import (
    ABSENT,
    Cause,
    Conflict,
    Done,
    Lease,
    LeaseOutcome,
    NotDone,
    ReadOutcome,
    Record,
    Unchanged,
    Unknown,
    WatchOutcome,
    WriteOutcome,
)

WATCH_MARGIN_S = 2.0  # beyond the wait that the service was asked for
_MS_PER_S = 1000


class KeyResponse(msgspec.Struct, frozen=True):
    """Shape of a response that carries a record."""

    revision: int
    value: str  # base64


class RevisionResponse(msgspec.Struct, frozen=True):
    """Shape of a response to a write."""

    revision: int


class LeaseResponse(msgspec.Struct, frozen=True):
    """Shape of a response to a grant or renewal."""

    lease: str


class HttpStoreClient:
    """Call the service over HTTP; tries its endpoints in turn."""

    def __init__(
        self, endpoints: Sequence[str], timeout_s: float, clock: Clock
    ) -> None:
        self._endpoints = tuple(endpoint.rstrip("/") for endpoint in endpoints)
        self._current = 0
        self._timeout_s = timeout_s
        self._clock = clock
        self._pool = urllib3.PoolManager(retries=False, maxsize=1, num_pools=4)

    def get(self, key: str) -> ReadOutcome:
        """Return the record of a key."""
        response = self._send("GET", _path_of_key(key), None, self._timeout_s)
        if isinstance(response, NotDone):
            return response
        if isinstance(response, Unknown):
            return NotDone(response.cause)
        return _read_record(key, response)

    def compare_and_swap(
        self, key: str, revision: int, value: bytes, lease: str = ""
    ) -> WriteOutcome:
        """Write a key that is still at a revision."""
        body = {
            "revision": revision,
            "value": base64.b64encode(value).decode(),
            "lease": lease,
        }
        response = self._send("PUT", _path_of_key(key), body, self._timeout_s)
        if isinstance(response, NotDone | Unknown):
            return response
        return _read_write(response)

    def grant_lease(self, lifetime_s: float) -> LeaseOutcome:
        """Obtain a lease."""
        return self._hold_lease("/leases", lifetime_s)

    def renew_lease(self, lease: str, lifetime_s: float) -> LeaseOutcome:
        """Extend a lease."""
        return self._hold_lease(f"/leases/{lease}", lifetime_s)

    def end_lease(self, lease: str) -> WriteOutcome:
        """Give a lease back."""
        response = self._send("DELETE", f"/leases/{lease}", None, self._timeout_s)
        if isinstance(response, NotDone | Unknown):
            return response
        return _read_write(response)

    def watch(self, key: str, revision: int, wait_s: float) -> WatchOutcome:
        """Wait until a key is at another revision than the one given."""
        wait_ms = int(wait_s * _MS_PER_S)
        path = f"/watch/{quote(key, safe='')}?revision={revision}&wait_ms={wait_ms}"
        response = self._send("GET", path, None, wait_s + WATCH_MARGIN_S)
        if isinstance(response, NotDone):
            return response
        if isinstance(response, Unknown):
            return NotDone(response.cause)
        if response.status == 204:
            return Unchanged()
        return _read_record(key, response)

    def close(self) -> None:
        """Release the connections."""
        self._pool.clear()

    def _hold_lease(self, path: str, lifetime_s: float) -> LeaseOutcome:
        asked_at = self._clock.now()
        body = {"lifetime_ms": int(lifetime_s * _MS_PER_S)}
        response = self._send("POST", path, body, self._timeout_s)
        if isinstance(response, NotDone | Unknown):
            return response
        if response.status == 404:
            return NotDone(Cause.LEASE_LAPSED)
        decoded = _decode(response, LeaseResponse)
        if decoded is None:
            return Unknown(Cause.BAD_RESPONSE)
        return Lease(decoded.lease, asked_at + lifetime_s)

    def _send(
        self, method: str, path: str, body: object, timeout_s: float
    ) -> urllib3.BaseHTTPResponse | NotDone | Unknown:
        url = self._endpoints[self._current] + path
        content = None if body is None else msgspec.json.encode(body)
        timeout = urllib3.Timeout(
            connect=min(timeout_s, self._timeout_s), read=timeout_s
        )
        try:
            response = self._pool.request(
                method, url, body=content, timeout=timeout, redirect=False
            )
        except HTTPError as error:
            self._current = (self._current + 1) % len(self._endpoints)
            return _classify_failure(error)
        return _classify_status(response)


def _path_of_key(key: str) -> str:
    return f"/keys/{quote(key, safe='')}"


def _classify_failure(error: HTTPError) -> NotDone | Unknown:
    if isinstance(error, MaxRetryError) and isinstance(error.reason, HTTPError):
        error = error.reason
    if isinstance(error, ConnectTimeoutError | NewConnectionError):
        return NotDone(Cause.UNREACHABLE)
    if isinstance(error, ReadTimeoutError):
        return Unknown(Cause.TIMEOUT)
    if isinstance(error, ProtocolError):
        return Unknown(Cause.CONNECTION_LOST)
    return Unknown(Cause.BAD_RESPONSE)


def _classify_status(
    response: urllib3.BaseHTTPResponse,
) -> urllib3.BaseHTTPResponse | NotDone | Unknown:
    if response.status in (429, 503):
        return NotDone(Cause.OVERLOADED)
    if response.status >= 500:
        return Unknown(Cause.BAD_RESPONSE)
    if response.status in (400, 413):
        return NotDone(Cause.REFUSED)
    return response


def _read_record(key: str, response: urllib3.BaseHTTPResponse) -> Record | NotDone:
    if response.status == 404:
        return Record(key, ABSENT, b"")
    decoded = _decode(response, KeyResponse)
    if decoded is None:
        return NotDone(Cause.BAD_RESPONSE)
    try:
        value = base64.b64decode(decoded.value, validate=True)
    except ValueError:
        return NotDone(Cause.BAD_RESPONSE)
    return Record(key, decoded.revision, value)


def _read_write(response: urllib3.BaseHTTPResponse) -> WriteOutcome:
    if response.status == 404:
        return NotDone(Cause.LEASE_LAPSED)
    decoded = _decode(response, RevisionResponse)
    if decoded is None:
        return Unknown(Cause.BAD_RESPONSE)
    if response.status == 409:
        return Conflict(decoded.revision)
    return Done(decoded.revision)


def _decode(response: urllib3.BaseHTTPResponse, shape: Any) -> Any:
    try:
        return msgspec.json.decode(response.data, type=shape)
    except msgspec.DecodeError:
        return None
