"""Check a configuration of routes before it is sent."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from msgspec import Struct

from monsoontray.commands.errors import EXIT_REFUSED, EXIT_UNAVAILABLE, CommandError
from monsoontray.decisions.scrutiny import (
    Change,
    Finding,
    Severity,
    check_number,
    compare_routes,
    examine_routes,
)
from monsoontray.decoding.errors import DecodingError
from monsoontray.kernel.clock import SystemClock
from monsoontray.platform.operator import CONFIG_KEY
from monsoontray.platform.routes import decode_routes
from monsoontray.platform.store import PlatformStoreClient
from monsoontray.store.outcomes import ABSENT, Record

if TYPE_CHECKING:
    from monsoontray.routing.model import RouteSet

STORE_TIMEOUT_S = 2.0


class Report(Struct, frozen=True):
    """Findings about a configuration, and what differs from the one in force."""

    number: int
    findings: tuple[Finding, ...]
    changes: tuple[Change, ...] | None = None  # None: there is nothing to compare with

    @property
    def has_errors(self) -> bool:
        """Return whether a finding speaks against sending the configuration."""
        return any(each.severity is Severity.ERROR for each in self.findings)


def check_routes_file(file: str, in_force: str, store: str) -> Report:
    """Return the report on a file; raise CommandError.

    It is compared with the file ``in_force`` or with what the store at ``store`` has.
    """
    routes = _decode(file, _read_file(file))
    findings = examine_routes(routes)
    before = None
    if store:
        before = _decode(f"the store at {store}", _read_store(store))
    elif in_force:
        before = _decode(in_force, _read_file(in_force))
    if before is None:
        return Report(routes.number, tuple(findings))
    number_finding = check_number(before, routes)
    if number_finding is not None:
        findings.append(number_finding)
    changes = tuple(compare_routes(before, routes))
    return Report(routes.number, tuple(findings), changes)


def render_report(report: Report) -> str:
    """Return a report as lines of text."""
    lines = [
        f"{each.severity.value}: {each.entry}: {each.detail}"
        for each in report.findings
    ]
    for change in report.changes or ():
        entry = f"{change.entry}: {change.field}" if change.field else change.entry
        lines.append(
            f"change: {entry}: {change.before or '-'} -> {change.after or '-'}"
        )
    if report.changes == ():
        lines.append("no difference from the version in force")
    errors = sum(each.severity is Severity.ERROR for each in report.findings)
    warnings = len(report.findings) - errors
    lines.append(f"version {report.number:08x}: {errors} errors, {warnings} warnings")
    return "\n".join(lines)


def _read_file(file: str) -> bytes:
    try:
        return Path(file).read_bytes()
    except OSError as error:
        message = f"cannot read {file}: {error.strerror}"
        raise CommandError(message, EXIT_REFUSED) from error


def _read_store(address: str) -> bytes:
    client = PlatformStoreClient([f"http://{address}"], STORE_TIMEOUT_S, SystemClock())
    try:
        record = client.get(CONFIG_KEY)
    finally:
        client.close()
    if not isinstance(record, Record):
        message = f"the store at {address} is unavailable"
        raise CommandError(message, EXIT_UNAVAILABLE)
    if record.revision == ABSENT:
        message = f"the store at {address} has no configuration"
        raise CommandError(message, EXIT_REFUSED)
    return record.value


def _decode(source: str, content: bytes) -> RouteSet:
    try:
        return decode_routes(content)
    except DecodingError as error:
        raise CommandError(f"{source}: {error}", EXIT_REFUSED) from error
