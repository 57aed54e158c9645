"""The command line: what it prints, and its exit codes."""

from __future__ import annotations

import json

import pytest

from conftest import CONFIGURATION, TOKEN
from croftpulley import codes
from croftpulley.cli import main


@pytest.fixture
def run(monkeypatch, capsys):
    """Run a command; return its exit code, output and errors."""

    def command(*arguments):
        monkeypatch.setattr("sys.argv", ["croftpulley", *map(str, arguments)])
        with pytest.raises(SystemExit) as caught:
            main.main()
        captured = capsys.readouterr()
        return caught.value.code, captured.out, captured.err

    return command


@pytest.fixture
def ctl(run, make_fleet, tmp_path):
    fleet = make_fleet()
    token_file = tmp_path / "operator-token"
    token_file.write_text(TOKEN, encoding="utf-8")
    document = tmp_path / "fleet.jsonc"
    document.write_text(json.dumps(CONFIGURATION), encoding="utf-8")
    prefix = ("ctl", "--control", fleet.control.operator_address, "--token-file", token_file)

    def command(*arguments):
        return run(*prefix, *(document if each == "FILE" else each for each in arguments))

    return command


def test_settings_faults_are_all_printed_and_give_their_code(run, tmp_path):
    path = tmp_path / "box.jsonc"
    path.write_text('{"box": 1, "hall": ""}', encoding="utf-8")
    code, _, err = run("check-settings", path)
    assert code == codes.ResultCode.SETTINGS_INVALID
    assert f"{path}: box: got 1, allowed is a string" in err
    assert f"{path}: control_addresses: missing; it is required" in err


def test_valid_settings_exit_with_0(run):
    code, out, _ = run("check-settings", "--kind", "control", "examples/demo/control-1.jsonc")
    assert (code, out) == (0, "examples/demo/control-1.jsonc: valid control settings\n")


def test_a_submission_waits_until_it_is_in_force(ctl):
    code, out, _ = ctl("config", "submit", "FILE", "--operator", "bolat", "--number", 2)
    assert (code, out) == (0, "number 2: version 2, in force\n")


def test_a_conflict_names_the_winner_and_gives_its_code(ctl):
    code, _, err = ctl("config", "submit", "FILE", "--operator", "bolat", "--number", 1)
    assert code == codes.ResultCode.SUBMISSION_CONFLICT
    assert "operator 'aigerim', version 1" in err


def test_status_and_history_in_plain_and_json(ctl):
    _, out, _ = ctl("status")
    assert "box entry-0  hall-a" in out
    assert "engine engine-1  llm  live  owner entry-0 epoch 1" in out
    _, out, _ = ctl("config", "history")
    assert out == "version 1  number 1  operator aigerim\n"


def test_an_unreachable_control_box_gives_its_code(run, tmp_path):
    token_file = tmp_path / "token"
    token_file.write_text("t", encoding="utf-8")
    code, _, err = run("ctl", "--control", "127.0.0.1:1", "--token-file", token_file, "status")
    assert code == codes.ResultCode.CONTROL_UNREACHABLE
    assert "may be sent again safely" in err


def test_a_program_that_is_not_in_order_ends_the_command_with_its_line(run, tmp_path):
    file = tmp_path / "a.policy"
    file.write_text("return 1\nwhile 1:\n    x = 1\n")
    for words in (
        ("policy", "check", file),
        ("bench", "policy", "--deployment", "shifa", "--program", file),
    ):
        code, _, err = run(*words)
        assert code == 1
        assert err.strip().endswith("line 2: is not in the language")
