"""What signals mean to every program: a planned stop, and settings that changed."""

from __future__ import annotations

import logging
import signal
import threading
from collections.abc import Callable

from croftpulley import errors
from croftpulley.observe import events, logs

_LOG = logging.getLogger(__name__)
_STOPS = (signal.SIGTERM, signal.SIGINT)


def stop_signal(read_level: Callable[[], str] | None = None) -> threading.Event:
    """Return an event that SIGTERM or SIGINT sets; those that follow change nothing.

    SIGHUP takes over the log level that ``read_level`` reads from the settings file; all else there
    is used at the next start. Call it in the main thread.
    """
    stopped = threading.Event()
    for number in _STOPS:
        signal.signal(number, lambda _number, _frame: _stop(stopped))
    signal.signal(signal.SIGHUP, lambda _number, _frame: _reload(read_level))
    return stopped


def _stop(stopped: threading.Event) -> None:
    """Begin a planned stop.

    Python gives signals their default meaning back while it ends: another one would then end the
    process as killed, after all its work was done (seeds 24 and 36 of the soak).
    """
    for number in (*_STOPS, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    stopped.set()


def _reload(read_level: Callable[[], str] | None) -> None:
    """Take over the log level; a file that is not valid is reported and changes nothing."""
    problem = ""
    try:
        if read_level is not None:
            logs.set_level(read_level())
    except errors.SettingsErrorGroup as group:
        problem = "; ".join(str(fault) for fault in group.exceptions)
    level = logging.ERROR if problem else logging.INFO
    events.emit(_LOG, events.Event.SETTINGS_CHANGED, level=level, problem=problem)
