"""Limits of forwarding, read from the settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct

from monsoontray.forwarding.parsing import HeadLimits

if TYPE_CHECKING:
    from monsoontray.settings.settings import Settings


class Limits(Struct, frozen=True):
    """Limits on the time and memory of callers, calls and connections."""

    head: HeadLimits
    max_caller_connections: int
    call_timeout_s: float
    head_timeout_s: float
    idle_timeout_s: float
    connect_timeout_s: float
    stream_buffer_bytes: int
    replay_buffer_bytes: int
    guard_queue_length: int
    capacity_min_share: float  # of a server's slots; 1.0: nothing is learned
    full_memory_s: float  # how long a far server that was full gets no offer
    max_attempts: int
    stop_notice_s: float  # time for callers to switch nodes before this one stops


def read_limits(settings: Settings) -> Limits:
    """Return the limits from the settings."""
    head = HeadLimits(
        settings.get_int("max_header_count"), settings.get_int("max_head_bytes")
    )
    return Limits(
        head=head,
        max_caller_connections=settings.get_int("max_caller_connections"),
        call_timeout_s=settings.get_seconds("call_timeout_ms"),
        head_timeout_s=settings.get_seconds("head_timeout_ms"),
        idle_timeout_s=settings.get_seconds("idle_timeout_ms"),
        connect_timeout_s=settings.get_seconds("connect_timeout_ms"),
        stream_buffer_bytes=settings.get_int("stream_buffer_bytes"),
        replay_buffer_bytes=settings.get_int("replay_buffer_bytes"),
        guard_queue_length=settings.get_int("guard_queue_length"),
        capacity_min_share=settings.get_float("capacity_min_share"),
        full_memory_s=settings.get_seconds("full_memory_ms"),
        max_attempts=settings.get_int("max_attempts"),
        stop_notice_s=settings.get_seconds("stop_notice_ms"),
    )
