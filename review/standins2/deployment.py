"""A small deployment on loopback addresses: nodes as processes, stand-ins beside them.

Nodes are started with the command and the template of the deploy file.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import shutil
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

from standins2.backend import Backend
from standins2.http import encode, fetch
from standins2.store import Store

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = {
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_slack": 58,
    "cold_factor": 1.5,
    "cold_slack": 5,
    "exposure_share": 0.1,
    "exposure_slack": 50,
    "grace_s": 6,
}
START_LIMIT_S = 25.0
SETTLE_S = 3.0


class CannotRunError(Exception):
    """The deployment did not come up, so that the case proves nothing."""


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._begin = time.monotonic()

    def add(self, text: str) -> None:
        """Add a line."""
        print(f"{time.monotonic() - self._begin:8.3f}  {text}", file=self._file)
        self._file.flush()


class Machine:
    """A machine with its addresses, node and back end."""

    def __init__(self, name: str, service: str, host: str, directory: Path) -> None:
        self.name = name
        self.service = service
        self.host = host
        self.settings_file = directory / f"{name}.json"
        self.log_file = directory / f"{name}.log"
        names = ("outbound", "inbound", "ready", "control", "app", "peer", "metrics")
        ports = find_free_ports(host, len(names))
        self.ports = dict(zip(names, ports, strict=True))
        self.process: subprocess.Popen[bytes] | None = None
        self.backend = Backend(f"i-{name}", service, self.get_address("control"))

    def get_address(self, name: str) -> tuple[str, int]:
        """Return an address of this machine."""
        return self.host, self.ports[name]


class Deployment:
    """Store, machines and what was recorded."""

    def __init__(self, folder: Path) -> None:
        self.directory = Path(tempfile.mkdtemp(prefix="mesh-"))
        self.record = Record(folder / "record.txt")
        self.store = Store()
        self.machines: list[Machine] = []
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())

    async def start_store(self) -> None:
        """Start the store."""
        host = "127.0.0.1"
        await self.store.start(host, find_free_ports(host, 1)[0])

    def add_machine(self, service: str, work_s: float, slots: int = 6) -> Machine:
        """Add a machine; ``start`` starts it."""
        number = len(self.machines) + 1
        host = f"127.0.{os.getpid() % 200 + 20}.{number}"
        machine = Machine(f"sidecar-{number}", service, host, self.directory)
        machine.backend.work_s = work_s
        machine.backend.slots = slots
        self.machines.append(machine)
        return machine

    async def start(self, machines: list[Machine] | None = None) -> None:
        """Start machines, all by default, and wait until all nodes know all servers."""
        machines = self.machines if machines is None else machines
        for machine in machines:
            self.start_node(machine)
        for machine in machines:
            host, port = machine.get_address("app")
            await machine.backend.start(host, port)
        deadline = time.monotonic() + START_LIMIT_S
        for machine in machines:
            while not await self.is_ready(machine):
                if time.monotonic() > deadline:
                    raise CannotRunError(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)
        while not all(f"nodes/{each.name}" in self.store.items for each in machines):
            if time.monotonic() > deadline:
                raise CannotRunError("not all nodes are listed")
            await asyncio.sleep(0.1)
        # All nodes have read of all servers, and no server counts as cold.
        await asyncio.sleep(SETTLE_S)

    def start_node(self, machine: Machine) -> None:
        """Start the node of a machine as the deploy file says."""
        role = self.deploy["roles"]["node"]
        template = (ROOT / role["template"]).read_text()
        settings = render(template, self._build_fields(machine))
        json.loads(settings)
        machine.settings_file.write_text(settings)
        program, *words = role["run"].split()
        arguments = [
            str(machine.settings_file) if word.startswith("/etc/") else word
            for word in words
        ]
        names = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in names if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["MONSOONTRAY_SETTINGS"] = str(machine.settings_file)
        with machine.log_file.open("ab") as log:
            machine.process = subprocess.Popen(
                [program, *arguments],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.add(f"{machine.name}: node started")

    async def is_ready(self, machine: Machine) -> bool:
        """Return whether a node says that it is ready."""
        data = encode("GET /readiness HTTP/1.1", {"Host": "ready"})
        response = await fetch(machine.get_address("ready"), data, 1.0)
        return response is not None and response.status == 200

    async def stop(self) -> None:
        """End all processes that were started, and what they wrote."""
        for machine in self.machines:
            await machine.backend.stop()
            process = machine.process
            if process is not None:
                if process.poll() is None:
                    process.kill()
                process.wait()
        await self.store.server.stop()
        shutil.rmtree(self.directory, ignore_errors=True)

    def _build_fields(self, machine: Machine) -> dict[str, Any]:
        host, ports = machine.host, machine.ports
        listen = {
            name: f"{host}:{ports[name]}"
            for name in ("outbound", "inbound", "ready", "control")
        }
        store_host, store_port = self.store.address
        return {
            "node_name": machine.name,
            "region": "region-a",
            "zone": machine.backend.zone,
            "service": machine.service,
            "app_addr": f"{host}:{ports['app']}",
            "listen": listen,
            "ip": host,
            "port_range": [ports["peer"], ports["peer"] + 15],
            "bounds": BOUNDS,
            "limits": {"link_mbps": 1000.0, "memory_mb": 300, "max_fds": 4100},
            "platform": {"addr": f"{store_host}:{store_port}"},
        }


_TAG = re.compile(r"\{\{(?P<name>[a-z_0-9.]+)(?P<form>\|json)?\}\}")
_SECTION = re.compile(r"\{\{#([a-z_0-9.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template of settings, as far as the deploy file's template needs it."""

    def find(name: str) -> Any:
        value: Any = fields
        for part in name.split("."):
            if isinstance(value, list) and part.isdigit():
                value = value[int(part)]
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                return None
        return value

    def fill_section(match: re.Match[str]) -> str:
        is_shown = find(match[1]) not in (None, False)
        return render(match[2], fields) if is_shown else ""

    def fill_tag(match: re.Match[str]) -> str:
        value = find(match["name"])
        return json.dumps(value) if match["form"] else str(value)

    return _TAG.sub(fill_tag, _SECTION.sub(fill_section, template))


def find_free_ports(host: str, count: int) -> list[int]:
    """Return ports of a loopback address that nothing listens on."""
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((host, 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def build_configuration(version: int, routes: list[dict], **limits: Any) -> dict:
    """Return a configuration as the operator writes it."""
    names = sorted({route["service"] for route in routes})
    services = [
        {"name": name, "health_path": "/health", "max_conns": 110} for name in names
    ]
    usual = {
        "max_header_bytes": 16_384,
        "max_body_bytes": 67_108_864,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
    }
    return {
        "version": f"{version:08x}",
        "routes": routes,
        "services": services,
        "limits": {**usual, **limits},
    }


def build_route(prefix: str, service: str, kind: str, **changes: Any) -> dict:
    """Return a route as the operator writes it."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "host": "mesh.example",
        "prefix": prefix,
        "kind": kind,
        "timeout_s": 3.0,
        "target_latency_s": 1.0,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        **changes,
    }
