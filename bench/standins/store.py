"""Stand-in of the platform's key-value store.

Implements the platform's protocol: items with revisions, paged listings, watches of
prefixes, atomic conditional writes, and leases. Counts every call (a waiting watch
counts once). ``/control`` sets the faults.
"""

from __future__ import annotations

import asyncio
import base64
import binascii
import itertools
import time
from collections import Counter
from dataclasses import astuple
from typing import Any

import fire
import msgspec
from aiohttp import web

from bench.standins.records import (
    Entry,
    Faults,
    Lease,
    LeaseRequest,
    PutRequest,
    StoreState,
    WriteRequest,
)

MAX_VALUE_BYTES = 1_048_576
MAX_KEY_BYTES = 200
MAX_WRITE_ENTRIES = 32  # conditions and changes of one write
PAGE_ITEMS = 500
HISTORY_RETENTION_S = 20.0
RATE_WINDOW_S = 1.0
MS_PER_S = 1000
READ_ONLY_PREFIXES = ("op/", "servers/")


class Store:
    """Handlers of the key-value interface."""

    def __init__(self) -> None:
        self.state = StoreState()

    def build_application(self) -> web.Application:
        """Build the HTTP application."""
        application = web.Application(client_max_size=2 * MAX_VALUE_BYTES)
        application.on_response_prepare.append(self._add_era)
        application.add_routes(
            [
                web.get("/kv-key", self.get),
                web.get("/kv-range", self.list_items),
                web.get("/kv-watch", self.watch),
                web.post("/kv-txn", self.write),
                web.post("/kv-lease", self.grant_lease),
                web.post("/kv-keep/{lease}", self.renew_lease),
                web.delete("/kv-lease-end/{lease}", self.revoke_lease),
                web.post("/operator", self.write_as_operator),
                web.post("/control", self.control),
                web.get("/observed", self.observe),
            ]
        )
        return application

    async def get(self, request: web.Request) -> web.StreamResponse:
        """Return the item of a key."""
        await self._begin_call(request, "read")
        self._expire_leases()
        key = request.query["key"]
        entry = self._get_entries(request).get(key)
        if entry is None:
            return web.json_response({"as_of": self.state.revision}, status=404)
        item = _build_item(key, entry)
        return web.json_response({**item, "as_of": self.state.revision})

    async def list_items(self, request: web.Request) -> web.StreamResponse:
        """Return one page of the items below a prefix."""
        await self._begin_call(request, "read")
        self._expire_leases()
        prefix, after = request.query["prefix"], request.query.get("after", "")
        entries = self._get_entries(request)
        keys = sorted(k for k in entries if k.startswith(prefix) and k > after)
        items = [_build_item(key, entries[key]) for key in keys[:PAGE_ITEMS]]
        return web.json_response(
            {
                "items": items,
                "truncated": len(keys) > PAGE_ITEMS,
                "as_of": self.state.revision,
            }
        )

    async def watch(self, request: web.Request) -> web.StreamResponse:
        """Return the events below a prefix, waiting until there is one."""
        await self._begin_call(request, "watch")
        prefix, after = request.query["prefix"], int(request.query["after"])
        deadline = time.monotonic() + int(request.query["wait_ms"]) / MS_PER_S
        while True:
            if self.state.faults.out:
                _abort_connection(request)
            self._expire_leases()
            state = self.state
            if not state.compacted_revision <= after <= state.revision:
                return web.json_response({"error": "history is gone"}, status=410)
            events = [
                event
                for _, event in self.state.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            remaining = deadline - time.monotonic()
            if events or remaining <= 0:
                return web.json_response(
                    {"events": events, "as_of": self.state.revision}
                )
            async with self.state.changed:
                try:
                    await asyncio.wait_for(self.state.changed.wait(), remaining)
                except TimeoutError:
                    continue

    async def write(self, request: web.Request) -> web.StreamResponse:
        """Apply a write if its conditions hold."""
        await self._begin_call(request, "write")
        body = msgspec.json.decode(await request.read(), type=WriteRequest)
        self._expire_leases()
        if self._is_write_late():
            delay_s = self.state.faults.late_ms / MS_PER_S
            self.state.delayed_writes.add(
                asyncio.create_task(self._write_delayed(body, delay_s))
            )
            _abort_connection(request)
        refusal = self._check_write(body)
        if refusal is not None:
            return refusal
        self._apply_write(body)
        await self._notify()
        if self.state.faults.lose_answers:
            _abort_connection(request)
        return web.json_response({"revision": self.state.revision})

    async def grant_lease(self, request: web.Request) -> web.StreamResponse:
        """Grant a lease."""
        await self._begin_call(request, "write")
        body = msgspec.json.decode(await request.read(), type=LeaseRequest)
        lease_id = next(self.state.new_lease_ids)
        lifetime_s = body.ttl_s_time
        self.state.leases[lease_id] = Lease(lifetime_s, time.monotonic() + lifetime_s)
        if self.state.faults.lose_answers:
            _abort_connection(request)
        return web.json_response({"lease": lease_id, "ttl_s_time": lifetime_s})

    async def renew_lease(self, request: web.Request) -> web.StreamResponse:
        """Extend a lease."""
        await self._begin_call(request, "read")
        self._expire_leases()
        lease = self.state.leases.get(int(request.match_info["lease"]))
        if lease is None:
            return web.json_response({"error": "no such lease"}, status=404)
        lease.deadline = time.monotonic() + lease.lifetime_s
        return web.json_response({"ttl_s_time": lease.lifetime_s})

    async def revoke_lease(self, request: web.Request) -> web.StreamResponse:
        """Revoke a lease; its keys are removed."""
        await self._begin_call(request, "write")
        known = self.state.leases.pop(int(request.match_info["lease"]), None)
        self._expire_leases()
        await self._notify()
        return web.json_response({}, status=404 if known is None else 200)

    async def write_as_operator(self, request: web.Request) -> web.StreamResponse:
        """Write or remove keys without checks, as the operator or another writer."""
        body = msgspec.json.decode(await request.read(), type=WriteRequest)
        self._apply_write(body)
        await self._notify()
        return web.json_response({"revision": self.state.revision})

    async def control(self, request: web.Request) -> web.StreamResponse:
        """Replace the faults; run ``lapse`` and ``compact`` once.

        ``lapse`` expires every lease, ``compact`` drops the history, ``copy`` keeps the
        state and ``restore`` comes back from it in the next era.
        """
        body = await request.json()
        if body.pop("copy", False):
            state = self.state
            leases = {i: Lease(*astuple(lease)) for i, lease in state.leases.items()}
            state.copy = (dict(state.entries), leases, state.revision)
        if body.pop("restore", False):
            self._restore()
        if body.pop("lapse", False):
            self.state.leases.clear()
            self._expire_leases()
        if body.pop("compact", False):
            self.state.history.clear()
            self.state.revision += 1
            self.state.compacted_revision = self.state.revision
        self.state.faults = msgspec.convert(body, Faults)
        self.state.stale_entries = dict(self.state.entries)
        await self._notify()
        return web.json_response({})

    def _restore(self) -> None:
        """Come back from the copy: give revisions and leases out again."""
        state = self.state
        assert state.copy is not None
        state.entries, state.leases, state.revision = state.copy
        state.copy = None
        state.history.clear()
        state.compacted_revision = state.revision
        state.new_lease_ids = itertools.count(max(state.leases, default=0) + 1)
        state.era += 1

    async def _add_era(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        response.headers["Store-Era"] = str(self.state.era)

    async def observe(self, request: web.Request) -> web.StreamResponse:
        """Return call counts since the start and of the last second."""
        return web.json_response(
            {"counts": dict(self.state.call_counts), "recent": self._count_recent()}
        )

    async def _begin_call(self, request: web.Request, kind: str) -> None:
        """Count a call and apply the faults that affect it."""
        now = time.monotonic()
        self.state.call_counts[kind] += 1
        self.state.recent_calls.append((now, kind))
        faults = self.state.faults
        if faults.out:
            _abort_connection(request)
        while self.state.faults.silent:
            async with self.state.changed:
                await self.state.changed.wait()
        if faults.busy:
            raise web.HTTPServiceUnavailable
        limit = faults.writes_per_s if kind == "write" else faults.reads_per_s
        if limit and self._count_recent()[kind] > limit:
            raise web.HTTPTooManyRequests
        if faults.latency_ms:
            await asyncio.sleep(faults.latency_ms / MS_PER_S)

    def _is_write_late(self) -> bool:
        """Return whether a write takes effect late, evenly for a share of them."""
        faults = self.state.faults
        if not faults.late_ms:
            return False
        self.state.late_count += faults.late_share
        is_late = self.state.late_count >= 1.0
        self.state.late_count -= is_late
        return is_late

    async def _write_delayed(self, body: WriteRequest, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        if self._check_write(body) is None:
            self._apply_write(body)
            await self._notify()

    def _get_entries(self, request: web.Request) -> dict[str, Entry]:
        """Return the entries that a read sees: stale ones if set and allowed."""
        if self.state.faults.stale and request.query.get("allow_stale") == "1":
            return self.state.stale_entries
        return self.state.entries

    def _check_write(self, body: WriteRequest) -> web.Response | None:
        """Return the refusal of a write, or None if it may be applied."""
        changes = len(body.expect) + len(body.puts) + len(body.remove)
        keys = [put.key for put in body.puts] + body.remove
        if any(key.startswith(READ_ONLY_PREFIXES) for key in keys):
            return web.json_response({"error": "read-only"}, status=403)
        if changes > MAX_WRITE_ENTRIES or any(
            len(k.encode()) > MAX_KEY_BYTES for k in keys
        ):
            return web.json_response({"error": "too much"}, status=400)
        for put in body.puts:
            try:
                value = base64.b64decode(put.value, validate=True)
            except binascii.Error:
                return web.json_response({"error": "not base64"}, status=400)
            if len(value) > MAX_VALUE_BYTES:
                return web.json_response({"error": "value too large"}, status=413)
            if put.lease and put.lease not in self.state.leases:
                return web.json_response({"error": "no such lease"}, status=404)
        entries = self.state.entries
        for condition in body.expect:
            entry = entries.get(condition.key)
            if (entry.revision if entry is not None else 0) != condition.revision:
                existing_keys = [c.key for c in body.expect if c.key in entries]
                items = [_build_item(key, entries[key]) for key in existing_keys]
                return web.json_response({"items": items}, status=412)
        return None

    def _apply_write(self, body: WriteRequest) -> None:
        """Make the changes of one write; they share a revision."""
        self.state.revision += 1
        for put in body.puts:
            self._put(put)
        for key in body.remove:
            self._remove(key)

    def _put(self, put: PutRequest) -> None:
        revision = self.state.revision
        known = self.state.entries.get(put.key)
        created = revision if known is None else known.created_revision
        entry = Entry(revision, created, put.value, put.lease)
        self.state.entries[put.key] = entry
        self._append_event(_build_item(put.key, entry))

    def _remove(self, key: str) -> None:
        if self.state.entries.pop(key, None) is None:
            return
        self._append_event(
            {"key": key, "revision": self.state.revision, "removed": True}
        )

    def _append_event(self, event: dict[str, Any]) -> None:
        """Add an event to the history and drop the expired ones."""
        now = time.monotonic()
        history = self.state.history
        history.append((now, event))
        while history and history[0][0] < now - HISTORY_RETENTION_S:
            self.state.compacted_revision = history.popleft()[1]["revision"]

    def _count_recent(self) -> dict[str, int]:
        calls = self.state.recent_calls
        oldest = time.monotonic() - RATE_WINDOW_S
        while calls and calls[0][0] < oldest:
            calls.popleft()
        recent = Counter(kind for _, kind in calls)
        return {kind: recent[kind] for kind in ("read", "write", "watch")}

    def _expire_leases(self) -> None:
        """Remove expired leases and the keys of all leases that ended."""
        now = time.monotonic()
        leases = self.state.leases
        for lease_id in [i for i, lease in leases.items() if lease.deadline <= now]:
            del leases[lease_id]
        entries = self.state.entries
        for key in [
            k for k, e in entries.items() if e.lease_id and e.lease_id not in leases
        ]:
            self.state.revision += 1
            self._remove(key)

    async def _notify(self) -> None:
        async with self.state.changed:
            self.state.changed.notify_all()


def _build_item(key: str, entry: Entry) -> dict[str, Any]:
    return {
        "key": key,
        "value": entry.value,
        "revision": entry.revision,
        "created": entry.created_revision,
        "lease": entry.lease_id,
    }


def _abort_connection(request: web.Request) -> None:
    """Cut the connection of a request without a response."""
    if request.transport is not None:
        request.transport.abort()
    raise web.HTTPServiceUnavailable


def run(port: int, host: str = "127.0.0.1") -> None:
    """Serve until stopped by a signal."""
    application = Store().build_application()
    web.run_app(application, host=host, port=port, print=None, access_log=None)


if __name__ == "__main__":
    fire.Fire(run)
