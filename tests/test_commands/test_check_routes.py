"""The check of a configuration before it is sent, run as a process."""

from __future__ import annotations

import json

import pytest

from tests.test_commands.test_commands import run


def build_document(**changes):
    routes = [
        {
            "name": "read",
            "host": "shop.example",
            "prefix": "/a/",
            "kind": "idempotent",
            "timeout_s": 2,
            "target_latency_s": 0.5,
            "priority": 1,
            "max_attempts": 2,
            "service": "one",
        }
    ]
    services = [{"name": "one", "health_path": "/health", "max_conns": 10}]
    limits = {
        "max_header_bytes": 16_384,
        "max_body_bytes": 1_000_000,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
    }
    document = {"version": "0000000a", "routes": routes, "services": services}
    return {**document, "limits": limits, **changes}


def check(tmp_path, document, *options):
    path = tmp_path / "routes.json"
    path.write_text(json.dumps(document))
    return run("check-routes", str(path), *options)


@pytest.mark.parametrize(
    "changes", [{}, {"tenants": [{"name": "huka", "api_keys": ["k"]}]}]
)
def test_sound_configuration_passes(tmp_path, changes):
    result = check(tmp_path, build_document(**changes))
    assert result.returncode == 0, result.stderr
    assert result.stdout == "version 0000000a: 0 errors, 0 warnings\n"


def test_route_that_never_matches_fails_the_check(tmp_path):
    document = build_document()
    document["routes"].append({**document["routes"][0], "name": "copy"})
    result = check(tmp_path, document)
    assert result.returncode == 1
    assert "error: route copy: never matches: route read has" in result.stdout


def test_unknown_service_fails_the_check(tmp_path):
    result = check(tmp_path, build_document(services=[]))
    assert result.returncode == 1
    assert "'read' refers to unknown service 'one'" in result.stderr


def test_differences_from_the_version_in_force_are_shown(tmp_path):
    in_force = tmp_path / "in-force.json"
    in_force.write_text(json.dumps(build_document()))
    document = build_document(version="00000009")
    document["routes"][0]["timeout_s"] = 0.25
    result = check(tmp_path, document, "--in-force", str(in_force))
    assert result.returncode == 1
    assert result.stdout.splitlines() == [
        "warning: route read: the objective of 0.5 s is beyond the timeout of 0.25 s",
        "error: version: 00000009 is not above 0000000a, which is in force",
        "change: route read: timeout_s: 2.0 -> 0.25",
        "version 00000009: 1 errors, 1 warnings",
    ]
    result = check(
        tmp_path, build_document(version="0000000b"), "--in-force", str(in_force)
    )
    assert result.returncode == 0
    assert "no difference from the version in force" in result.stdout
