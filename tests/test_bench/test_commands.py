"""Arguments of ``python -m bench`` and fault schedules; no experiment is run."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest

from bench.faults import FAULT_NAMES, Fault, FaultRunner, read_faults
from bench.fleet import Fleet


def run_bench(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "bench", *arguments]
    return subprocess.run(command, capture_output=True, text=True, check=False)


def test_list_prints_the_names_of_the_experiments():
    names = {line.split()[0] for line in run_bench("list").stdout.splitlines()}
    assert {"latency", "throughput", "convergence"} <= names
    assert {"herd", "outage", "partition"} <= names


@pytest.mark.parametrize(
    ("arguments", "expected_text"),
    [
        (("no-such",), "'no-such'"),
        (("latency", "--nodes=0"), "0"),
        (("latency", "--seed=x"), "'x'"),
        (("latency", "--duration-s=-1"), "-1"),
        (("latency", "--faults=/no/such/file"), "/no/such/file"),
    ],
)
def test_invalid_argument_exits_with_code_2_and_one_line(arguments, expected_text):
    result = run_bench("run", *arguments)
    assert result.returncode == 2
    assert expected_text in result.stderr
    assert len(result.stderr.strip().splitlines()) == 1


def write_schedule(tmp_path, *faults):
    path = tmp_path / "faults.json"
    path.write_text(json.dumps(faults))
    return path


def test_faults_of_a_schedule_are_sorted_by_time(tmp_path):
    path = write_schedule(
        tmp_path,
        {"at_s": 5.0, "fault": "store_out", "target": "store", "for_s": 1.0},
        {"at_s": 1.0, "fault": "kill_nodes", "target": "zone:1", "fraction": 0.5},
    )
    assert [fault.fault for fault in read_faults(path)] == ["kill_nodes", "store_out"]


@pytest.mark.parametrize(
    ("change", "expected_text"),
    [
        ({"fault": "meteor"}, "'meteor'"),
        ({"target": "moon"}, "'moon'"),
        ({"target": "zone:x"}, "'zone:x'"),
        ({"fraction": 1.5}, "1.5"),
        ({"surprise": 1}, "surprise"),
    ],
)
def test_error_for_an_invalid_schedule_names_the_value(tmp_path, change, expected_text):
    fault = {"at_s": 1.0, "fault": "store_out", "target": "store", **change}
    with pytest.raises(ValueError, match=expected_text):
        read_faults(write_schedule(tmp_path, fault))


def test_every_fault_has_a_handler_and_fraction_applies_per_zone():
    with Fleet() as fleet:
        for i, zone in enumerate(("zone-a", "zone-a", "zone-b")):
            fleet.add_node(f"node-{i}", zone)
        faults = tuple(Fault(1.0, name) for name in FAULT_NAMES)
        runner = FaultRunner(fleet, faults, seed=1)
        assert len(runner._steps) >= len(FAULT_NAMES)
        half = Fault(1.0, "kill_nodes", fraction=0.5)
        chosen = runner._find_targets(half)
        assert sorted(node.zone for node in chosen) == ["zone-a", "zone-b"]
