"""Starts a program as the platform does: its settings file is named in the environment."""

from __future__ import annotations

import os
import sys

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
    from croftpulley.daemons import router, signals
    from croftpulley.platform import boot, callers

    settings = boot.router_settings(path)
    logs.set_up(settings.box, settings.log_level)
    stopped = signals.stop_signal()
    daemon = router.RouterDaemon(settings, callers.PlatformCallers())
    return daemon.run(stopped)


def _run_control(path: str) -> int:
    from croftpulley.platform import boot

    if not boot.read(path).has("dataDirectory"):
        return _run_redirector(path)
    from croftpulley.daemons import replica, signals
    from croftpulley.platform import operators

    settings = boot.replica_settings(path)
    logs.set_up(settings.box, settings.log_level)
    stopped = signals.stop_signal()
    daemon = replica.ReplicaDaemon(settings, operators.PlatformOperators())
    daemon.start()
    stopped.wait()
    daemon.stop()
    return 0


def _run_redirector(path: str) -> int:
    from croftpulley.daemons import redirector, signals
    from croftpulley.platform import boot

    settings = boot.redirector_settings(path)
    logs.set_up(settings.box, settings.log_level)
    stopped = signals.stop_signal()
    daemon = redirector.RedirectorDaemon(settings)
    daemon.start()
    stopped.wait()
    daemon.stop()
    return 0
