"""Starts a program as the platform does: its settings file is named in the environment."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from typing import Any

from croftpulley import codes, errors
from croftpulley.observe import logs

_BOOT_VARIABLE = "CROFTPULLEY_BOOT"


def main(arguments: list[str]) -> int:
    """Run ``entry`` or ``control`` until SIGTERM; return the exit code."""
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
    from croftpulley.daemons import router, settings_watch, signals, start_up
    from croftpulley.platform import boot, callers

    watch = settings_watch.SettingsWatch(path, lambda: boot.router_settings(path))
    logs.set_up(watch.in_use.box, watch.in_use.log_level)

    def run() -> int:
        stop = signals.StopSignal(watch.signalled)
        daemon = router.RouterDaemon(watch.in_use, callers.PlatformCallers())
        watch.begin(daemon.use_settings)
        start_up.finish()
        return daemon.run(stop)

    return logs.run(run)


def _run_control(path: str) -> int:
    from croftpulley.platform import boot

    if not boot.read(path).has("dataDirectory"):
        return _run_redirector(path)
    from croftpulley.daemons import replica, settings_watch
    from croftpulley.platform import operators

    watch = settings_watch.SettingsWatch(path, lambda: boot.replica_settings(path))
    interface = operators.PlatformOperators()
    return _serve_control_box(watch, lambda: replica.ReplicaDaemon(watch.in_use, interface))


def _run_redirector(path: str) -> int:
    from croftpulley.daemons import redirector, settings_watch
    from croftpulley.platform import boot

    watch = settings_watch.SettingsWatch(path, lambda: boot.redirector_settings(path))
    return _serve_control_box(watch, lambda: redirector.RedirectorDaemon(watch.in_use))


def _serve_control_box(watch: Any, make: Callable[[], Any]) -> int:
    """Serve until SIGTERM, with a disk or without; return the exit code."""
    from croftpulley.daemons import signals, start_up

    logs.set_up(watch.in_use.box, watch.in_use.log_level)

    def run() -> int:
        stop = signals.StopSignal(watch.signalled)
        daemon = make()
        watch.begin(daemon.use_settings)
        start_up.finish()
        daemon.start()
        stop.wait()
        daemon.stop()
        return 0

    return logs.run(run)
