"""Commands of the command line, as exposed by Fire."""

from __future__ import annotations

import getpass
import sys
import time
from collections.abc import Iterator
from difflib import unified_diff
from pathlib import Path
from typing import Any

import msgspec

from monsoontray import __version__
from monsoontray.commands.client import NodeClient
from monsoontray.commands.errors import (
    EXIT_LATE,
    EXIT_REFUSED,
    EXIT_USAGE,
    CommandError,
)
from monsoontray.commands.tables import render_table, render_time
from monsoontray.operators.schemas import Status
from monsoontray.plans.encoding import decode_lists
from monsoontray.plans.errors import InvalidListsError
from monsoontray.plans.model import Customer, Lists
from monsoontray.settings.errors import SettingsError
from monsoontray.settings.settings import Settings, load_settings


class NodeCommands:
    """Run a node."""

    def run(self, settings: str) -> None:
        """Run a node with a settings file until it receives SIGTERM or SIGINT."""
        from monsoontray.node import run_node

        sys.exit(run_node(_load_settings(settings), Path(str(settings))))


class ConfigCommands:
    """Read and change the lists; --node is the operators' address of any node."""

    def show(self, node: str = "", lists: bool = False, json: bool = False) -> None:
        """Show the version in force; --lists prints only the lists, ready for apply."""
        version = NodeClient(str(node)).read_version()
        if json:
            _print_json(version)
            return
        if not lists:
            accepted = render_time(version.accepted_at)
            print(
                f"version {version.number}, accepted {accepted} from {version.author}"
            )
        print(_format_json(version.lists))

    def edit(
        self,
        customer: str,
        plan: str = "",
        token_sha256: str = "",
        remove: bool = False,
        node: str = "",
        author: str = "",
        json: bool = False,
    ) -> None:
        """Change or --remove a customer, or add one with --plan and --token-sha256."""
        client = NodeClient(str(node))
        version = client.read_version()
        lists = _edit_customer(
            version.lists, str(customer), str(plan), str(token_sha256), remove
        )
        result = client.propose(_encode(lists), version.number, _get_author(author))
        _print_result(result, f"version {result.number} accepted", json)

    def apply(
        self,
        file: str,
        based_on: int | None = None,
        node: str = "",
        author: str = "",
        json: bool = False,
    ) -> None:
        """Propose a file of lists as the version after --based-on (or the latest)."""
        client = NodeClient(str(node))
        lists = _read_lists(file)
        if based_on is None:
            based_on = client.read_status().version
        if not isinstance(based_on, int):
            message = f"--based-on must be a number, not {based_on!r}"
            raise CommandError(message, EXIT_USAGE)
        result = client.propose(lists, based_on, _get_author(author))
        _print_result(result, f"version {result.number} accepted", json)

    def history(self, node: str = "", json: bool = False) -> None:
        """Show the latest versions, newest first."""
        versions = NodeClient(str(node)).read_history()
        if json:
            _print_json(versions)
            return
        rows = [
            (
                str(each.number),
                render_time(each.accepted_at),
                each.author,
                str(each.customers),
                str(each.plans),
            )
            for each in versions
        ]
        print(
            render_table(("version", "accepted", "author", "customers", "plans"), rows)
        )

    def status(self, node: str = "", json: bool = False) -> None:
        """Show, for each zone, at how many nodes each version is in force."""
        status = NodeClient(str(node)).read_status()
        if json:
            summary = {"version": status.version, "zones": status.zones}
            _print_json({**summary, "refused": status.refused})
        else:
            _print_zones(status)

    def wait(
        self, version: int, deadline: float = 13.0, node: str = "", json: bool = False
    ) -> None:
        """Wait until a version is in force everywhere, --deadline seconds at most."""
        _check_number("VERSION", version)
        _check_number("--deadline", deadline)
        client = NodeClient(str(node))
        deadline_at = time.monotonic() + deadline
        answer = client.wait(version, deadline)
        while not answer.reached and time.monotonic() < deadline_at:
            answer = client.wait(version, deadline_at - time.monotonic())
        if not answer.reached:
            behind = _join(answer.behind)
            message = f"version {version} is not yet in force at {behind}"
            raise CommandError(message, EXIT_LATE)
        _print_result(answer, f"version {version} is in force everywhere", json)

    def diff(self, file: str, node: str = "", json: bool = False) -> None:
        """Show how a file of lists differs from the version in force."""
        version = NodeClient(str(node)).read_version()
        proposed = _decode_lists(_read_lists(file))
        before = _format_json(version.lists).splitlines()
        after = _format_json(proposed).splitlines()
        version_label = f"version {version.number}"
        lines = list(unified_diff(before, after, version_label, str(file), lineterm=""))
        if json:
            _print_json({"differs": bool(lines), "lines": lines})
        else:
            print("\n".join(lines) if lines else f"no difference from {version_label}")

    def validate(self, file: str, json: bool = False) -> None:
        """Validate a file of lists without contacting a node."""
        lists = _decode_lists(_read_lists(file))
        counts = {"customers": len(lists.customers), "plans": len(lists.plans)}
        if json:
            _print_json({"outcome": "valid", **counts})
        else:
            print(f"valid: {counts['customers']} customers, {counts['plans']} plans")


