"""Check the promises from what callers and back ends saw."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence

from bench.soak.callers import CUT, Outcome

NOT_RUN_STATUSES = (408, 421, 429, 503)
SEAL = "seal-of-"  # begins the seals of the stand-ins, which their names follow
#: Time after which a fault that has ended no longer excuses a lost answer.
SETTLED_S = 3.0


def check_outcomes(
    outcomes: Sequence[Outcome],
    runs: Counter[str],
    late: Iterable[str],
    disturbed: Sequence[tuple[float, float]],
) -> list[str]:
    """Return what was broken.

    ``runs`` counts the runs of each call, ``late`` names calls that reached a server
    after its leaving was acknowledged, ``disturbed`` tells when more than planned work
    was under way.
    """
    broken = [f"DRAIN: {call} reached a server that had left" for call in late]
    for outcome in outcomes:
        times = runs[outcome.call_id]
        if outcome.is_order and times > 1:
            broken.append(f"TWICE: {outcome.call_id} ran {times} times")
        if outcome.is_order and times and outcome.status in NOT_RUN_STATUSES:
            broken.append(f"REFUSED: {outcome.call_id} ran, answer {outcome.status}")
        if 200 <= outcome.status < 300 and not _is_true(outcome):
            broken.append(f"MIXED: {outcome.call_id} got {outcome.content!r}")
        if outcome.status == CUT and times and not _is_excused(outcome, disturbed):
            broken.append(f"LOST: {outcome.call_id} ran, its connection was closed")
    return broken + check_versions(outcomes)


def check_versions(outcomes: Iterable[Outcome]) -> list[str]:
    """Return where a process served an older configuration than before."""
    broken = []
    newest: dict[tuple[str, int], tuple[float, int]] = {}
    for outcome in sorted(outcomes, key=lambda each: each.sent_at):
        number = _read_version(outcome.path)
        if number is None or outcome.status not in (200, 404):
            continue
        process = (outcome.node, outcome.process)
        served_at, served = newest.get(process, (0.0, 0))
        if outcome.status == 404 and number <= served and served_at < outcome.sent_at:
            broken.append(f"CONFIG: {outcome.node} took back version {served}")
        if outcome.status == 200 and number > served:
            newest[process] = (outcome.ended_at, number)
    return broken


def _is_true(outcome: Outcome) -> bool:
    server = outcome.seal.removeprefix(SEAL)
    content = f"{server} {outcome.path} {outcome.body_bytes}".encode()
    sealed = outcome.seal.startswith(SEAL)
    return sealed and outcome.named == outcome.call_id and outcome.content == content


def _is_excused(outcome: Outcome, disturbed: Sequence[tuple[float, float]]) -> bool:
    return any(
        begun < outcome.ended_at and outcome.sent_at < ended + SETTLED_S
        for begun, ended in disturbed
    )


def _read_version(path: str) -> int | None:
    name = path.split("/")[1]
    return int(name[1:]) if name[:1] == "v" and name[1:].isdecimal() else None
