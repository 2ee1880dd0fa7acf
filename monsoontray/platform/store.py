"""Client of the platform's key-value store."""

from __future__ import annotations

import base64
from collections.abc import Callable, Sequence
from typing import Any
from urllib.parse import urlencode

import msgspec

from monsoontray.decoding.documents import find_json
from monsoontray.decoding.values import Revision, Seconds, SequenceNumber
from monsoontray.http.client import HttpClient, HttpRequest, HttpResponse
from monsoontray.http.errors import RequestError
from monsoontray.kernel.clock import Clock
from monsoontray.settings.settings import parse_url
from monsoontray.store.eras import StoreEra
from monsoontray.store.failures import classify_failure, classify_status
from monsoontray.store.outcomes import (
    ABSENT,
    Cause,
    Changes,
    Compacted,
    Conflict,
    Done,
    Lease,
    LeaseOutcome,
    Listing,
    ListOutcome,
    NotDone,
    Put,
    ReadOutcome,
    Record,
    Unknown,
    WatchOutcome,
    WatchPrefixOutcome,
    WriteOutcome,
)
from monsoontray.store.watching import watch_key

WATCH_MARGIN_S = 0.5  # allowed beyond the requested wait, for a slow response
MAX_IDLE_CONNECTIONS = 4
MAX_LISTING_PAGES = 64  # a page holds about 500 records
_MS_PER_S = 1000
_LEASE_NOT_FOUND = 404
_PRECONDITION_FAILED = 412
_COMPACTED = 410
STORE_ERA_HEADER = b"store-era"
_READ_HEADERS = frozenset((STORE_ERA_HEADER,))


class ItemSchema(msgspec.Struct, frozen=True):
    """JSON schema of a record, or of an event in a watch."""

    key: str
    revision: Revision
    value: str = ""  # base64
    removed: bool = False


class PageSchema(msgspec.Struct, frozen=True):
    """JSON schema of one page of a listing."""

    items: tuple[ItemSchema, ...]
    as_of: Revision
    truncated: bool = False


class EventsSchema(msgspec.Struct, frozen=True):
    """JSON schema of the response to a watch."""

    events: tuple[ItemSchema, ...]
    as_of: Revision  # revision from which the next watch continues


class AbsentSchema(msgspec.Struct, frozen=True):
    """JSON schema of the response for a key that does not exist."""

    as_of: Revision


class RevisionSchema(msgspec.Struct, frozen=True):
    """JSON schema of the response to a write."""

    revision: Revision


class ConflictSchema(msgspec.Struct, frozen=True):
    """JSON schema of the response to a write whose expected revisions differ."""

    items: tuple[ItemSchema, ...] = ()


class LeaseSchema(msgspec.Struct, frozen=True):
    """JSON schema of the response to a grant or renewal of a lease."""

    ttl_s_time: Seconds  # a lifetime in seconds, despite its name
    lease: SequenceNumber = 0


