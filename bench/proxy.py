"""Fault-injecting TCP proxy.

One process serves many links. Each link listens on a port and forwards bytes to a
target. The proxy identifies a connection by the label of the process that opened it,
so a rule can cut or silence the traffic of one zone to a link and leave the rest.
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

CHUNK_BYTES = 65_536
DELAY_S = 0.15  # of each chunk; like a detour around half the world
LOOKUP_INTERVAL_S = 0.1  # new connections are looked up in batches
ANY = "*"  # matches every label
_SOCKET_TABLES = (
    ("/proc/net/tcp", "0100007F"),
    ("/proc/net/tcp6", "0000000000000000FFFF00000100007F"),
)


class LinkRequest(msgspec.Struct):
    """Request for a new link."""

    name: str
    port: int
    target: str
    label: str = ""  # of the process that serves the target


class LabelsRequest(msgspec.Struct):
    """Request to label processes."""

    pids: dict[str, str]  # pid to label


class RuleRequest(msgspec.Struct):
    """Request to set the action for connections between two labels."""

    source: str  # a label, or ANY
    target: str  # a label, a link's name or ANY
    #: pass, cut, silence (new connections too), one-way (only the direction from the
    #: target is silenced), delay or silence-established (open connections, permanently)
    action: str


@dataclass(slots=True)
class Link:
    """A listening port and the target that its connections are forwarded to."""

    name: str
    target: str
    label: str
    bytes_in: int = 0  # towards the target
    bytes_out: int = 0
    connections: int = 0
    server: asyncio.Server | None = None


@dataclass(slots=True, eq=False)
class ProxiedConnection:
    """A connection through a link; a closed gate silences one direction."""

    link: Link
    ports: tuple[int, int]  # of the client and of the link
    writers: list[asyncio.StreamWriter]
    source: str | None = None  # label of the client's process, once looked up
    request_gate: asyncio.Event = field(default_factory=asyncio.Event)
    response_gate: asyncio.Event = field(default_factory=asyncio.Event)  # from target
    delay_s: float = 0.0
    silenced_permanently: bool = False


class Proxy:
    """Forwards connections and applies the rules to them."""

    def __init__(self) -> None:
        self.links: dict[str, Link] = {}
        self.labels: dict[int, str] = {}
        self.rules: dict[tuple[str, str], str] = {}
        self.connections: set[ProxiedConnection] = set()
        self.pending: list[ProxiedConnection] = []  # no rules applied yet
        self.rules_task: asyncio.Task[None] | None = None

    def build_application(self) -> web.Application:
        """Build the application that controls the proxy."""
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
        """Open a listening port for a link."""
        body = msgspec.json.decode(await request.read(), type=LinkRequest)
        link = Link(body.name, body.target, body.label)
        link.server = await asyncio.start_server(
            lambda reader, writer: self.forward_connection(link, reader, writer),
            "127.0.0.1",
            body.port,
            backlog=1024,
        )
        self.links[body.name] = link
        return web.json_response({})

    async def set_labels(self, request: web.Request) -> web.Response:
        """Store the labels of processes."""
        body = msgspec.json.decode(await request.read(), type=LabelsRequest)
        self.labels.update({int(pid): label for pid, label in body.pids.items()})
        return web.json_response({})

    async def set_rule(self, request: web.Request) -> web.Response:
        """Change a rule and apply all rules to the open connections."""
        body = msgspec.json.decode(await request.read(), type=RuleRequest)
        key = (body.source, body.target)
        if body.action == "silence-established":
            self.silence_established(key)
            return web.json_response({})
        if body.action == "pass":
            self.rules.pop(key, None)
        else:
            self.rules[key] = body.action
        self.apply_rules(list(self.connections))
        return web.json_response({})

    async def observe(self, request: web.Request) -> web.Response:
        """Return byte and connection counts of each link."""
        links = {
            name: {
                "in": link.bytes_in,
                "out": link.bytes_out,
                "connections": link.connections,
            }
            for name, link in self.links.items()
        }
        return web.json_response(links)

    async def forward_connection(
        self, link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection until both directions have ended."""
        remote_port: int = writer.get_extra_info("peername")[1]
        local_port: int = writer.get_extra_info("sockname")[1]
        connection = ProxiedConnection(link, (remote_port, local_port), [writer])
        link.connections += 1
        self.connections.add(connection)
        try:
            self.schedule_rules(connection)
            await connection.request_gate.wait()
            host, _, target_port = link.target.rpartition(":")
            target_reader, target_writer = await asyncio.open_connection(
                host, int(target_port)
            )
            connection.writers.append(target_writer)
            await asyncio.gather(
                self.forward_bytes(
                    connection, reader, target_writer, towards_target=True
                ),
                self.forward_bytes(
                    connection, target_reader, writer, towards_target=False
                ),
            )
        except OSError:
            pass
        finally:
            self.connections.discard(connection)
            for each in connection.writers:
                each.close()

    async def forward_bytes(
        self,
        connection: ProxiedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        towards_target: bool,
    ) -> None:
        """Forward bytes in one direction until its end."""
        gate = connection.request_gate if towards_target else connection.response_gate
        while data := await reader.read(CHUNK_BYTES):
            if connection.delay_s:
                await asyncio.sleep(connection.delay_s)
            await gate.wait()
            if towards_target:
                connection.link.bytes_in += len(data)
            else:
                connection.link.bytes_out += len(data)
            writer.write(data)
            await writer.drain()
        await gate.wait()
        with contextlib.suppress(OSError):
            writer.write_eof()

    def schedule_rules(self, connection: ProxiedConnection) -> None:
        """Let a connection pass if no rules are set; else look up its process first."""
        if not self.rules:
            self.apply_action(connection, "pass")
            return
        self.pending.append(connection)
        if self.rules_task is None:
            self.rules_task = asyncio.create_task(self.apply_rules_to_pending())

    async def apply_rules_to_pending(self) -> None:
        """Apply the rules to the connections opened since the last lookup."""
        await asyncio.sleep(LOOKUP_INTERVAL_S)
        self.rules_task = None
        pending, self.pending = self.pending, []
        self.apply_rules(pending)

    def apply_rules(self, connections: list[ProxiedConnection]) -> None:
        """Apply the current rules to connections."""
        if self.rules:
            self.resolve_sources(connections)
        for connection in connections:
            if not connection.silenced_permanently:
                self.apply_action(connection, self.get_action(connection))

    def apply_action(self, connection: ProxiedConnection, action: str) -> None:
        """Apply an action to one connection."""
        if action == "cut":
            for writer in connection.writers:
                writer.transport.abort()
            return
        connection.delay_s = DELAY_S if action == "delay" else 0.0
        _set_gate(connection.request_gate, action != "silence")
        _set_gate(connection.response_gate, action not in ("silence", "one-way"))

    def silence_established(self, key: tuple[str, str]) -> None:
        """Silence the matching open connections permanently."""
        self.resolve_sources(list(self.connections))
        for connection in self.connections:
            if _matches(connection, key):
                connection.silenced_permanently = True
                connection.request_gate.clear()
                connection.response_gate.clear()

    def get_action(self, connection: ProxiedConnection) -> str:
        """Return the action of the first rule that matches a connection."""
        for key, action in self.rules.items():
            if _matches(connection, key):
                return action
        return "pass"

    def resolve_sources(self, connections: list[ProxiedConnection]) -> None:
        """Find the labels of the processes that opened connections.

        One pass over the process tables serves all connections.
        """
        unknown = [
            connection for connection in connections if connection.source is None
        ]
        if not unknown:
            return
        inodes = _read_socket_inodes()
        labels = _read_socket_labels(self.labels)
        for connection in unknown:
            connection.source = labels.get(inodes.get(connection.ports, ""), "")


