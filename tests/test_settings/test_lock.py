from __future__ import annotations

from pathlib import Path

ROOT = Path(__file__).parents[2]


def test_the_lock_pins_packages_of_the_registry_only():
    lines = (ROOT / "requirements.lock").read_text().splitlines()
    assert lines
    for line in lines:
        name, separator, version = line.partition("==")
        assert name
        assert separator
        assert version
