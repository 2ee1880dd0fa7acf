"""Format tables and times for a terminal."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import UTC, datetime


def render_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a header and rows as text with aligned columns."""
    lines = [header, *rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(header))]
    return "\n".join(_render_line(line, widths) for line in lines)


def render_time(seconds: float) -> str:
    """Return seconds since the epoch as a UTC date and time."""
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%d %H:%M:%SZ")


def _render_line(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = (cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
    return "  ".join(padded).rstrip()
