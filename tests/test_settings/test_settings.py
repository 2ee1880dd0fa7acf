from __future__ import annotations

import json
from pathlib import Path

import pytest

from monsoontray.settings.errors import SettingsError
from monsoontray.settings.page import render_page
from monsoontray.settings.settings import check_settings, load_settings, parse_address

ROOT = Path(__file__).parents[2]
MINIMAL = {
    "node": "node-1",
    "region": "norte",
    "zone": "zone-a",
    "entry_address": "10.0.0.1:7001",
    "guard_address": "10.0.0.1:7002",
    "peer_address": "10.0.0.1:7003",
    "operator_address": "10.0.0.1:7004",
    "store_endpoints": ["http://10.0.0.9:2379"],
}


def test_missing_settings_get_their_defaults(tmp_path):
    path = tmp_path / "node.json"
    path.write_text(json.dumps(MINIMAL))
    settings = load_settings(path)
    assert settings.get_string("zone") == "zone-a"
    assert settings.get_seconds("call_timeout_ms") == 30.0
    assert settings.get_bind_address("guard_address").port == 7002


def test_bind_address_replaces_the_address_to_listen_on():
    settings = check_settings({**MINIMAL, "guard_bind_address": "127.0.0.1:9"})
    assert settings.get_bind_address("guard_address").port == 9
    assert settings.get_address("guard_address").port == 7002


@pytest.mark.parametrize(
    ("change", "expected_texts"),
    [
        ({"zome": "a"}, ("'zome'", "'a'", "'zone'")),
        ({"call_timeout_ms": 0}, ("'call_timeout_ms'", "1 to 3600000 ms", "0")),
        ({"call_timeout_ms": "5"}, ("'call_timeout_ms'", "whole number", "'5'")),
        ({"call_timeout_ms": True}, ("'call_timeout_ms'", "True")),
        ({"call_timeout_ms": 2.5}, ("'call_timeout_ms'", "2.5")),
        ({"node": ""}, ("'node'", "empty")),
        ({"entry_address": "10.0.0.1"}, ("'entry_address'", "IP:PORT")),
        ({"entry_address": "10.0.0.1:99999"}, ("'entry_address'", "65535")),
        ({"log_format": "xml"}, ("'log_format'", "human, json", "'xml'")),
        ({"store_endpoints": []}, ("'store_endpoints'", "empty")),
        ({"store_endpoints": [7]}, ("'store_endpoints'", "7")),
        ({"seeds": ["nowhere"]}, ("'seeds'", "'nowhere'")),
    ],
)
def test_invalid_setting_is_reported_with_its_value(change, expected_texts):
    with pytest.raises(SettingsError) as error:
        check_settings({**MINIMAL, **change})
    for text in expected_texts:
        assert text in str(error.value)


def test_missing_required_setting_is_reported():
    document = {key: value for key, value in MINIMAL.items() if key != "zone"}
    with pytest.raises(SettingsError, match="'zone' is missing"):
        check_settings(document)


@pytest.mark.parametrize("content", ["{", "[]", "\xff"])
def test_file_without_a_json_object_is_refused(tmp_path, content):
    path = tmp_path / "node.json"
    path.write_text(content, encoding="latin-1")
    with pytest.raises(SettingsError):
        load_settings(path)


def test_address_is_parsed_and_formatted():
    address = parse_address("127.0.0.1:80")
    assert (address.host, address.port, str(address)) == (
        "127.0.0.1",
        80,
        "127.0.0.1:80",
    )


def test_reference_page_matches_the_declarations():
    assert (ROOT / "docs" / "SETTINGS.md").read_text() == render_page()
