"""Progress messages on standard error."""

from __future__ import annotations

import sys


def show_progress(text: str) -> None:
    """Print a line of progress."""
    print(text, file=sys.stderr, flush=True)
