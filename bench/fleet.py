"""Start and end real processes: the store, nodes and backend servers."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import urllib3

START_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02
REGION = "norte"


class FleetError(Exception):
    """A process did not reach the awaited state in time."""


@dataclass(slots=True)
class NodeHandle:
    """Process, addresses and settings file of a node."""

    name: str
    zone: str
    entry_address: str
    guard_address: str
    peer_address: str
    operator_address: str
    settings_file: Path
    process: subprocess.Popen[bytes] | None = None


@dataclass(slots=True)
class BackendHandle:
    """Process and address of a backend server."""

    name: str
    service: str
    address: str
    process: subprocess.Popen[bytes]


@dataclass(slots=True)
class Fleet:
    """Processes of one experiment, all killed when the context exits."""

    directory: Path = field(default_factory=lambda: Path(tempfile.mkdtemp()))
    nodes: list[NodeHandle] = field(default_factory=list)
    backends: list[BackendHandle] = field(default_factory=list)
    store_address: str = ""
    node_settings: dict[str, Any] = field(default_factory=dict)  # for every node
    probe_path: str = "/"
    probe_token: str = ""
    proxy_address: str = ""
    store_process: subprocess.Popen[bytes] | None = None
    http: urllib3.PoolManager = field(
        default_factory=lambda: urllib3.PoolManager(retries=False, maxsize=8)
    )
    _reservations: list[socket.socket] = field(default_factory=list)
    _processes: list[subprocess.Popen[bytes]] = field(default_factory=list)

    def __enter__(self) -> Fleet:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.stop_processes()

    def reserve_port(self) -> int:
        """Return a free port, reserved until the fleet stops.

        A bound socket keeps the kernel from assigning the port to anyone else.
        """
        reservation = socket.socket()
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reservation.bind(("127.0.0.1", 0))
        self._reservations.append(reservation)
        port: int = reservation.getsockname()[1]
        return port

    def reserve_address(self) -> str:
        """Return a loopback address with a reserved port."""
        return f"127.0.0.1:{self.reserve_port()}"

    def start_process(self, name: str, *arguments: str) -> subprocess.Popen[bytes]:
        """Start Python with the given arguments; append its output to a log file."""
        with (self.directory / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self._processes.append(process)
        return process

    def start_store(self) -> str:
        """Start the store stand-in and return its address."""
        port = self.reserve_port()
        self.store_process = self.start_process(
            "store", "-m", "bench.standins.store", f"--port={port}"
        )
        self.store_address = f"127.0.0.1:{port}"
        self.wait_for(lambda: self.get_json(self.store_address, "/observed"), "store")
        return self.store_address

    def start_proxy(self) -> None:
        """Start the proxy; nodes added later are reached through it."""
        port = self.reserve_port()
        self.start_process("proxy", "-m", "bench.proxy", f"--port={port}")
        address = f"127.0.0.1:{port}"
        self.wait_for(lambda: self.get_json(address, "/observed") is not None, "proxy")
        self.proxy_address = address

    def add_link(self, name: str, target: str, label: str) -> str:
        """Add a link to the proxy and return its listening address."""
        port = self.reserve_port()
        body = {"name": name, "port": port, "target": target, "label": label}
        self.post_json(self.proxy_address, "/links", body)
        return f"127.0.0.1:{port}"

    def set_rule(self, source: str, target: str, action: str) -> None:
        """Set the proxy's action for the connections between two labels."""
        body = {"source": source, "target": target, "action": action}
        self.post_json(self.proxy_address, "/rules", body)

    def label_processes(self) -> None:
        """Send the proxy the zone of each node process."""
        if not self.proxy_address:
            return
        pids = {
            str(node.process.pid): node.zone
            for node in self.nodes
            if node.process is not None
        }
        self.post_json(self.proxy_address, "/labels", {"pids": pids})

    def add_node(self, name: str, zone: str, **settings: Any) -> NodeHandle:
        """Write a node's settings file; ``start_node`` starts the process."""
        entry_address, guard_address, peer_address, operator_address = (
            self.reserve_address() for _ in range(4)
        )
        path = self.directory / f"{name}.json"
        store = self.store_address
        if self.proxy_address:
            settings = {
                "guard_bind_address": guard_address,
                "peer_bind_address": peer_address,
                **settings,
            }
            guard_address = self.add_link(f"{name}-guard", guard_address, zone)
            peer_address = self.add_link(f"{name}-peer", peer_address, zone)
            store = self.add_link(f"{name}-store", store, "store")
        document = {
            "node": name,
            "region": REGION,
            "zone": zone,
            "entry_address": entry_address,
            "guard_address": guard_address,
            "peer_address": peer_address,
            "operator_address": operator_address,
            "store_endpoints": [f"http://{store}"],
            **self.node_settings,
            **settings,
        }
        path.write_text(json.dumps(document))
        node = NodeHandle(
            name,
            zone,
            entry_address,
            guard_address,
            peer_address,
            operator_address,
            path,
        )
        self.nodes.append(node)
        return node

    def start_node(self, node: NodeHandle) -> None:
        """Start a node's process."""
        settings = str(node.settings_file)
        node.process = self.start_process(
            node.name, "-m", "monsoontray", "node", "run", settings
        )

    def wait_for_node(self, node: NodeHandle) -> None:
        """Wait until a node serves its status page."""
        self.wait_for(
            lambda: self.get_json(node.operator_address, "/status"), node.name
        )

    def start_backend(
        self, name: str, service: str, node: NodeHandle, *flags: str
    ) -> BackendHandle:
        """Start a backend server that announces itself to a node."""
        port = self.reserve_port()
        process = self.start_process(
            name, "-m", "bench.standins.backend", f"--name={name}",
            f"--service={service}", f"--port={port}",
            f"--node={node.operator_address}", *flags,
        )  # fmt: skip
        backend = BackendHandle(name, service, f"127.0.0.1:{port}", process)
        self.backends.append(backend)
        self.wait_for(lambda: self.get_json(backend.address, "/_observed"), name)
        return backend

    def get_json(self, address: str, path: str) -> Any:
        """Return the JSON document at a path, or None if it cannot be fetched."""
        try:
            response = self.http.request("GET", f"http://{address}{path}", timeout=3.0)
        except urllib3.exceptions.HTTPError:
            return None
        return response.json() if response.status == 200 else None

    def post_json(self, address: str, path: str, body: object) -> Any:
        """Post JSON to an address and return the JSON of the response."""
        content = json.dumps(body).encode()
        url = f"http://{address}{path}"
        return self.http.request("POST", url, body=content, timeout=35.0).json()

    def wait_for(
        self,
        probe: Callable[[], Any],
        description: str,
        timeout_s: float = START_TIMEOUT_S,
    ) -> Any:
        """Call a probe until its result is true, and return the result."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            found = probe()
            if found:
                return found
            time.sleep(POLL_INTERVAL_S)
        raise FleetError(
            f"timed out after {timeout_s} s waiting for {description}; "
            f"logs are in {self.directory}"
        )

    def wait_for_version(self, number: int, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until every node has a version (or a later one) in force."""
        for node in self.nodes:
            self.wait_for(
                partial(self._has_version, node, number),
                f"version {number} at {node.name}",
                timeout_s,
            )

    def wait_for_servers(self, service: str, count: int) -> None:
        """Wait until every node lists enough serving servers of a service."""
        for node in self.nodes:
            self.wait_for(
                partial(self._lists_servers, node, service, count),
                f"{count} servers of {service} at {node.name}",
            )

    def kill_node(self, node: NodeHandle) -> None:
        """Kill a node's process and wait for its end."""
        assert node.process is not None
        node.process.kill()
        node.process.wait()

    def stop_processes(self) -> None:
        """Kill every process of this fleet, paused ones included."""
        for process in self._processes:
            if process.poll() is None:
                os.kill(process.pid, signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait()
        for reservation in self._reservations:
            reservation.close()

    def _has_version(self, node: NodeHandle, number: int) -> bool:
        status = self.get_json(node.operator_address, "/status")
        return status is not None and status["version"] >= number

    def _lists_servers(self, node: NodeHandle, service: str, count: int) -> bool:
        status = self.get_json(node.operator_address, "/status")
        if status is None:
            return False
        found = sum(
            server["service"] == service and server["state"] == "serving"
            for each in status["nodes"]
            for server in each["servers"]
        )
        return bool(found >= count)
