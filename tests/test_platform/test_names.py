"""Only the package ``monsoontray.platform`` uses the platform's names."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parents[2] / "monsoontray"
PLATFORM_NAMES = re.compile(
    r"x-response-seal|x-request-id|x-deadline-ms|x-expect-instance|x-not-executed"
    r"|x-caller-service|x-cold-ms|instances\.(heartbeat|deregister)|kv-\w+"
    r"|cold_left_s|ttl_s_time|beat_addr|boot\.yaml|as_of"
    r"|op/config|op/rollout|op/evacuate|status/rollout"
    r"|target_version|app_addr|max_conns|non_idempotent",
    re.IGNORECASE,
)


def test_platform_names_are_used_only_in_platform_package():
    violations = [
        f"{path.relative_to(ROOT)}:{number}: {line.strip()}"
        for path in sorted(ROOT.rglob("*.py"))
        if "platform" not in path.relative_to(ROOT).parts
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if PLATFORM_NAMES.search(line)
    ]
    assert violations == []


def test_platform_package_has_fewer_than_1000_lines():
    line_count = sum(
        len(path.read_text().splitlines()) for path in (ROOT / "platform").glob("*.py")
    )
    assert line_count < 1_000