class Commands:
    """Monsoontray: configuration distribution for a service mesh."""

    def __init__(self) -> None:
        self.node = NodeCommands()
        self.config = ConfigCommands()

    def status(self, node: str = "", json: bool = False) -> None:
        """Show the fleet's versions, zones, nodes and servers as a node sees them."""
        status = NodeClient(str(node)).read_status()
        if json:
            _print_json(status)
        else:
            _print_status(status)

    def check_settings(self, file: str, json: bool = False) -> None:
        """Validate a settings file."""
        settings = _load_settings(file)
        if json:
            _print_json({"outcome": "valid", "settings": settings.get_values()})
        else:
            print(f"valid: node {settings.get_string('node')!r}")

    def check_routes(
        self, file: str, in_force: str = "", store: str = "", json: bool = False
    ) -> None:
        """Check a configuration of routes before it is sent to the platform's store.

        It is compared with the file --in-force, or with what the --store (IP:PORT)
        has. The exit code is 1 if there are errors.
        """
        from monsoontray.commands.scrutiny import check_routes_file, render_report

        report = check_routes_file(str(file), str(in_force), str(store))
        if json:
            _print_json(report)
        else:
            print(render_report(report))
        if report.has_errors:
            sys.exit(EXIT_REFUSED)

    def version(self, json: bool = False) -> None:
        """Show the version of monsoontray."""
        if json:
            _print_json({"version": __version__})
        else:
            print(f"monsoontray {__version__}")


def _load_settings(file: str) -> Settings:
    try:
        return load_settings(Path(str(file)))
    except SettingsError as error:
        raise CommandError(str(error), EXIT_REFUSED) from error


def _read_lists(file: str) -> bytes:
    try:
        return Path(str(file)).read_bytes()
    except OSError as error:
        raise CommandError(
            f"cannot read {file}: {error.strerror}", EXIT_REFUSED
        ) from error


def _decode_lists(content: bytes) -> Lists:
    try:
        return decode_lists(content)
    except InvalidListsError as error:
        raise CommandError(f"rejected: {error}", EXIT_REFUSED) from error


def _edit_customer(
    lists: Lists, customer: str, plan: str, token_sha256: str, remove: bool
) -> Lists:
    known = {entry.customer: entry for entry in lists.customers}
    entry = known.get(customer)
    if remove:
        if entry is None:
            raise CommandError(f"customer {customer!r} does not exist", EXIT_REFUSED)
        del known[customer]
    else:
        known[customer] = _change_customer(entry, customer, plan, token_sha256)
    return msgspec.structs.replace(lists, customers=tuple(known.values()))


def _change_customer(
    entry: Customer | None, customer: str, plan: str, token_sha256: str
) -> Customer:
    if entry is None and not (plan and token_sha256):
        message = f"customer {customer!r} is new: give --plan and --token-sha256"
        raise CommandError(message, EXIT_REFUSED)
    if entry is None:
        return Customer(customer, plan, token_sha256)
    if not plan and not token_sha256:
        raise CommandError("give --plan, --token-sha256 or --remove", EXIT_USAGE)
    return Customer(customer, plan or entry.plan, token_sha256 or entry.token_sha256)


def _get_author(author: str) -> str:
    return str(author) or getpass.getuser()


def _encode(value: object) -> bytes:
    return msgspec.json.encode(value)


def _format_json(value: object) -> str:
    return msgspec.json.format(_encode(value), indent=2).decode()


def _print_json(value: object) -> None:
    print(_encode(value).decode())


def _print_result(value: Any, text: str, json: bool) -> None:
    if json:
        _print_json(value)
    else:
        print(text)


def _check_number(name: str, value: object) -> None:
    if not isinstance(value, int | float) or isinstance(value, bool) or value < 0:
        raise CommandError(
            f"{name} must be a non-negative number, not {value!r}", EXIT_USAGE
        )


def _print_zones(status: Status) -> None:
    print(f"version {status.version} at node {status.node}")
    if status.refused:
        print(f"latest version refused: {status.refused}")
    zone_rows = [
        (zone.zone, str(zone.nodes), _join_versions(zone.versions), _join(zone.behind))
        for zone in status.zones
    ]
    print(render_table(("zone", "nodes", "version: nodes", "behind"), zone_rows))


def _print_status(status: Status) -> None:
    print(f"node {status.node}: {status.calls} calls in progress")
    _print_zones(status)
    print()
    print(
        render_table(
            ("node", "zone", "state", "version", "servers", "waits for"),
            list(_list_nodes(status)),
        )
    )


def _list_nodes(status: Status) -> Iterator[tuple[str, ...]]:
    for node in status.nodes:
        servers = _join(
            f"{s.server} ({s.service} {s.version}, {s.state})" for s in node.servers
        )
        state = f"{node.state}, watches" if node.watching else node.state
        zone = f"{node.region}/{node.zone}"
        waiting = _join(node.waiting_routes)
        yield (node.node, zone, state, str(node.version), servers, waiting)


def _join(items: Any) -> str:
    return ", ".join(items) or "-"


def _join_versions(versions: dict[str, int]) -> str:
    return _join(f"{number}: {count}" for number, count in sorted(versions.items()))
