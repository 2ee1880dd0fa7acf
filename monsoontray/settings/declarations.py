"""Declarations of a node's settings."""

from __future__ import annotations

from typing import Any

from msgspec import Struct


class Declaration(Struct, frozen=True):
    """Name, type, description, default, unit and valid values of one setting."""

    name: str
    value_type: type
    description: str
    default: Any = None
    unit: str = ""
    minimum: float | None = None
    maximum: float | None = None
    required: bool = False
    choices: tuple[str, ...] = ()
    is_address: bool = False
    is_url: bool = False


DECLARATIONS: tuple[Declaration, ...] = (
    Declaration("node", str, "Name of this node, unique in the fleet.", required=True),
    Declaration("region", str, "Region of this VM.", required=True),
    Declaration("zone", str, "Availability zone of this VM.", required=True),
    Declaration(
        "entry_address",
        str,
        "Address to which callers (partner routers, the local back end) send calls.",
        required=True,
        is_address=True,
    ),
    Declaration(
        "guard_address",
        str,
        "Address to which other nodes send calls for the local backend server.",
        required=True,
        is_address=True,
    ),
    Declaration(
        "peer_address",
        str,
        "Address at which other nodes exchange membership and versions (gRPC).",
        required=True,
        is_address=True,
    ),
    Declaration(
        "guard_bind_address",
        str,
        "Address to listen on for guard_address; empty: guard_address itself.",
        default="",
        is_address=True,
    ),
    Declaration(
        "peer_bind_address",
        str,
        "Address to listen on for peer_address; empty: peer_address itself.",
        default="",
        is_address=True,
    ),
    Declaration(
        "operator_address",
        str,
        "Address of the HTTP API for operators, server announcements and metrics.",
        required=True,
        is_address=True,
    ),
    Declaration(
        "interface",
        str,
        "Kind of calls that the node serves: calls that customers' plans allow, or "
        "calls of the platform's mesh.",
        default="plans",
        choices=("plans", "platform"),
    ),
    Declaration(
        "service",
        str,
        "Platform interface: service of the back end on this VM.",
        default="",
    ),
    Declaration(
        "server_address",
        str,
        "Platform interface: address of the back end on this VM.",
        default="",
        is_address=True,
    ),
    Declaration(
        "ready_address",
        str,
        "Platform interface: address at which the platform checks readiness.",
        default="",
        is_address=True,
    ),
    Declaration(
        "metrics_address",
        str,
        "Platform interface: additional address that serves metrics and the status.",
        default="",
        is_address=True,
    ),
    Declaration(
        "retry_ratio",
        float,
        "Maximum number of retries per call of a service, over all nodes together; "
        "0: no limit.",
        default=0.0,
        minimum=0,
        maximum=10,
    ),
    Declaration(
        "retry_window_s",
        float,
        "Time window to which the limit on retries applies.",
        default=10.0,
        unit="s",
        minimum=1,
        maximum=600,
    ),
    Declaration(
        "retry_slack",
        float,
        "Number of retries of a service that all nodes together may add in a window, "
        "in addition to retry_ratio.",
        default=0.0,
        minimum=0,
        maximum=1_000_000,
    ),
    Declaration(
        "cold_factor",
        float,
        "Maximum rate of calls to a cold back end, as a multiple of the rate that it "
        "announces.",
        default=1.0,
        minimum=0,
        maximum=10,
    ),
    Declaration(
        "cold_slack",
        float,
        "Calls a second that a cold back end may get in addition to cold_factor.",
        default=0.0,
        minimum=0,
        maximum=1_000,
    ),
    Declaration(
        "exposure_share",
        float,
        "Maximum share of a service's calls that a bad version may get.",
        default=0.1,
        minimum=0,
        maximum=1,
    ),
    Declaration(
        "exposure_slack",
        float,
        "Calls that a bad version may get in addition to exposure_share.",
        default=0.0,
        minimum=0,
        maximum=1_000_000,
    ),
    Declaration(
        "stop_limit_s",
        float,
        "Time after which the platform kills a process that it has asked to stop; "
        "0: unknown.",
        default=0.0,
        unit="s",
        minimum=0,
        maximum=600,
    ),
    Declaration(
        "key_withdrawal_s",
        float,
        "Time after which no node takes a key that was withdrawn. A node that cannot "
        "prove for nearly as long that its configuration is the newest takes no keys; "
        "0: it takes them for as long as its configuration has them.",
        default=0.0,
        unit="s",
        minimum=0,
        maximum=86_400,
    ),
    Declaration(
        "containment_ms",
        int,
        "Time for which the store keeps what an ended server was running.",
        default=600_000,
        unit="ms",
        minimum=1_000,
        maximum=600_000,
    ),
    Declaration(
        "store_endpoints",
        list,
        "Base URLs of the platform's key-value store.",
        required=True,
        is_url=True,
    ),
    Declaration(
        "seeds",
        list,
        "Peer addresses to contact while the platform's store is unavailable.",
        default=(),
        is_address=True,
    ),
    Declaration(
        "log_file",
        str,
        "Path of the log file; empty: standard output.",
        default="",
    ),
    Declaration(
        "log_format",
        str,
        "Format of the log lines.",
        default="human",
        choices=("human", "json"),
    ),
    Declaration(
        "log_level",
        str,
        "Lowest severity that is logged.",
        default="INFO",
        choices=("DEBUG", "INFO", "WARNING", "ERROR"),
    ),
    Declaration(
        "call_timeout_ms",
        int,
        "Timeout of a call whose caller sets none.",
        default=30_000,
        unit="ms",
        minimum=1,
        maximum=3_600_000,
    ),
    Declaration(
        "head_timeout_ms",
        int,
        "Longest time from a request's first byte to the end of its head.",
        default=10_000,
        unit="ms",
        minimum=10,
        maximum=600_000,
    ),
    Declaration(
        "idle_timeout_ms",
        int,
        "Longest time without a byte on a connection, whether in use or kept alive.",
        default=60_000,
        unit="ms",
        minimum=10,
        maximum=3_600_000,
    ),
    Declaration(
        "connect_timeout_ms",
        int,
        "Timeout for opening a connection to a node or backend server.",
        default=1_000,
        unit="ms",
        minimum=1,
        maximum=60_000,
    ),
    Declaration(
        "max_caller_connections",
        int,
        "Maximum number of open connections from callers and other nodes.",
        default=4_000,
        minimum=1,
        maximum=60_000,
    ),
    Declaration(
        "max_header_count",
        int,
        "Maximum number of header fields in a message.",
        default=100,
        minimum=1,
        maximum=1_000,
    ),
    Declaration(
        "max_head_bytes",
        int,
        "Maximum size of a message's head (start line and header fields).",
        default=32_768,
        unit="bytes",
        minimum=256,
        maximum=1_048_576,
    ),
    Declaration(
        "stream_buffer_bytes",
        int,
        "Maximum size of body data buffered for one direction of a call.",
        default=262_144,
        unit="bytes",
        minimum=4_096,
        maximum=16_777_216,
    ),
    Declaration(
        "replay_buffer_bytes",
        int,
        "Maximum size of a request body kept so that the call can be sent again.",
        default=65_536,
        unit="bytes",
        minimum=0,
        maximum=16_777_216,
    ),
    Declaration(
        "guard_queue_length",
        int,
        "Maximum number of calls that wait for a slot of one backend server.",
        default=16,
        minimum=0,
        maximum=10_000,
    ),
    Declaration(
        "max_attempts",
        int,
        "Maximum number of backend servers that one call is offered to.",
        default=3,
        minimum=1,
        maximum=10,
    ),
    Declaration(
        "announcement_lifetime_ms",
        int,
        "Time after which a backend server's announcement expires if not repeated.",
        default=6_000,
        unit="ms",
        minimum=100,
        maximum=600_000,
    ),
    Declaration(
        "exchange_interval_ms",
        int,
        "Time between exchanges with a random peer.",
        default=1_000,
        unit="ms",
        minimum=20,
        maximum=60_000,
    ),
    Declaration(
        "exchange_timeout_ms",
        int,
        "Timeout of an exchange with a peer.",
        default=500,
        unit="ms",
        minimum=10,
        maximum=60_000,
    ),
    Declaration(
        "store_timeout_ms",
        int,
        "Timeout of a request to the platform's store.",
        default=2_000,
        unit="ms",
        minimum=10,
        maximum=60_000,
    ),
    Declaration(
        "watch_wait_ms",
        int,
        "Longest time that one watch request waits at the platform's store.",
        default=20_000,
        unit="ms",
        minimum=100,
        maximum=300_000,
    ),
    Declaration(
        "read_by_all",
        int,
        "Number of nodes up to which each node reads the platform's store itself; in a "
        "larger fleet one node per zone does, and the others read through it.",
        default=24,
        minimum=1,
        maximum=100_000,
    ),
    Declaration(
        "link_mbps",
        float,
        "Bandwidth of the VM's link; nodes with fast links read the store for others.",
        default=0.0,
        unit="Mbit/s",
        minimum=0,
        maximum=1_000_000,
    ),
    Declaration(
        "watch_lease_ms",
        int,
        "Lifetime of the lease that lets a node watch the store for its zone.",
        default=5_000,
        unit="ms",
        minimum=100,
        maximum=300_000,
    ),
    Declaration(
        "start_spread_ms",
        int,
        "Time over which nodes that start together spread their first requests to the "
        "platform's store.",
        default=2_000,
        unit="ms",
        minimum=0,
        maximum=60_000,
    ),
    Declaration(
        "stop_notice_ms",
        int,
        "Time after a stop request in which callers are still served, so that they can "
        "switch to another node.",
        default=0,
        unit="ms",
        minimum=0,
        maximum=60_000,
    ),
    Declaration(
        "stop_grace_ms",
        int,
        "Longest time that running calls may continue while the node stops.",
        default=20_000,
        unit="ms",
        minimum=0,
        maximum=600_000,
    ),
)