def _set_gate(gate: asyncio.Event, is_open: bool) -> None:
    if is_open:
        gate.set()
    else:
        gate.clear()


def _matches(connection: ProxiedConnection, key: tuple[str, str]) -> bool:
    source, target = key
    link = connection.link
    return source in (ANY, connection.source) and target in (ANY, link.label, link.name)


def _read_socket_inodes() -> dict[tuple[int, int], str]:
    """Return the inode of each loopback socket by its local and remote port.

    The key has both ports because sockets to different remote ports may share a local
    port. The IPv6 table is read too: some clients reach IPv4 addresses with IPv6
    sockets.
    """
    inodes = {}
    for table, prefix in _SOCKET_TABLES:
        with open(table) as lines:
            for line in lines:
                fields = line.split()
                address, _, local_port = fields[1].partition(":")
                remote_port = fields[2].rpartition(":")[2]
                if address == prefix:
                    inodes[int(local_port, 16), int(remote_port, 16)] = fields[9]
    return inodes


def _read_socket_labels(labels: dict[int, str]) -> dict[str, str]:
    """Return the label of the process that owns each socket, by inode."""
    labels_by_inode = {}
    for pid, label in labels.items():
        directory = f"/proc/{pid}/fd"
        with contextlib.suppress(OSError):
            for descriptor in os.listdir(directory):
                with contextlib.suppress(OSError):
                    name = os.readlink(f"{directory}/{descriptor}")
                    if name.startswith("socket:["):
                        labels_by_inode[name[len("socket:[") : -1]] = label
    return labels_by_inode


def run(port: int) -> None:
    """Serve until the process is stopped."""
    application = Proxy().build_application()
    web.run_app(application, host="127.0.0.1", port=port, print=None, access_log=None)


def count_bytes(observed: dict[str, dict[str, int]], names: list[str]) -> int:
    """Return how many bytes links forwarded in both directions."""
    counts: Counter[str] = Counter()
    for name in names:
        counts.update(observed[name])
    return counts["in"] + counts["out"]


if __name__ == "__main__":
    fire.Fire(run)
