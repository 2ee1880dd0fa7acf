"""Tests of the command line, run as a process."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest

from bench.lists import build_customer, build_lists, build_plan, build_route
from tests.fleets import TOKEN, start_three_nodes


def run(*arguments: str, env: dict[str, str] | None = None):
    command = [sys.executable, "-m", "monsoontray", *arguments]
    return subprocess.run(
        command, capture_output=True, text=True, timeout=60, check=False, env=env
    )


def build_document():
    routes = [build_route("/catalogue", "catalogue")]
    return build_lists(
        [build_customer("ribaverde", "browse", TOKEN)],
        [build_plan("browse", routes), build_plan("order", routes)],
        ["catalogue"],
    )


@pytest.fixture
def lists_file(tmp_path):
    path = tmp_path / "lists.json"
    path.write_text(json.dumps(build_document()))
    return path


def assert_fails_with_one_line(result, code, *expected_texts):
    assert result.returncode == code, result.stderr
    assert len(result.stderr.strip().splitlines()) == 1
    assert "Traceback" not in result.stderr
    for text in expected_texts:
        assert text in result.stderr


def test_version_and_validate_work_without_a_node(lists_file):
    assert run("version").stdout.startswith("monsoontray ")
    assert "version" in json.loads(run("version", "--json").stdout)
    assert run("config", "validate", str(lists_file)).returncode == 0
    output = json.loads(run("config", "validate", str(lists_file), "--json").stdout)
    assert output == {"outcome": "valid", "customers": 1, "plans": 2}


def test_operator_errors_print_one_line(tmp_path):
    missing = str(tmp_path / "none.json")
    assert_fails_with_one_line(run("config", "validate", missing), 1, missing)
    assert_fails_with_one_line(run("check-settings", missing), 1, missing)
    bad = tmp_path / "bad.json"
    bad.write_text('{"node": 7}')
    assert_fails_with_one_line(run("check-settings", str(bad)), 1, "'node'", "7")
    assert_fails_with_one_line(run("node", "run", str(bad)), 1, "'node'", "7")
    bad.write_text('{"zome": "a"}')
    assert_fails_with_one_line(run("check-settings", str(bad)), 1, "'zome'", "'zone'")
    assert_fails_with_one_line(run("status", "--node=127.0.0.1:9"), 4, "127.0.0.1:9")
    assert run("no-such-command").returncode == 2


def test_check_settings_accepts_a_complete_file(fleet):
    fleet.store_address = "127.0.0.1:9"
    node = fleet.add_node("node-0", "zone-a")
    result = run("check-settings", str(node.settings_file))
    assert (result.returncode, result.stdout) == (0, "valid: node 'node-0'\n")
    output = json.loads(run("check-settings", str(node.settings_file), "--json").stdout)
    assert output["settings"]["zone"] == "zone-a"


def test_config_commands_change_and_show_the_lists(fleet, lists_file, tmp_path):
    start_three_nodes(fleet)
    first, second, third = (f"--node={node.operator_address}" for node in fleet.nodes)
    result = run("config", "show", first)
    assert_fails_with_one_line(result, 1, "no version is in force")

    assert run("config", "apply", str(lists_file), first).returncode == 0
    fleet.wait_for_version(1)
    shown = run("config", "show", "--lists", third).stdout
    assert json.loads(shown)["customers"][0]["customer"] == "ribaverde"
    assert json.loads(run("config", "show", "--json", third).stdout)["number"] == 1
    assert "no difference" in run("config", "diff", str(lists_file), second).stdout

    edited = run("config", "edit", "ribaverde", "--plan=order", second)
    assert (edited.returncode, edited.stdout) == (0, "version 2 accepted\n")
    fleet.wait_for_version(2)
    differs = json.loads(run("config", "diff", str(lists_file), "--json", third).stdout)
    assert differs["differs"]

    late = run("config", "apply", str(lists_file), "--based-on=1", first)
    assert_fails_with_one_line(late, 3, "overtaken", "version 2")
    unknown_plan = run("config", "edit", "ribaverde", "--plan=ghost", first)
    assert_fails_with_one_line(unknown_plan, 1, "'ghost'")
    new = run("config", "edit", "padma", "--plan=order", first)
    assert_fails_with_one_line(new, 1, "'padma'", "--token-sha256")
    digest = f"--token_sha256={'a' * 64}"
    added = run("config", "edit", "padma", "--plan=order", digest, first)
    assert added.returncode == 0
    fleet.wait_for_version(3)
    assert run("config", "edit", "padma", "--remove", first).returncode == 0
    assert_fails_with_one_line(
        run("config", "edit", "nobody", "--remove", first), 1, "'nobody'"
    )

    history = json.loads(run("config", "history", "--json", first).stdout)
    assert [each["number"] for each in history] == [4, 3, 2, 1]
    fleet.wait_for_version(4)
    status = json.loads(run("status", "--json", second).stdout)
    assert status["version"] == 4
    assert len(status["zones"]) == 3
    assert "norte/zone-a" in run("status", second).stdout

    waited = run("config", "wait", "4", "--deadline=10", third)
    assert (waited.returncode, waited.stdout) == (
        0,
        "version 4 is in force everywhere\n",
    )
    late = run("config", "wait", "9", "--deadline=0.2", third)
    assert_fails_with_one_line(late, 6, "version 9", "node-0, node-1, node-2")
    assert_fails_with_one_line(run("config", "wait", "soon", third), 2, "'soon'")
    zones = json.loads(run("config", "status", "--json", first).stdout)["zones"]
    assert [zone["versions"] for zone in zones] == [{"4": 1}] * 3
    assert "4: 1" in run("config", "status", first).stdout

    fleet.post_json(fleet.store_address, "/control", {"out": True})
    out = run("config", "apply", str(lists_file), first)
    assert_fails_with_one_line(out, 4, "not-done")
    assert run("status", second).returncode == 0


def test_json_log_lines_can_be_parsed(fleet):
    fleet.start_store()
    node = fleet.add_node("node-0", "zone-a", log_format="json", log_level="DEBUG")
    fleet.start_node(node)
    fleet.wait_for_node(node)
    node.process.terminate()
    assert node.process.wait(15) == 0
    log = (fleet.directory / "node-0.log").read_text()
    lines = [json.loads(line) for line in log.splitlines()]
    assert {"node started", "stopping: SIGTERM"} <= {each["message"] for each in lines}
    assert all(each["node"] == "node-0" for each in lines)
