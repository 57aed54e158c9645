"""How the real programs end when they cannot go on, and that they go on where they can."""

from __future__ import annotations

import errno
import pathlib

import orjson
import pytest

import crowd_site
from conftest import wait_until
from croftpulley import codes
from croftpulley.observe import events
from soak import processes

PLACES = ("router", "replica", "redirector", "control", "entry")


@pytest.fixture
def site(tmp_path):
    site = crowd_site.Site(tmp_path)
    yield site
    site.stop()


def lines(program, event):
    """Return the log lines of an event."""
    found = []
    for line in program.log_tail(10_000).splitlines():
        fields = orjson.loads(line) if line.startswith("{") else {}
        if fields.get("event") == event:
            found.append(fields)
    return found


@pytest.mark.parametrize("kind", PLACES)
def test_a_program_whose_address_is_taken_ends_with_the_cause_in_its_last_line(
    site, kind, tmp_path
):
    first = getattr(site, kind)().program
    wait_until(lambda: first.is_up, "the first one is up", crowd_site.START_LIMIT_S)
    folder = tmp_path / "second"
    folder.mkdir()
    changes = {"box": "second-0"}
    if "data_folder" in first.settings:
        changes["data_folder"] = str(folder / "data")
    second = processes.Program(kind, first.settings | changes, folder)
    second.start()
    wait_until(lambda: not second.runs, "the second one has ended", crowd_site.START_LIMIT_S)
    assert second.exit_code == codes.ResultCode.INTERNAL.value
    last = orjson.loads(second.log_tail(1))
    assert last["event"] == events.Event.DAEMON_FAILED
    assert "127.0.0.1:" in last["problem"]
    assert first.runs


def test_a_control_box_with_a_damaged_log_says_so_and_is_not_busy_with_it(site, tmp_path):
    program = site.replica().program
    wait_until(lambda: program.is_up, "it is up", crowd_site.START_LIMIT_S)
    program.kill()
    (path,) = pathlib.Path(program.settings["data_folder"]).glob("log-*")
    sound = path.read_bytes()
    damaged = bytearray(sound)
    damaged[20] ^= 0xFF
    path.write_bytes(bytes(damaged) + sound)
    program.start()
    wait_until(
        lambda: len(lines(program, events.Event.DISK_FAILED)) >= 2,
        "it has tried again",
        crowd_site.START_LIMIT_S,
    )
    assert not lines(program, events.Event.INTERNAL_ERROR)
    assert program.runs


def test_a_data_folder_that_cannot_be_made_is_the_cause_in_the_last_line(site, tmp_path):
    program = site.replica().program
    wait_until(lambda: program.is_up, "it is up", crowd_site.START_LIMIT_S)
    program.kill()
    taken = tmp_path / "taken"
    taken.write_bytes(b"")
    program.start(data_folder=str(taken / "data"))
    wait_until(lambda: not program.runs, "it has ended", crowd_site.START_LIMIT_S)
    assert program.exit_code == codes.ResultCode.INTERNAL.value
    last = orjson.loads(program.log_tail(1))
    assert last["event"] == events.Event.DAEMON_FAILED
    assert f"[Errno {errno.ENOTDIR}]" in last["problem"]