class PlatformStoreClient:
    """HTTP client of the store; switches to the next endpoint after a failure."""

    def __init__(
        self,
        endpoints: Sequence[str],
        timeout_s: float,
        clock: Clock,
        count_call: Callable[[str], None] = lambda kind: None,
    ) -> None:
        self._endpoints = tuple(parse_url(endpoint) for endpoint in endpoints)
        self._current_endpoint = 0
        self._timeout_s = timeout_s
        self._clock = clock
        self._count_call = count_call
        #: Store revisions at which keys were found not to exist.
        self._absence_revisions: dict[str, int] = {}
        self.era = StoreEra()  # that the latest answer named
        self._http = HttpClient(clock, MAX_IDLE_CONNECTIONS, _READ_HEADERS)

    def get(self, key: str) -> ReadOutcome:
        """Return the record of a key, with revision ABSENT if it does not exist."""
        response = self._send_get("read", "/kv-key", {"key": key}, self._timeout_s)
        if isinstance(response, NotDone):
            return response
        if response.status == 404:
            absent = find_json(response.body, AbsentSchema)
            if absent is not None:
                self._absence_revisions[key] = absent.as_of
            return Record(key, ABSENT, b"")
        item = find_json(response.body, ItemSchema)
        record = None if item is None else _build_record(item)
        return NotDone(Cause.BAD_RESPONSE) if record is None else record

    def list_prefix(self, prefix: str) -> ListOutcome:
        """Return the records with a key prefix, and the revision to watch from."""
        records: list[Record] = []
        revision = None
        after = ""
        for _ in range(MAX_LISTING_PAGES):
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            response = self._send_get("listing", "/kv-range", query, self._timeout_s)
            if isinstance(response, NotDone):
                return response
            page = find_json(response.body, PageSchema)
            if page is None:
                return NotDone(Cause.BAD_RESPONSE)
            # Pages are read at different revisions. A watch from the first page's
            # revision repeats changes that later pages may have missed.
            revision = page.as_of if revision is None else revision
            records += _build_records(page.items)
            if not page.truncated or not page.items:
                return Listing(tuple(records), revision)
            after = page.items[-1].key
        return NotDone(Cause.BAD_RESPONSE)

    def watch_prefix(
        self, prefix: str, revision: int, wait_s: float
    ) -> WatchPrefixOutcome:
        """Wait for changes to keys with a prefix after a revision."""
        wait_ms = int(wait_s * _MS_PER_S)
        query = {"prefix": prefix, "after": revision, "wait_ms": wait_ms}
        response = self._send_get("watch", "/kv-watch", query, wait_s + WATCH_MARGIN_S)
        if isinstance(response, NotDone):
            return response
        if response.status == _COMPACTED:
            return Compacted()
        changes = find_json(response.body, EventsSchema)
        if changes is None:
            return NotDone(Cause.BAD_RESPONSE)
        written = tuple(
            _build_records([event for event in changes.events if not event.removed])
        )
        removed = tuple(
            Record(event.key, event.revision, b"")
            for event in changes.events
            if event.removed
        )
        return Changes(written, removed, changes.as_of)

    def watch(self, key: str, revision: int, wait_s: float) -> WatchOutcome:
        """Wait until the revision of a key differs from the given one."""
        absent_at = self._absence_revisions.get(key, ABSENT)
        return watch_key(self, key, revision, absent_at, wait_s)

    def compare_and_swap(
        self, key: str, revision: int, value: bytes, lease_id: str = ""
    ) -> WriteOutcome:
        """Write a key if it is still at the given revision."""
        return self.commit({key: revision}, (Put(key, value, lease_id),))

    def commit(
        self,
        expected: dict[str, int],
        puts: Sequence[Put] = (),
        removed: Sequence[str] = (),
    ) -> WriteOutcome:
        """Make all changes if every key is at its expected revision, otherwise none."""
        body = {
            "expect": [
                {"key": key, "revision": revision} for key, revision in expected.items()
            ],
            "puts": [_encode_put(put) for put in puts],
            "remove": list(removed),
        }
        response = self._send_request("write", "POST", "/kv-txn", body, self._timeout_s)
        if isinstance(response, NotDone | Unknown):
            return response
        if response.status == _LEASE_NOT_FOUND:
            return NotDone(Cause.LEASE_EXPIRED)
        if response.status == _PRECONDITION_FAILED:
            conflict = find_json(response.body, ConflictSchema)
            if conflict is None:
                return Unknown(Cause.BAD_RESPONSE)
            current = max((item.revision for item in conflict.items), default=ABSENT)
            existing = [item for item in conflict.items if item.revision != ABSENT]
            return Conflict(current, tuple(_build_records(existing)))
        result = find_json(response.body, RevisionSchema)
        return Unknown(Cause.BAD_RESPONSE) if result is None else Done(result.revision)

    def grant_lease(self, lifetime_s: float) -> LeaseOutcome:
        """Request a new lease."""
        return self._request_lease("grant", "/kv-lease", {"ttl_s_time": lifetime_s}, "")

    def renew_lease(self, lease_id: str, lifetime_s: float) -> LeaseOutcome:
        """Renew a lease for the lifetime that it was granted with."""
        return self._request_lease("renewal", f"/kv-keep/{lease_id}", None, lease_id)

    def revoke_lease(self, lease_id: str) -> WriteOutcome:
        """Revoke a lease."""
        response = self._send_request(
            "end", "DELETE", f"/kv-lease-end/{lease_id}", None, self._timeout_s
        )
        if isinstance(response, NotDone | Unknown):
            return response
        if response.status == _LEASE_NOT_FOUND:
            return NotDone(Cause.LEASE_EXPIRED)
        return Done(ABSENT)

    def close(self) -> None:
        """Close the connections."""
        self._http.close()

    def _request_lease(
        self, kind: str, path: str, body: object, lease_id: str
    ) -> LeaseOutcome:
        requested_at = self._clock.now()
        response = self._send_request(kind, "POST", path, body, self._timeout_s)
        if isinstance(response, NotDone | Unknown):
            return response
        if response.status == _LEASE_NOT_FOUND:
            return NotDone(Cause.LEASE_EXPIRED)
        granted = find_json(response.body, LeaseSchema)
        if granted is None:
            return Unknown(Cause.BAD_RESPONSE)
        return Lease(lease_id or str(granted.lease), requested_at + granted.ttl_s_time)

    def _send_get(
        self, kind: str, path: str, query: dict[str, Any], timeout_s: float
    ) -> HttpResponse | NotDone:
        response = self._send_request(
            kind, "GET", f"{path}?{urlencode(query)}", None, timeout_s
        )
        return NotDone(response.cause) if isinstance(response, Unknown) else response

    def _send_request(
        self, kind: str, method: str, path: str, body: object, timeout_s: float
    ) -> HttpResponse | NotDone | Unknown:
        self._count_call(kind)
        now = self._clock.now()
        request = HttpRequest(
            method,
            self._endpoints[self._current_endpoint],
            path,
            connect_deadline=now + min(timeout_s, self._timeout_s),
            response_deadline=now + timeout_s,
            body=b"" if body is None else msgspec.json.encode(body),
        )
        try:
            response = self._http.send(request)
        except RequestError as error:
            self._current_endpoint = (self._current_endpoint + 1) % len(self._endpoints)
            return classify_failure(error)
        if not self.era.read(response.headers.get(STORE_ERA_HEADER, b"")):
            return Unknown(Cause.ERA_ENDED)
        return classify_status(response)


def _encode_put(put: Put) -> dict[str, Any]:
    fields: dict[str, Any] = {
        "key": put.key,
        "value": base64.b64encode(put.value).decode(),
    }
    if put.lease_id:
        fields["lease"] = int(put.lease_id)
    return fields


def _build_record(item: ItemSchema) -> Record | None:
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError:
        return None
    return Record(item.key, item.revision, value)


def _build_records(items: Sequence[ItemSchema]) -> list[Record]:
    """Return the valid records; skip invalid ones, which another writer may store."""
    decoded = [_build_record(item) for item in items]
    return [record for record in decoded if record is not None]
