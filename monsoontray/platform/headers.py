"""Profile of the platform's HTTP interface: header names and rules."""

from __future__ import annotations

from monsoontray.forwarding.http_profile import HttpProfile

MAX_BUFFERED_BYTES = 65_536  # most responses are smaller, see the sites' tables

PLATFORM_PROFILE = HttpProfile(
    call_id=b"x-request-id",
    timeout_ms=b"x-deadline-ms",  # remaining time, not a point in time
    caller_service=b"x-caller-service",
    customer=b"x-tenant-id",
    expected_server=b"x-expect-instance",
    server=b"x-instance-id",
    not_executed=b"x-not-executed",
    seal=b"x-response-seal",
    cold_ms=b"x-cold-ms",
    server_limit=b"server-limit",
    server_leaving=b"server-leaving",
    callers_assign_call_ids=True,
    allows_until_close=True,
    max_buffered_bytes=MAX_BUFFERED_BYTES,
)
