"""Stand-in of a backend server.

Announces itself to its node, runs a limited number of concurrent calls, warms up
after a cold start, sheds load, observes cancellation and deadlines, drains on
SIGTERM, and misbehaves on request.
"""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import Any
from weakref import WeakSet

import fire
import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout, web

ANNOUNCE_INTERVAL_S = 1.5
TIMEOUT_HEADER = "Monsoontray-Timeout-Ms"
POISON = b"poison"
DEADLINE_GRACE_S = 0.05
MS_PER_S = 1000


class Behaviour(msgspec.Struct):
    """Current behaviour of the server; changed through ``/_control``."""

    service_ms: float = 0.0
    slow_factor: float = 1.0
    error_share: float = 0.0
    bad_after_s: float = 0.0  # slow and failing only from this time after the start
    bad_above_calls: int = 0  # slow and failing only above this concurrency
    bad_prefix: str = ""  # slow and failing only below this path
    warmup_s: float = 0.0  # time from cold to full capacity
    cold_share: float = 0.25  # share of the slots that a cold server has
    healthy: bool = True  # result of the health endpoint


@dataclass(slots=True)
class Observed:
    """Counters of the server, served at ``/_observed``."""

    calls: int = 0
    cancelled: int = 0
    past_deadline: int = 0
    most_connections: int = 0
    over_capacity: int = 0
    most_at_once: int = 0
    shed: int = 0
    errors: int = 0
    runs: Counter[str] = field(default_factory=Counter)
    paths: Counter[str] = field(default_factory=Counter)


