"""What signals do to a program."""

from __future__ import annotations

import logging
import signal

import pytest

from croftpulley import errors
from croftpulley.daemons import signals
from croftpulley.observe import events

NUMBERS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


@pytest.fixture(autouse=True)
def _undone():
    before = {number: signal.getsignal(number) for number in NUMBERS}
    level = logging.getLogger().level
    yield
    for number, handler in before.items():
        signal.signal(number, handler)
    logging.getLogger().setLevel(level)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_stop_is_begun_once_and_later_ones_are_ignored(number):
    stopped = signals.stop_signal()
    assert not stopped.is_set()
    signal.raise_signal(number)
    assert stopped.is_set()
    assert all(signal.getsignal(each) is signal.SIG_IGN for each in NUMBERS)
    signal.raise_signal(signal.SIGTERM)


def test_a_reload_takes_over_the_log_level(caplog):
    signals.stop_signal(lambda: "WARNING")
    signal.raise_signal(signal.SIGHUP)
    assert logging.getLogger().level == logging.WARNING


def test_settings_that_are_not_valid_are_told_and_change_nothing(caplog):
    fault = errors.SettingsError("box.jsonc", "log_level", "got 'LOUD'")

    def read_level():
        raise errors.SettingsErrorGroup("settings are not valid", [fault])

    level = logging.getLogger().level
    signals.stop_signal(read_level)
    signal.raise_signal(signal.SIGHUP)
    assert logging.getLogger().level == level
    (record,) = caplog.records
    assert record.event == events.Event.SETTINGS_CHANGED.value
    assert "log_level" in record.problem
