"""Stand-in of the platform's key-value service.

Holds values up to a megabyte with compare-and-swap, leases and watches, counts
every call (a waiting watch as one) and takes faults through ``/control``.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import Counter, deque
from dataclasses import dataclass, field

import fire
import msgspec
from aiohttp import web

MAX_VALUE_BYTES = 1_048_576
RATE_WINDOW_S = 1.0
MS_PER_S = 1000


class Faults(msgspec.Struct):
    """Faults in force; all off by default."""

    out: bool = False  # connections are cut without an answer
    latency_ms: float = 0.0
    lose_answers: bool = False  # writes take effect, their answers are lost
    writes_per_s: float = 0.0  # 0 means no limit
    reads_per_s: float = 0.0


class WriteBody(msgspec.Struct):
    """Body of a write."""

    revision: int
    value: str
    lease: str = ""


class LeaseBody(msgspec.Struct):
    """Body of a grant or renewal."""

    lifetime_ms: int


@dataclass(slots=True)
class Entry:
    """Hold a key."""

    revision: int
    value: str
    lease: str


@dataclass(slots=True)
class StoreState:
    """Hold keys, leases, counts and waiting watches."""

    entries: dict[str, Entry] = field(default_factory=dict)
    leases: dict[str, float] = field(default_factory=dict)  # deadline
    revision: int = 0
    counts: Counter[str] = field(default_factory=Counter)
    calls: deque[tuple[float, str]] = field(default_factory=deque)
    faults: Faults = field(default_factory=Faults)
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)
    names: itertools.count[int] = field(default_factory=itertools.count)


class Store:
    """Serve the key-value interface."""

    def __init__(self) -> None:
        self.state = StoreState()

    def build_application(self) -> web.Application:
        """Return the application."""
        application = web.Application(client_max_size=2 * MAX_VALUE_BYTES)
        application.add_routes(
            [
                web.get("/keys/{key}", self.get),
                web.put("/keys/{key}", self.write),
                web.get("/watch/{key}", self.watch),
                web.post("/leases", self.grant),
                web.post("/leases/{lease}", self.renew),
                web.delete("/leases/{lease}", self.end),
                web.post("/control", self.control),
                web.get("/observed", self.observe),
            ]
        )
        return application

    async def get(self, request: web.Request) -> web.StreamResponse:
        """Read a key."""
        await self._begin(request, "read")
        return self._answer_entry(request.match_info["key"])

    async def write(self, request: web.Request) -> web.StreamResponse:
        """Write a key by compare-and-swap."""
        await self._begin(request, "write")
        body = msgspec.json.decode(await request.read(), type=WriteBody)
        if len(body.value) > MAX_VALUE_BYTES * 4 // 3 + 4:
            return web.json_response({"error": "value too large"}, status=413)
        self._lapse()
        if body.lease and body.lease not in self.state.leases:
            return web.json_response({"error": "no such lease"}, status=404)
        key = request.match_info["key"]
        entry = self.state.entries.get(key)
        current = entry.revision if entry is not None else 0
        if current != body.revision:
            return web.json_response({"revision": current}, status=409)
        self.state.revision += 1
        revision = self.state.revision
        self.state.entries[key] = Entry(revision, body.value, body.lease)
        await self._notify()
        if self.state.faults.lose_answers:
            _cut(request)
        return web.json_response({"revision": revision})

    async def watch(self, request: web.Request) -> web.StreamResponse:
        """Wait until a key is at another revision."""
        await self._begin(request, "watch")
        key = request.match_info["key"]
        known = int(request.query["revision"])
        deadline = time.monotonic() + int(request.query["wait_ms"]) / MS_PER_S
        while True:
            if self.state.faults.out:
                _cut(request)
            self._lapse()
            entry = self.state.entries.get(key)
            if (entry.revision if entry is not None else 0) != known:
                return self._answer_entry(key)
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                return web.Response(status=204)
            async with self.state.changed:
                try:
                    await asyncio.wait_for(self.state.changed.wait(), remaining)
                except TimeoutError:
                    return web.Response(status=204)

    async def grant(self, request: web.Request) -> web.StreamResponse:
        """Grant a lease."""
        await self._begin(request, "write")
        body = msgspec.json.decode(await request.read(), type=LeaseBody)
        lease = f"lease-{next(self.state.names)}"
        self.state.leases[lease] = time.monotonic() + body.lifetime_ms / MS_PER_S
        if self.state.faults.lose_answers:
            _cut(request)
        return web.json_response({"lease": lease})

    async def renew(self, request: web.Request) -> web.StreamResponse:
        """Extend a lease."""
        await self._begin(request, "write")
        body = msgspec.json.decode(await request.read(), type=LeaseBody)
        self._lapse()
        lease = request.match_info["lease"]
        if lease not in self.state.leases:
            return web.json_response({"error": "no such lease"}, status=404)
        self.state.leases[lease] = time.monotonic() + body.lifetime_ms / MS_PER_S
        return web.json_response({"lease": lease})

    async def end(self, request: web.Request) -> web.StreamResponse:
        """End a lease."""
        await self._begin(request, "write")
        self.state.leases.pop(request.match_info["lease"], None)
        self._lapse()
        await self._notify()
        return web.json_response({"revision": self.state.revision})

    async def control(self, request: web.Request) -> web.StreamResponse:
        """Set the faults; ``lapse`` ends every lease at once."""
        body = await request.json()
        if body.pop("lapse", False):
            self.state.leases.clear()
            self._lapse()
        self.state.faults = msgspec.convert(body, Faults)
        await self._notify()
        return web.json_response({})

    async def observe(self, request: web.Request) -> web.StreamResponse:
        """Return counts since the start and the calls of the last second."""
        return web.json_response(
            {"counts": dict(self.state.counts), "recent": self._count_recent()}
        )

    async def _begin(self, request: web.Request, kind: str) -> None:
        now = time.monotonic()
        self.state.counts[kind] += 1
        self.state.calls.append((now, kind))
        faults = self.state.faults
        if faults.out:
            _cut(request)
        limit = faults.writes_per_s if kind == "write" else faults.reads_per_s
        if limit and self._count_recent()[kind] > limit:
            raise web.HTTPServiceUnavailable
        if faults.latency_ms:
            await asyncio.sleep(faults.latency_ms / MS_PER_S)

    def _count_recent(self) -> dict[str, int]:
        calls = self.state.calls
        oldest = time.monotonic() - RATE_WINDOW_S
        while calls and calls[0][0] < oldest:
            calls.popleft()
        recent = Counter(kind for _, kind in calls)
        return {kind: recent[kind] for kind in ("read", "write", "watch")}

    def _lapse(self) -> None:
        now = time.monotonic()
        leases = self.state.leases
        for lease in [name for name, deadline in leases.items() if deadline <= now]:
            del leases[lease]
        entries = self.state.entries
        for key in [k for k, e in entries.items() if e.lease and e.lease not in leases]:
            del entries[key]

    def _answer_entry(self, key: str) -> web.Response:
        self._lapse()
        entry = self.state.entries.get(key)
        if entry is None:
            return web.json_response({"error": "no such key"}, status=404)
        return web.json_response({"revision": entry.revision, "value": entry.value})

    async def _notify(self) -> None:
        async with self.state.changed:
            self.state.changed.notify_all()


def _cut(request: web.Request) -> None:
    """Cut the connection without an answer."""
    if request.transport is not None:
        request.transport.abort()
    raise web.HTTPServiceUnavailable


def run(port: int, host: str = "127.0.0.1") -> None:
    """Serve until told to stop."""
    application = Store().build_application()
    web.run_app(application, host=host, port=port, print=None, access_log=None)


if __name__ == "__main__":
    fire.Fire(run)
