"""The file that the platform starts, and the words by which it does."""

from __future__ import annotations

import pathlib
import runpy
import signal
import sys
import tomllib

import pytest

DEPLOY = pathlib.Path(__file__).parents[2] / "deploy"
LAUNCH = "croftpulley.platform.launch"


class Waited(Exception):
    """Stands for the wait."""


@pytest.fixture
def main(monkeypatch):
    """Return the program's main function; what it sets is undone."""
    before = signal.getsignal(signal.SIGHUP)
    monkeypatch.setattr(sys, "path", list(sys.path))
    yield runpy.run_path(str(DEPLOY / "run.py"))["main"]
    signal.signal(signal.SIGHUP, before)


def test_it_waits_before_anything_is_loaded(main, monkeypatch):
    # Half of what a router loads used to be loaded before its wait, beside the control box.
    waits = []

    def wait(seconds):
        waits.append(seconds)
        raise Waited

    monkeypatch.delitem(sys.modules, LAUNCH, raising=False)
    monkeypatch.setattr("time.sleep", wait)
    with pytest.raises(Waited):
        main(["entry", "0.3"])
    assert waits == [0.3]
    assert LAUNCH not in sys.modules


def test_a_settings_change_while_a_program_loads_does_not_end_it(main, capsys):
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    assert main(["novel"]) == 73
    assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN


def test_routers_wait_where_a_control_box_starts_too():
    roles = tomllib.loads((DEPLOY / "system.toml").read_text())["roles"]
    words = roles["entry"]["run"].split()
    assert words[-2] == "entry"
    assert (
        words[-1] == "{{#dataDirectory}}0.3{{/dataDirectory}}{{^dataDirectory}}0{{/dataDirectory}}"
    )
    assert roles["control"]["run"].split()[-1] == "control"
