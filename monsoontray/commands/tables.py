"""Lay out tables and times for a terminal."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import UTC, datetime


def render_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return rows under a head, in aligned columns."""
    lines = [header, *rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(header))]
    return "\n".join(_render_line(line, widths) for line in lines)


def render_time(seconds: float) -> str:
    """Return a time since the epoch as text."""
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%d %H:%M:%SZ")


def _render_line(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = (cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
    return "  ".join(padded).rstrip()
