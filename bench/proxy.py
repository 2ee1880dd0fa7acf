"""Fault-injecting TCP proxy.

One process holds many links. Each link listens on a port and passes bytes to a
target. A connection is known by the label of the process that opened it, so that
a rule can cut or silence one zone's traffic to a link and leave the rest.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
from collections import Counter
from dataclasses import dataclass, field

import fire
import msgspec
from aiohttp import web

PART_BYTES = 65_536
DELAY_S = 0.15  # a detour around half the world
LOOK_UP_INTERVAL_S = 0.1  # connections that open meanwhile are looked up together
ANY = "*"
_SOCKET_TABLES = (
    ("/proc/net/tcp", "0100007F"),
    ("/proc/net/tcp6", "0000000000000000FFFF00000100007F"),
)


class LinkBody(msgspec.Struct):
    """Ask for a link."""

    name: str
    port: int
    target: str
    label: str = ""  # of the process behind the target


class LabelBody(msgspec.Struct):
    """Give the processes of a group a label."""

    pids: dict[str, str]  # pid to label


class RuleBody(msgspec.Struct):
    """Set what happens to connections between two labels."""

    source: str  # a label, or ANY
    target: str  # a label or a link's name, or ANY
    #: pass, cut, silence (new ones too), one-way (answers alone are silenced), delay
    #: or silence-established
    action: str


@dataclass(slots=True)
class Link:
    """Hold one listening port."""

    name: str
    target: str
    label: str
    bytes_in: int = 0  # towards the target
    bytes_out: int = 0
    connections: int = 0
    server: asyncio.Server | None = None


@dataclass(slots=True, eq=False)
class Passage:
    """Hold one connection through a link."""

    link: Link
    ports: tuple[int, int]  # of the process that opened it, and of the link
    writers: list[asyncio.StreamWriter]
    source: str | None = None  # label of that process, once it was looked up
    open_gate: asyncio.Event = field(default_factory=asyncio.Event)
    back_gate: asyncio.Event = field(default_factory=asyncio.Event)  # for answers
    delay_s: float = 0.0
    silenced_for_good: bool = False


class Proxy:
    """Pass bytes, subject to rules."""

    def __init__(self) -> None:
        self.links: dict[str, Link] = {}
        self.labels: dict[int, str] = {}
        self.rules: dict[tuple[str, str], str] = {}
        self.passages: set[Passage] = set()
        self.unruled: list[Passage] = []  # connections that wait for the rules
        self.look_up: asyncio.Task[None] | None = None

    def build_application(self) -> web.Application:
        """Return the application that controls the proxy."""
        application = web.Application()
        application.add_routes(
            [
                web.post("/links", self.add_link),
                web.post("/labels", self.set_labels),
                web.post("/rules", self.set_rule),
                web.get("/observed", self.observe),
            ]
        )
        return application

    async def add_link(self, request: web.Request) -> web.Response:
        """Open a link."""
        body = msgspec.json.decode(await request.read(), type=LinkBody)
        link = Link(body.name, body.target, body.label)
        link.server = await asyncio.start_server(
            lambda reader, writer: self.pass_connection(link, reader, writer),
            "127.0.0.1",
            body.port,
            backlog=1024,
        )
        self.links[body.name] = link
        return web.json_response({})

    async def set_labels(self, request: web.Request) -> web.Response:
        """Label processes."""
        body = msgspec.json.decode(await request.read(), type=LabelBody)
        self.labels.update({int(pid): label for pid, label in body.pids.items()})
        return web.json_response({})

    async def set_rule(self, request: web.Request) -> web.Response:
        """Change a rule and apply it to open connections."""
        body = msgspec.json.decode(await request.read(), type=RuleBody)
        key = (body.source, body.target)
        if body.action == "silence-established":
            self.silence_established(key)
            return web.json_response({})
        if body.action == "pass":
            self.rules.pop(key, None)
        else:
            self.rules[key] = body.action
        self.apply_rules(list(self.passages))
        return web.json_response({})

    async def observe(self, request: web.Request) -> web.Response:
        """Return the bytes and connections of each link."""
        links = {
            name: {
                "in": link.bytes_in,
                "out": link.bytes_out,
                "connections": link.connections,
            }
            for name, link in self.links.items()
        }
        return web.json_response(links)

    async def pass_connection(
        self, link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass one connection until either end closes."""
        far_port: int = writer.get_extra_info("peername")[1]
        near_port: int = writer.get_extra_info("sockname")[1]
        passage = Passage(link, (far_port, near_port), [writer])
        link.connections += 1
        self.passages.add(passage)
        try:
            self.rule_soon(passage)
            await passage.open_gate.wait()
            host, _, target_port = link.target.rpartition(":")
            far_reader, far_writer = await asyncio.open_connection(
                host, int(target_port)
            )
            passage.writers.append(far_writer)
            await asyncio.gather(
                self.pump(passage, reader, far_writer, towards_target=True),
                self.pump(passage, far_reader, writer, towards_target=False),
            )
        except OSError:
            pass
        finally:
            self.passages.discard(passage)
            for each in passage.writers:
                each.close()

    async def pump(
        self,
        passage: Passage,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        towards_target: bool,
    ) -> None:
        """Pass bytes in one direction."""
        gate = passage.open_gate if towards_target else passage.back_gate
        while data := await reader.read(PART_BYTES):
            if passage.delay_s:
                await asyncio.sleep(passage.delay_s)
            await gate.wait()
            if towards_target:
                passage.link.bytes_in += len(data)
            else:
                passage.link.bytes_out += len(data)
            writer.write(data)
            await writer.drain()
        await gate.wait()
        with contextlib.suppress(OSError):
            writer.write_eof()

    def rule_soon(self, passage: Passage) -> None:
        """Pass a connection, or hold it until its process was looked up."""
        if not self.rules:
            self.apply_action(passage, "pass")
            return
        self.unruled.append(passage)
        if self.look_up is None:
            self.look_up = asyncio.create_task(self.rule_unruled())

    async def rule_unruled(self) -> None:
        """Apply the rules to the connections that opened lately."""
        await asyncio.sleep(LOOK_UP_INTERVAL_S)
        self.look_up = None
        unruled, self.unruled = self.unruled, []
        self.apply_rules(unruled)

    def apply_rules(self, passages: list[Passage]) -> None:
        """Pass, cut or silence connections as the rules say now."""
        if self.rules:
            self.find_sources(passages)
        for passage in passages:
            if not passage.silenced_for_good:
                self.apply_action(passage, self.find_action(passage))

    def apply_action(self, passage: Passage, action: str) -> None:
        """Pass, cut or silence one connection."""
        if action == "cut":
            for writer in passage.writers:
                writer.transport.abort()
            return
        passage.delay_s = DELAY_S if action == "delay" else 0.0
        _set_gate(passage.open_gate, action != "silence")
        _set_gate(passage.back_gate, action not in ("silence", "one-way"))

    def silence_established(self, key: tuple[str, str]) -> None:
        """Silence the connections that are open now, for good."""
        self.find_sources(list(self.passages))
        for passage in self.passages:
            if _matches(passage, key):
                passage.silenced_for_good = True
                passage.open_gate.clear()
                passage.back_gate.clear()

    def find_action(self, passage: Passage) -> str:
        """Return what the rules say of a connection."""
        for key, action in self.rules.items():
            if _matches(passage, key):
                return action
        return "pass"

    def find_sources(self, passages: list[Passage]) -> None:
        """Look up which processes opened connections, all at once."""
        unknown = [passage for passage in passages if passage.source is None]
        if not unknown:
            return
        inodes = _read_inodes()
        labels = _read_owners(self.labels)
        for passage in unknown:
            passage.source = labels.get(inodes.get(passage.ports, ""), "")


