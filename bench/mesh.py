"""A fleet that uses the platform's interfaces: store, nodes and back ends."""

from __future__ import annotations

import base64
import json
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from urllib3.exceptions import HTTPError

from bench.fleet import START_TIMEOUT_S, BackendHandle, Fleet, NodeHandle

HOST = "shop.example"
COLD_PER_S = 21.0  # calls a second that a cold server tolerates


@dataclass(slots=True)
class MeshNode:
    """A node, its readiness address and its local server."""

    handle: NodeHandle
    ready_address: str
    server_port: int
    service: str
    backend: BackendHandle | None = None


@dataclass(slots=True)
class Mesh:
    """Nodes with the platform's interfaces; ``fleet`` owns their processes."""

    fleet: Fleet
    nodes: list[MeshNode] = field(default_factory=list)

    def add_node(self, name: str, zone: str, service: str, **settings: Any) -> MeshNode:
        """Start a node; ``start_server`` starts its local back end."""
        fleet = self.fleet
        ready_address = fleet.reserve_address()
        server_port = fleet.reserve_port()
        handle = fleet.add_node(
            name,
            zone,
            interface="platform",
            service=service,
            server_address=f"127.0.0.1:{server_port}",
            ready_address=ready_address,
            **{
                "watch_wait_ms": 2_000,
                "watch_lease_ms": 3_000,
                "store_timeout_ms": 1_000,
                "guard_queue_length": 64,
                **settings,
            },
        )
        fleet.start_node(handle)
        node = MeshNode(handle, ready_address, server_port, service)
        self.nodes.append(node)
        return node

    def start_server(
        self, node: MeshNode, name: str, version: str = "v1", *flags: str
    ) -> BackendHandle:
        """Start the local back end of a node and wait until it serves."""
        backend = self.launch_server(node, name, version, *flags)
        self.fleet.wait_for(
            lambda: self.fleet.get_json(backend.address, "/_observed"), name
        )
        return backend

    def launch_server(
        self, node: MeshNode, name: str, version: str = "v1", *flags: str
    ) -> BackendHandle:
        """Start the process of a node's local back end."""
        fleet = self.fleet
        process = fleet.start_process(
            name, "-m", "bench.standins.mesh", f"--name={name}",
            f"--service={node.service}", f"--port={node.server_port}",
            f"--node={node.handle.operator_address}", f"--version={version}", *flags,
        )  # fmt: skip
        address = f"127.0.0.1:{node.server_port}"
        node.backend = BackendHandle(name, node.service, address, process)
        return node.backend

    def write_key(self, key: str, value: object) -> None:
        """Write a key as the platform's operator."""
        self.write_bytes(key, json.dumps(value).encode())

    def write_bytes(self, key: str, value: bytes) -> None:
        """Write a key whose value need not be a valid document."""
        encoded = base64.b64encode(value).decode()
        self._write_as_operator({"puts": [{"key": key, "value": encoded}]})

    def remove_key(self, key: str) -> None:
        """Remove a key as the platform's operator."""
        self._write_as_operator({"remove": [key]})

    def read_key(self, key: str) -> Any:
        """Return the value of a key in the store, or None."""
        item = self.fleet.get_json(self.fleet.store_address, f"/kv-key?key={key}")
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    def set_server_behaviour(self, node: MeshNode, **behaviour: Any) -> None:
        """Replace the behaviour of a node's back end."""
        assert node.backend is not None
        self.fleet.post_json(node.backend.address, "/_control", behaviour)

    def get_observed(self, node: MeshNode) -> Any:
        """Return the counters of a node's back end."""
        assert node.backend is not None
        return self.fleet.get_json(node.backend.address, "/_observed")

    def is_ready(self, node: MeshNode) -> bool:
        """Return whether a node reports that it is ready."""
        url = f"http://{node.ready_address}/readiness"
        try:
            return bool(self.fleet.http.request("GET", url, timeout=1.0).status == 200)
        except (OSError, HTTPError):
            return False

    def count_servers(self, node: MeshNode) -> int:
        """Return how many servers a node can forward calls to."""
        status = self.fleet.get_json(node.handle.operator_address, "/status")
        return 0 if status is None else int(status["forwarding"]["servers"])

    def wait_for_servers(self, count: int, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until every node lists exactly this many servers."""
        for node in self.nodes:
            self.fleet.wait_for(
                partial(self._lists_servers, node, count),
                f"{count} servers at {node.handle.name}",
                timeout_s,
            )

    def _lists_servers(self, node: MeshNode, count: int) -> bool:
        return self.count_servers(node) == count

    def _write_as_operator(self, body: object) -> None:
        self.fleet.post_json(self.fleet.store_address, "/operator", body)


def build_configuration(version: int, *routes: dict[str, Any]) -> dict[str, Any]:
    """Return a configuration in the platform operator's format."""
    services = sorted({route["service"] for route in routes})
    return {
        "version": f"{version:08x}",
        "routes": list(routes),
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_conns": 130,
                "cold_start_s": 3.0,
                "cold_per_s": COLD_PER_S,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 67_108_864,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
    }


def build_route(prefix: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route in the platform operator's format."""
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "prefix": prefix,
        "kind": "idempotent",
        "timeout_s": 5.0,
        "target_latency_s": 0.3,
        "priority": 1,
        "max_attempts": 2,
        "service": service,
        **changes,
    }


def build_mesh_request(
    path: str, call_id: str, method: str = "GET", body: bytes = b"", **headers: str
) -> bytes:
    """Return the bytes of a request in the format of the platform's clients."""
    lines = {
        "Host": HOST,
        "X-Request-Id": call_id,
        "X-Deadline-Ms": "4000",
        "Content-Length": str(len(body)),
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    return f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body


def build_chunked_request(
    path: str, call_id: str, method: str, body: bytes, **headers: str
) -> bytes:
    """Return the bytes of a request like others, with its body in chunks."""
    lines = {
        "Host": HOST,
        "X-Request-Id": call_id,
        "X-Deadline-Ms": "4000",
        "Transfer-Encoding": "chunked",
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    middle = len(body) // 2
    chunks = b"".join(
        b"%x\r\n%b\r\n" % (len(each), each) for each in (body[:middle], body[middle:])
    )
    return f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + chunks + b"0\r\n\r\n"
