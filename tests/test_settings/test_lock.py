from __future__ import annotations

from pathlib import Path

ROOT = Path(__file__).parents[2]


def test_lock_file_has_only_pinned_registry_packages():
    lines = (ROOT / "requirements.lock").read_text().splitlines()
    assert lines
    for line in lines:
        name, separator, version = line.partition("==")
        assert name
        assert separator
        assert version
