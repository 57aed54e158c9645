"""The platform's settings file as the fleet's settings."""

from __future__ import annotations

import orjson
import pytest

from croftpulley import errors
from croftpulley.platform import boot, launch

BOOT = {
    "nodeName": "frontend-hall-a-1",
    "ipAddress": "10.1.0.19",
    "zone": "hall-a",
    "listenAddresses": {
        "frontend": "10.1.0.19:8227",
        "ready": "10.1.0.19:8220",
        "controlPlane": "10.1.0.19:8229",
        "directory": "10.1.0.19:8224",
    },
    "internalPortRange": [7340, 7355],
    "seedNodes": ["10.1.0.19:8229", "10.2.0.36:8229"],
    "bootstrap": True,
    "dataDirectory": "/data/x",
    "bounds": {"graceS": 8, "retryBudgetRatio": 0.3, "retryBudgetExtra": 64, "budgetWindowS": 10},
    "cloudApi": {"address": "10.200.0.61:8223", "ratePerS": 47.0},
    "unknown": {"field": 1},
}


@pytest.fixture
def path(tmp_path):
    return tmp_path / "settings.json"


def write(path, **changes):
    path.write_bytes(orjson.dumps({**BOOT, **changes}))
    return str(path)


def test_a_routers_settings(path):
    settings = boot.router_settings(write(path))
    assert settings.box == "frontend-hall-a-1"
    assert settings.caller_address == "10.1.0.19:8227"
    assert settings.control_addresses == ("10.1.0.19:7340", "10.2.0.36:7340")
    assert (settings.retry_ratio, settings.retry_extra, settings.grace_s) == (0.3, 64, 8)


def test_a_control_box_without_a_disk_sends_operators_to_the_seeds(path):
    settings = boot.redirector_settings(write(path, dataDirectory=None))
    assert settings.operator_address == "10.1.0.19:8229"
    assert settings.targets == ("10.1.0.19:8229", "10.2.0.36:8229")


def test_a_control_boxs_settings(path):
    settings = boot.replica_settings(write(path))
    assert settings.peer_address == "10.1.0.19:7340"
    assert settings.operator_address == "10.1.0.19:8229"
    assert settings.seeds == ("10.1.0.19:7340", "10.2.0.36:7340")
    assert settings.first_start


@pytest.mark.parametrize(
    ("machine", "room_bytes"),
    [({"memoryMb": 300}, 60_000_000), ({"memoryMb": 1}, 1_048_576), (None, 50_331_648)],
)
def test_the_memory_for_requests_follows_the_machines(path, machine, room_bytes):
    settings_file = write(path, limits=machine)
    made = [boot.router_settings(settings_file), boot.replica_settings(settings_file)]
    made.append(boot.redirector_settings(settings_file))
    assert [each.http.request_total_bytes for each in made] == [room_bytes] * 3


@pytest.mark.parametrize(
    ("changes", "problem"),
    [
        ({"nodeName": None}, "document.nodeName: got None, expected a string"),
        ({"bounds": {"graceS": "long"}}, "document.bounds.graceS: got 'long', expected a number"),
        ({"seedNodes": []}, "got an empty list"),
        ({"internalPortRange": []}, "expected whole numbers"),
    ],
)
def test_a_fault_names_the_field(path, changes, problem):
    with pytest.raises(errors.SettingsErrorGroup) as caught:
        boot.router_settings(write(path, **changes))
    assert problem in str(caught.value.exceptions[0])


def test_bad_settings_end_the_program_with_one_line_and_the_code(path, monkeypatch, capsys):
    monkeypatch.setenv("CROFTPULLEY_BOOT", write(path, zone=7))
    assert launch.main(["entry"]) == 73
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 1
    assert "document.zone: got 7, expected a string" in lines[0]


def test_an_unknown_program_is_refused(capsys):
    assert launch.main(["novel"]) == 73
    assert "allowed are entry and control" in capsys.readouterr().err
