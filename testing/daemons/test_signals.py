"""What signals do to a program."""

from __future__ import annotations

import signal
import subprocess
import sys

import pytest

from croftpulley.daemons import signals

NUMBERS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


@pytest.fixture(autouse=True)
def _undone():
    before = {number: signal.getsignal(number) for number in NUMBERS}
    yield
    for number, handler in before.items():
        signal.signal(number, handler)
    signal.set_wakeup_fd(-1)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_stop_is_begun_once_and_later_ones_are_ignored(number):
    stopped = signals.StopSignal()
    assert not stopped.is_set()
    signal.raise_signal(number)
    assert stopped.is_set()
    assert all(signal.getsignal(each) is signal.SIG_IGN for each in NUMBERS)
    signal.raise_signal(signal.SIGTERM)


def test_each_signal_of_a_change_is_passed_on():
    calls = []
    signals.StopSignal(lambda: calls.append(1))
    signal.raise_signal(signal.SIGHUP)
    signal.raise_signal(signal.SIGHUP)
    assert calls == [1, 1]


def test_a_change_that_nobody_waits_for_does_nothing():
    stopped = signals.StopSignal()
    signal.raise_signal(signal.SIGHUP)
    assert not stopped.is_set()


STOP_IN_ANOTHER_THREAD = """
import signal, threading, time
from croftpulley.daemons import signals

def receive():
    time.sleep(0.2)  # Until the main thread waits.
    for number in (signal.SIGHUP, signal.SIGTERM):
        signal.pthread_kill(threading.get_ident(), number)

changes = []
stop = signals.StopSignal(lambda: changes.append(1))
threading.Thread(target=receive).start()
stop.wait()
print(len(changes), stop.is_set())
"""


# The system hands a signal to any thread: a main thread that waits on a lock never noticed it.
def test_signals_that_reach_another_thread_wake_the_main_thread():
    command = [sys.executable, "-c", STOP_IN_ANOTHER_THREAD]
    output = subprocess.run(command, capture_output=True, text=True, check=True, timeout=20).stdout
    assert output.split() == ["1", "True"]


def test_a_stop_that_came_before_the_wait_ends_it():
    stop = signals.StopSignal()
    signal.raise_signal(signal.SIGTERM)
    stop.wait()
    assert stop.is_set()
