"""Check the guarantees of the system from what callers and back ends recorded."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from bench.mesh import COLD_PER_S
from bench.soak.callers import NO_RESPONSE, Outcome
from bench.soak.usage import UsageReport

NOT_RUN_STATUSES = (408, 421, 429, 503)
SEAL_PREFIX = "seal-of-"  # of a stand-in's seal; its name follows
#: Limit on the calls in a second of a cold server, which tolerates COLD_PER_S.
COLD_FACTOR = 1.5
COLD_SLACK = 5.0
COLD_WINDOW_S = 1.0
#: A response may be lost during a fault and for this time after its end.
GRACE_S = 3.0
KEY_WITHDRAWAL_S = 2.0  # time after which no call with a withdrawn key runs
KEYED_PATH = "/keyed/"  # followed by the number of the key
THAW_SLACK_S = 0.3  # in which a process that was paused may send what is outdated


def check_outcomes(
    outcomes: Sequence[Outcome],
    runs: Counter[str],
    late_calls: Iterable[str],
    fault_periods: Sequence[tuple[float, float]],
) -> list[str]:
    """Return the violated guarantees, each as a rule and the call that shows it.

    ``runs`` counts how often each call ran. ``late_calls`` are the calls that reached a
    server after the time in which a leaving server may still be called.
    ``fault_periods`` are the begin and end of each unplanned fault; responses may be
    lost in these.
    """
    violations = [
        f"DRAIN: {call} reached a server that had left" for call in late_calls
    ]
    for outcome in outcomes:
        run_count = runs[outcome.call_id]
        if outcome.is_order and run_count > 1:
            violations.append(f"TWICE: {outcome.call_id} ran {run_count} times")
        if outcome.is_order and run_count and outcome.status in NOT_RUN_STATUSES:
            violations.append(
                f"REFUSED: {outcome.call_id} ran, but got {outcome.status}"
            )
        if 200 <= outcome.status < 300 and not _matches_call(outcome):
            violations.append(
                f"MIXED: {outcome.call_id} got the response {outcome.content!r}"
            )
        if (
            outcome.status == NO_RESPONSE
            and run_count
            and not _overlaps_fault(outcome, fault_periods)
        ):
            violations.append(f"LOST: {outcome.call_id} ran, but got no response")
    return violations + check_versions(outcomes)


def check_cold_servers(
    outcomes: Sequence[Outcome],
    arrivals: Mapping[str, Sequence[tuple[float, str]]],
) -> list[str]:
    """Return the cold servers that got too many calls in one second.

    ``arrivals`` has the times and calls of each server. Counted are calls that were
    sent and arrived in that second.
    """
    sent_at = {outcome.call_id: outcome.sent_at for outcome in outcomes}
    limit = COLD_PER_S * COLD_FACTOR + COLD_SLACK
    violations = []
    for server, found in arrivals.items():
        calls = [(sent_at.get(call_id, at), at) for at, call_id in found]
        most = max(
            sum(sent >= begin and at < begin + COLD_WINDOW_S for sent, at in calls)
            for begin, _ in calls
        )
        if most > limit:
            violations.append(f"FAILBACK: {server} got {most} calls in a second")
    return violations


def check_versions(outcomes: Iterable[Outcome]) -> list[str]:
    """Return the processes that served an older configuration than before.

    A 404 shows this if the same process served the version, or a later one, before
    the call was sent.
    """
    violations = []
    latest_by_process: dict[tuple[str, int], tuple[float, int]] = {}
    for outcome in sorted(outcomes, key=lambda each: each.sent_at):
        number = _parse_version(outcome.path)
        if number is None or outcome.status not in (200, 404):
            continue
        process = (outcome.node, outcome.pid)
        served_at, served = latest_by_process.get(process, (0.0, 0))
        if outcome.status == 404 and number <= served and served_at < outcome.sent_at:
            violations.append(f"CONFIG: {outcome.node} went back from version {served}")
        if outcome.status == 200 and number > served:
            latest_by_process[process] = (outcome.ended_at, number)
    return violations


def check_keys(
    outcomes: Iterable[Outcome], runs: Counter[str], withdrawn_at: Mapping[int, float]
) -> list[str]:
    """Return the calls that ran although their key had been withdrawn in time."""
    violations = []
    for outcome in outcomes:
        if outcome.path.startswith(KEYED_PATH) and runs[outcome.call_id]:
            key = int(outcome.path.split("/")[2])
            late_s = outcome.sent_at - withdrawn_at.get(key, math.inf)
            if late_s > KEY_WITHDRAWAL_S:
                violations.append(
                    f"REVOKE: {outcome.call_id} ran {late_s:.2f} s after its key"
                )
    return violations


def check_reports(
    reports: Iterable[UsageReport], thawed_at: Iterable[float]
) -> list[str]:
    """Return second counts of a window, and tokens of two nodes or out of order."""
    violations = []
    thaws = tuple(thawed_at)
    counts: dict[int, dict[str, int]] = {}
    holders: dict[int, str] = {}
    newest = 0
    for report in reports:
        if counts.setdefault(report.window, report.counts) != report.counts:
            violations.append(f"ONE: window {report.window} has two sets of counts")
        if holders.setdefault(report.token, report.holder) != report.holder:
            violations.append(f"ONE: token {report.token} is of two nodes")
        was_paused = any(0 <= report.at - each <= THAW_SLACK_S for each in thaws)
        if report.token < newest and not was_paused:
            violations.append(f"ONE: token {report.token} came after {newest}")
        newest = max(newest, report.token)
    return violations


def _matches_call(outcome: Outcome) -> bool:
    server = outcome.seal.removeprefix(SEAL_PREFIX)
    content = f"{server} {outcome.path} {outcome.body_bytes}".encode()
    content = content.ljust(outcome.answer_bytes, b".")
    sealed = outcome.seal.startswith(SEAL_PREFIX)
    return (
        sealed
        and outcome.response_call_id == outcome.call_id
        and outcome.content == content
    )


def _overlaps_fault(
    outcome: Outcome, fault_periods: Sequence[tuple[float, float]]
) -> bool:
    return any(
        begun_at < outcome.ended_at and outcome.sent_at < ended + GRACE_S
        for begun_at, ended in fault_periods
    )


def _parse_version(path: str) -> int | None:
    name = path.split("/")[1]
    return int(name[1:]) if name[:1] == "v" and name[1:].isdecimal() else None
