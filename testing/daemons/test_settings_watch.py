"""Settings that change while a program runs."""

from __future__ import annotations

import logging
import os

import orjson
import pytest

from conftest import wait_until
from croftpulley import errors
from croftpulley.daemons import settings_watch
from croftpulley.observe import events
from croftpulley.platform import boot
from croftpulley.settings import loader, schema

SETTINGS = {
    "box": "control-9",
    "operator_address": "127.0.0.1:1",
    "metrics_address": "127.0.0.1:2",
    "targets": ["127.0.0.1:3"],
}


@pytest.fixture(autouse=True)
def _level():
    level = logging.getLogger().level
    yield
    logging.getLogger().setLevel(level)


@pytest.fixture
def file(tmp_path):
    return tmp_path / "settings.jsonc"


@pytest.fixture
def write(file):
    """Return a function that writes the settings with changes, at another time each."""
    count = iter(range(1, 1000))

    def write_settings(text=None, **changes):
        file.write_bytes(orjson.dumps(SETTINGS | changes) if text is None else text)
        # Files written within one tick of the clock differ in time only by this.
        os.utime(file, ns=(0, next(count)))

    write_settings()
    return write_settings


@pytest.fixture
def applied():
    return []


@pytest.fixture
def watch(file, write, applied):
    made = settings_watch.SettingsWatch(
        str(file), lambda: loader.load(str(file), schema.RedirectorSettings)
    )
    made._apply = applied.append
    return made


def told(caplog):
    number = events.Event.SETTINGS_CHANGED.value
    return [each for each in caplog.records if getattr(each, "event", 0) == number]


def test_a_change_is_used_without_a_signal(watch, write, applied):
    write(targets=["127.0.0.1:4"])
    watch.look(is_asked=False)
    assert [each.targets for each in applied] == [("127.0.0.1:4",)]


def test_the_log_level_is_used_at_once(watch, write):
    write(log_level="WARNING")
    watch.look(is_asked=False)
    assert logging.getLogger().level == logging.WARNING


def test_a_change_that_needs_a_restart_is_told_and_not_used(watch, write, applied, caplog):
    caplog.set_level(logging.INFO)
    write(metrics_address="127.0.0.1:9")
    watch.look(is_asked=True)
    assert applied == []
    assert watch.in_use.metrics_address == "127.0.0.1:2"
    (line,) = told(caplog)
    assert line.waits_for_restart == ["metrics_address"]


@pytest.mark.parametrize("text", [b"", b'{"box":', b'{"box": 7}', b"\xff"])
def test_a_file_that_is_half_written_changes_nothing_and_is_told_once(
    watch, write, applied, caplog, text
):
    write(text)
    for _ in range(3):
        watch.look(is_asked=False)
    assert applied == []
    (line,) = told(caplog)
    assert line.problem
    write(targets=["127.0.0.1:5"])
    watch.look(is_asked=False)
    assert [each.targets for each in applied] == [("127.0.0.1:5",)]


def test_a_file_that_is_gone_leaves_the_settings(watch, file, applied, caplog):
    file.unlink()
    watch.look(is_asked=False)
    assert applied == []
    assert len(told(caplog)) == 1


def test_a_signal_has_the_file_read_and_says_so(watch, caplog):
    caplog.set_level(logging.INFO)
    watch.begin(lambda _settings: None)
    watch.signalled()
    wait_until(lambda: told(caplog), "the change is told")
    watch.stop()
    assert not watch._thread.is_alive()


def test_settings_that_are_not_valid_at_the_start_are_an_error(file, write):
    write(b"{}")
    with pytest.raises(errors.SettingsErrorGroup):
        settings_watch.SettingsWatch(
            str(file), lambda: loader.load(str(file), schema.RedirectorSettings)
        )


def test_the_platforms_seeds_are_used_at_once(tmp_path):
    path = tmp_path / "settings.yaml"
    document = {
        "nodeName": "a",
        "ipAddress": "127.0.0.1",
        "listenAddresses": {"controlPlane": "127.0.0.1:8229"},
        "internalPortRange": [7340, 7355],
        "seedNodes": ["127.0.0.2:8229"],
    }
    path.write_bytes(orjson.dumps(document))
    watch = settings_watch.SettingsWatch(str(path), lambda: boot.redirector_settings(str(path)))
    path.write_bytes(orjson.dumps(document | {"seedNodes": ["127.0.0.33:8229"]}))
    watch.look(is_asked=False)
    assert watch.in_use.targets == ("127.0.0.33:8229",)


@pytest.mark.parametrize("text", [b"[" * 100_000, b'{"box": ' + b"9" * 5000 + b"}"])
def test_a_file_that_cannot_be_parsed_does_not_end_the_following(
    watch, write, applied, caplog, text
):
    watch.begin(applied.append)
    write(text)
    watch.signalled()
    wait_until(lambda: told(caplog), "the fault is told")
    assert told(caplog)[0].problem
    write(targets=["127.0.0.1:6"])
    watch.signalled()
    wait_until(lambda: applied, "the next change is used")
    watch.stop()


def test_a_change_that_cannot_be_applied_does_not_end_the_following(watch, write, applied):
    def apply(settings):
        applied.append(settings.targets)
        raise RuntimeError("unforeseen")

    watch.begin(apply)
    for port in (6, 7):
        write(targets=[f"127.0.0.1:{port}"])
        watch.signalled()
        wait_until(lambda port=port: (f"127.0.0.1:{port}",) in applied, "it is applied")
    watch.stop()