class Backend:
    """Backend server that sheds calls beyond its capacity."""

    def __init__(
        self, name: str, service: str, version: str, address: str, node: str,
        slots: int, connections: int, resources: tuple[str, ...], behaviour: Behaviour,
    ) -> None:  # fmt: skip
        self.node = node
        self.announcement = {
            "server": name,
            "service": service,
            "version": version,
            "address": address,
            "slots": slots,
            "connections": connections,
            "resources": list(resources),
        }
        self.slots = slots
        self.behaviour = behaviour
        self.observed = Observed()
        self.random = Random(name)
        self.running_calls = 0
        self.transports: WeakSet[Any] = WeakSet()
        self.leaving = False
        self.cold_since = time.monotonic()
        self.started_at = time.monotonic()
        self.announcer: asyncio.Task[None] | None = None

    def build_application(self) -> web.Application:
        """Build the HTTP application."""
        application = web.Application(client_max_size=1 << 40)
        application.add_routes(
            [
                web.get("/_health", self.report_health),
                web.get("/_observed", self.observe),
                web.post("/_control", self.control),
                web.route("*", "/{path:.*}", self.serve),
            ]
        )
        application.on_startup.append(self.start_announcing)
        return application

    async def start_announcing(self, application: web.Application) -> None:
        """Start the task that announces the server."""
        self.announcer = asyncio.create_task(self.announce())

    async def announce(self) -> None:
        """Announce the server periodically until it leaves."""
        async with ClientSession(timeout=ClientTimeout(2.0)) as session:
            while not self.leaving:
                try:
                    url = f"http://{self.node}/announce"
                    async with session.post(url, json=self.announcement) as response:
                        known = response.status == 200
                except (ClientError, TimeoutError, OSError):
                    known = False
                await asyncio.sleep(ANNOUNCE_INTERVAL_S if known else 0.1)

    async def leave(self) -> None:
        """Stop announcing and report to the node that the server leaves."""
        self.leaving = True
        if self.announcer is not None:
            self.announcer.cancel()
        url = f"http://{self.node}/leave"
        body = {"server": self.announcement["server"]}
        try:
            async with ClientSession(timeout=ClientTimeout(2.0)) as session:
                await session.post(url, json=body)
        except (ClientError, TimeoutError, OSError):
            return

    async def report_health(self, request: web.Request) -> web.StreamResponse:
        """Respond whether the server is healthy."""
        return web.Response(status=200 if self.behaviour.healthy else 503)

    async def observe(self, request: web.Request) -> web.StreamResponse:
        """Return the counters."""
        body = msgspec.json.encode(self.observed)
        return web.Response(body=body, content_type="application/json")

    async def control(self, request: web.Request) -> web.StreamResponse:
        """Change the behaviour; run ``turn_cold``, ``crash`` and ``leave`` once."""
        body = await request.json()
        if body.pop("crash", False):
            os._exit(1)
        if body.pop("turn_cold", False):
            self.cold_since = time.monotonic()
        if body.pop("leave", False):
            await self.leave()
        known = msgspec.to_builtins(self.behaviour)
        self.behaviour = msgspec.convert({**known, **body}, Behaviour)
        return web.json_response({})

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Handle one call: shed it, run it, or end it at its deadline."""
        observed = self.observed
        self.running_calls += 1
        observed.calls += 1
        observed.paths[request.path] += 1
        observed.most_at_once = max(observed.most_at_once, self.running_calls)
        self.transports.add(request.transport)
        observed.most_connections = max(observed.most_connections, len(self.transports))
        timeout_s = _read_timeout_s(request)
        try:
            if self.running_calls > self.compute_capacity():
                observed.over_capacity += 1
                observed.shed += 1
                return web.Response(status=503, text="overloaded\n")
            async with asyncio.timeout(timeout_s):
                return await self.run_call(request)
        except TimeoutError:
            observed.past_deadline += 1
            return web.Response(status=504, text="past the deadline\n")
        except asyncio.CancelledError:
            observed.cancelled += 1
            raise
        finally:
            self.running_calls -= 1

    async def run_call(self, request: web.Request) -> web.StreamResponse:
        """Run a call that is within the capacity."""
        behaviour = self.behaviour
        size = 0
        async for chunk in request.content.iter_chunked(65_536):
            if POISON in chunk and request.headers.get("X-Poison"):
                os._exit(1)
            size += len(chunk)
        if key := request.headers.get("X-Run-Id"):
            self.observed.runs[key] += 1
        misbehaving = self.is_misbehaving(request.path)
        factor = behaviour.slow_factor if misbehaving else 1.0
        if behaviour.service_ms:
            await asyncio.sleep(behaviour.service_ms * factor / MS_PER_S)
        if misbehaving and self.random.random() < behaviour.error_share:
            self.observed.errors += 1
            return web.Response(status=500, text="failed\n")
        headers = {"X-Server": str(self.announcement["server"])}
        if echo := request.headers.get("X-Echo"):
            headers["X-Echo"] = echo
        response_bytes = int(request.query.get("size", "0"))
        if response_bytes:
            return await self.stream_response(request, response_bytes, headers)
        text = f"{request.method} {request.path} {size}\n"
        return web.Response(text=text.ljust(500), headers=headers)

    async def stream_response(
        self, request: web.Request, size: int, headers: dict[str, str]
    ) -> web.StreamResponse:
        """Send a large response in chunks."""
        response = web.StreamResponse(headers=headers)
        if request.query.get("framing") == "chunked":
            response.enable_chunked_encoding()
        else:
            response.content_length = size
        await response.prepare(request)
        chunk = b"x" * 65_536
        while size > 0:
            await response.write(chunk[:size])
            size -= len(chunk)
        await response.write_eof()
        return response

    def compute_capacity(self) -> int:
        """Return how many concurrent calls the server accepts now."""
        warmup = self.behaviour.warmup_s
        if not warmup:
            return self.slots
        warmup_progress = min(1.0, (time.monotonic() - self.cold_since) / warmup)
        share = self.behaviour.cold_share
        return max(1, int(self.slots * (share + (1 - share) * warmup_progress)))

    def is_misbehaving(self, path: str) -> bool:
        """Return whether a call meets the conditions for misbehaviour."""
        behaviour = self.behaviour
        is_due = time.monotonic() - self.started_at >= behaviour.bad_after_s
        is_loaded = self.running_calls > behaviour.bad_above_calls
        return is_due and is_loaded and path.startswith(behaviour.bad_prefix)


def _read_timeout_s(request: web.Request) -> float | None:
    """Return the time limit of a call, or None.

    The grace lets the node end the call first.
    """
    timeout_ms = request.headers.get(TIMEOUT_HEADER)
    return int(timeout_ms) / MS_PER_S + DEADLINE_GRACE_S if timeout_ms else None


async def drain(backend: Backend) -> None:
    """Leave, then wait until the running calls have ended."""
    await backend.leave()
    while backend.running_calls:
        await asyncio.sleep(0.01)


def run(
    name: str, service: str, port: int, node: str, version: str = "1", slots: int = 9,
    connections: int = 130, resources: str = "", host: str = "127.0.0.1",
    **behaviour: float,
) -> None:  # fmt: skip
    """Serve until stopped by a signal; further flags set the behaviour."""
    names = tuple(filter(None, str(resources).split(",")))
    backend = Backend(
        str(name), str(service), str(version), f"{host}:{port}", str(node), slots,
        connections, names, msgspec.convert(behaviour, Behaviour),
    )  # fmt: skip
    asyncio.run(serve_until_stopped(backend, host, port))


async def serve_until_stopped(backend: Backend, host: str, port: int) -> None:
    """Serve until SIGTERM, then drain."""
    application = backend.build_application()
    runner = web.AppRunner(
        application, access_log=None, handler_cancellation=True, shutdown_timeout=0.5
    )
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    await stopped.wait()
    await drain(backend)
    await runner.cleanup()


if __name__ == "__main__":
    fire.Fire(run)
