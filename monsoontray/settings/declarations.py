"""The settings of a node, each declared once."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(slots=True, frozen=True)
class Declaration:
    """Describe one setting: its name, type, unit, default and range."""

    name: str
    kind: type
    meaning: str
    default: Any = None
    unit: str = ""
    least: float | None = None
    most: float | None = None
    required: bool = False
    choices: tuple[str, ...] = ()
    is_address: bool = False


DECLARATIONS: tuple[Declaration, ...] = (
    Declaration("node", str, "Name of this node, unique in the fleet.", required=True),
    Declaration("region", str, "Region of this VM.", required=True),
    Declaration("zone", str, "Availability zone of this VM.", required=True),
    Declaration(
        "entry_address",
        str,
        "Where callers (partner routers, the local back end) reach the node.",
        required=True,
        is_address=True,
    ),
    Declaration(
        "guard_address",
        str,
        "Where other nodes hand calls to the local backend server.",
        required=True,
        is_address=True,
    ),
    Declaration(
        "peer_address",
        str,
        "Where other nodes exchange membership and versions (gRPC).",
        required=True,
        is_address=True,
    ),
    Declaration(
        "guard_bind_address",
        str,
        "Where the node listens for guard_address; empty means the same.",
        default="",
        is_address=True,
    ),
    Declaration(
        "peer_bind_address",
        str,
        "Where the node listens for peer_address; empty means the same.",
        default="",
        is_address=True,
    ),
    Declaration(
        "operator_address",
        str,
        "Where operators, announcements and metrics reach the node.",
        required=True,
        is_address=True,
    ),
    Declaration(
        "store_endpoints",
        list,
        "Base URLs of the platform's key-value service.",
        required=True,
    ),
    Declaration(
        "seeds",
        list,
        "Peer addresses to try while the platform's service is out.",
        default=(),
        is_address=True,
    ),
    Declaration(
        "log_file",
        str,
        "Path of the log; empty means standard error.",
        default="",
    ),
    Declaration(
        "log_format",
        str,
        "Form of the log lines.",
        default="human",
        choices=("human", "json"),
    ),
    Declaration(
        "log_level",
        str,
        "Least severity that is logged.",
        default="INFO",
        choices=("DEBUG", "INFO", "WARNING", "ERROR"),
    ),
    Declaration(
        "call_timeout_ms",
        int,
        "Longest time that a call may take when its caller states none.",
        default=30_000,
        unit="ms",
        least=1,
        most=3_600_000,
    ),
    Declaration(
        "head_timeout_ms",
        int,
        "Longest time from the first byte of a request to the end of its head.",
        default=10_000,
        unit="ms",
        least=10,
        most=600_000,
    ),
    Declaration(
        "idle_timeout_ms",
        int,
        "Longest time without a byte on a connection that is being used or kept.",
        default=60_000,
        unit="ms",
        least=10,
        most=3_600_000,
    ),
    Declaration(
        "connect_timeout_ms",
        int,
        "Longest time to open a connection to a node or backend server.",
        default=1_000,
        unit="ms",
        least=1,
        most=60_000,
    ),
    Declaration(
        "max_caller_connections",
        int,
        "Most connections from callers and other nodes at once.",
        default=4_000,
        least=1,
        most=60_000,
    ),
    Declaration(
        "max_header_count",
        int,
        "Most header fields of one message.",
        default=100,
        least=1,
        most=1_000,
    ),
    Declaration(
        "max_head_bytes",
        int,
        "Largest head of one message.",
        default=32_768,
        unit="bytes",
        least=256,
        most=1_048_576,
    ),
    Declaration(
        "stream_buffer_bytes",
        int,
        "Most body bytes held for one direction of a call.",
        default=262_144,
        unit="bytes",
        least=4_096,
        most=16_777_216,
    ),
    Declaration(
        "replay_buffer_bytes",
        int,
        "Most body bytes kept so that a call can be sent again.",
        default=65_536,
        unit="bytes",
        least=0,
        most=16_777_216,
    ),
    Declaration(
        "guard_queue_length",
        int,
        "Most calls that wait for a slot of one backend server.",
        default=16,
        least=0,
        most=10_000,
    ),
    Declaration(
        "max_attempts",
        int,
        "Most backend servers that one call is offered to.",
        default=3,
        least=1,
        most=10,
    ),
    Declaration(
        "announcement_lifetime_ms",
        int,
        "How long an announcement of a backend server holds without a repeat.",
        default=6_000,
        unit="ms",
        least=100,
        most=600_000,
    ),
    Declaration(
        "exchange_interval_ms",
        int,
        "Time between two exchanges with a random peer.",
        default=1_000,
        unit="ms",
        least=20,
        most=60_000,
    ),
    Declaration(
        "exchange_timeout_ms",
        int,
        "Longest time for one exchange with a peer.",
        default=500,
        unit="ms",
        least=10,
        most=60_000,
    ),
    Declaration(
        "store_timeout_ms",
        int,
        "Longest time for one call to the platform's service.",
        default=2_000,
        unit="ms",
        least=10,
        most=60_000,
    ),
    Declaration(
        "watch_wait_ms",
        int,
        "Longest time that one watch waits at the platform's service.",
        default=20_000,
        unit="ms",
        least=100,
        most=300_000,
    ),
    Declaration(
        "watch_lease_ms",
        int,
        "Lifetime of the lease that lets a node watch for its zone.",
        default=5_000,
        unit="ms",
        least=100,
        most=300_000,
    ),
    Declaration(
        "start_spread_ms",
        int,
        "Time over which nodes that start together spread their first store calls.",
        default=2_000,
        unit="ms",
        least=0,
        most=60_000,
    ),
    Declaration(
        "stop_grace_ms",
        int,
        "Longest time that running calls get when the node stops.",
        default=20_000,
        unit="ms",
        least=0,
        most=600_000,
    ),
)
