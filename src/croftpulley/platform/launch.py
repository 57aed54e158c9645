"""Starts a program as the platform does: its settings file is named in the environment."""

from __future__ import annotations

import logging
import os
import signal
import sys
import threading
import time

from croftpulley import codes, errors
from croftpulley.observe import events, logs

_LOG = logging.getLogger(__name__)
_BOOT_VARIABLE = "CROFTPULLEY_BOOT"


def main(arguments: list[str]) -> int:
    """Run ``entry`` or ``control`` until SIGTERM; return the exit code."""
    # Until a program has set its handlers a changed settings file must not end it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    role = arguments[0] if arguments else ""
    try:
        if role == "entry":
            return _run_entry(os.environ.get(_BOOT_VARIABLE, ""))
        if role == "control":
            return _run_control(os.environ.get(_BOOT_VARIABLE, ""))
    except errors.SettingsErrorGroup as group:
        for fault in group.exceptions:
            print(f"error: {fault}", file=sys.stderr)
        return codes.ResultCode.SETTINGS_INVALID.value
    print(f"error: got program {role!r}, allowed are entry and control", file=sys.stderr)
    return codes.ResultCode.SETTINGS_INVALID.value


def _run_entry(path: str) -> int:
    # Each program imports only its own half: it starts sooner and takes less memory.
    from croftpulley.platform import boot

    settings = boot.router_settings(path)
    time.sleep(settings.start_delay_s)
    from croftpulley.daemons import router
    from croftpulley.platform import callers

    logs.set_up(settings.box, settings.log_level)
    stopped = _signals()
    daemon = router.RouterDaemon(settings, callers.PlatformCallers())
    daemon.start()
    stopped.wait()
    ended = daemon.drain()
    daemon.stop()
    return 0 if ended else 1


def _run_control(path: str) -> int:
    from croftpulley.platform import boot

    if not boot.read(path).has("dataDirectory"):
        return _run_redirector(path)
    from croftpulley.daemons import replica
    from croftpulley.platform import operators

    settings = boot.replica_settings(path)
    logs.set_up(settings.box, settings.log_level)
    stopped = _signals()
    daemon = replica.ReplicaDaemon(settings, operators.PlatformOperators())
    daemon.start()
    stopped.wait()
    daemon.stop()
    return 0


def _run_redirector(path: str) -> int:
    from croftpulley.daemons import redirector
    from croftpulley.platform import boot

    settings = boot.redirector_settings(path)
    logs.set_up(settings.box, settings.log_level)
    stopped = _signals()
    daemon = redirector.RedirectorDaemon(settings)
    daemon.start()
    stopped.wait()
    daemon.stop()
    return 0


def _signals() -> threading.Event:
    """Return an event that SIGTERM or SIGINT sets; SIGHUP is noted and changes nothing.

    All that a settings file can change while a process runs are the seeds, which it needs only at
    its start.
    """
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda _number, _frame: stopped.set())
    signal.signal(
        signal.SIGHUP, lambda _number, _frame: events.emit(_LOG, events.Event.SETTINGS_CHANGED)
    )
    return stopped