def _set_gate(gate: asyncio.Event, is_open: bool) -> None:
    if is_open:
        gate.set()
    else:
        gate.clear()


def _matches(passage: Passage, key: tuple[str, str]) -> bool:
    source, target = key
    link = passage.link
    return source in (ANY, passage.source) and target in (ANY, link.label, link.name)


def _read_inodes() -> dict[tuple[int, int], str]:
    """Return the inode of each loopback socket by its ports, near and far.

    Sockets to different far ports may share a near one. Some clients open sockets
    of the newer family to reach IPv4 addresses.
    """
    inodes = {}
    for table, prefix in _SOCKET_TABLES:
        with open(table) as lines:
            for line in lines:
                cells = line.split()
                address, _, near_port = cells[1].partition(":")
                far_port = cells[2].rpartition(":")[2]
                if address == prefix:
                    inodes[int(near_port, 16), int(far_port, 16)] = cells[9]
    return inodes


def _read_owners(labels: dict[int, str]) -> dict[str, str]:
    """Return the label of the process that owns each socket, by inode."""
    owners = {}
    for pid, label in labels.items():
        directory = f"/proc/{pid}/fd"
        with contextlib.suppress(OSError):
            for descriptor in os.listdir(directory):
                with contextlib.suppress(OSError):
                    name = os.readlink(f"{directory}/{descriptor}")
                    if name.startswith("socket:["):
                        owners[name[len("socket:[") : -1]] = label
    return owners


def run(port: int) -> None:
    """Serve until told to stop."""
    application = Proxy().build_application()
    web.run_app(application, host="127.0.0.1", port=port, print=None, access_log=None)


def count_bytes(observed: dict[str, dict[str, int]], names: list[str]) -> int:
    """Return the bytes that links passed in both directions."""
    counts: Counter[str] = Counter()
    for name in names:
        counts.update(observed[name])
    return counts["in"] + counts["out"]


if __name__ == "__main__":
    fire.Fire(run)
