"""The real programs as processes of their own, and what may be done to them from outside."""

from __future__ import annotations

import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import threading
import time

import orjson

_STOP_WAIT_S = 15.0
"""Beyond the grace of every program."""
_ENDING = (signal.SIGKILL, signal.SIGTERM, signal.SIGINT)
_MAIN = "from croftpulley.cli import main; main.main()"


class Program:
    """One program of the fleet: it may be stopped, killed, paused and started again."""

    def __init__(self, command: str, settings: dict, folder: pathlib.Path) -> None:
        self.name = settings["box"]
        self.settings = settings
        self._command = command
        self._path = folder / f"{self.name}.jsonc"
        self._log_path = folder / f"{self.name}.log"
        self._process: subprocess.Popen | None = None
        self._starting = threading.Lock()
        self.paused = False
        self.is_told_to_end = False
        self.starts = 0
        self._disturbed_s: list[float] = []

    @property
    def is_up(self) -> bool:
        """Tell whether it has loaded and serves since its last start."""
        written = self._log_path.read_text(errors="replace")
        return self.runs and written.count('"daemon_started"') >= self.starts

    @property
    def pid(self) -> int:
        """The process's id; it must have been started."""
        return self._process.pid

    @property
    def runs(self) -> bool:
        """Tell whether the process is there; a paused one is."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """The exit code of a process that has ended."""
        return self._process.poll()

    @property
    def has_ended_by_itself(self) -> bool:
        """Tell whether the process is gone though nobody ended it."""
        return self._process is not None and not (self.runs or self.is_told_to_end)

    def start(self, **changes) -> None:
        """Start, with the settings as they are now; troubles that overlap start it once."""
        with self._starting:
            if self.runs:
                return
            self.starts += 1
            self._disturb()
            self.settings |= changes
            self.write_settings()
            with self._log_path.open("ab") as log:
                self._process = subprocess.Popen(
                    [sys.executable, "-c", _MAIN, self._command, "--settings", str(self._path)],
                    stdout=log,
                    stderr=log,
                )
            self.is_told_to_end = False

    def write_settings(self) -> None:
        """Write the settings as they are now."""
        self._path.write_bytes(orjson.dumps(self.settings))

    def was_calm(self, since_s: float, until_s: float) -> bool:
        """Tell whether it was neither started, paused nor ended between two times."""
        return not any(since_s <= at_s <= until_s for at_s in self._disturbed_s)

    def _disturb(self) -> None:
        self._disturbed_s.append(time.monotonic())

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process alone."""
        if number is not signal.SIGHUP:
            self._disturb()
        if number in _ENDING:
            self.is_told_to_end = True
        if self.runs:
            # Another trouble may have ended it since.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._process.pid, number)

    def pause(self) -> None:
        """Freeze."""
        self.signal(signal.SIGSTOP)
        self.paused = True

    def wake(self) -> None:
        """End a pause."""
        self.signal(signal.SIGCONT)
        self.paused = False

    def kill(self) -> None:
        """End without warning."""
        self.wake()
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def terminate(self) -> int | None:
        """Stop as planned and return the exit code; ``None`` if it had to be killed."""
        self.wake()
        self.signal(signal.SIGTERM)
        try:
            return self._process.wait(_STOP_WAIT_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    def holds(self, socket_name: str) -> bool:
        """Tell whether this process has a socket open, by the name that the kernel gives it."""
        if not self.runs:
            return False
        try:
            opened = list(pathlib.Path(f"/proc/{self._process.pid}/fd").iterdir())
        except OSError:
            return False
        return any(_link(each) == socket_name for each in opened)

    def log_tail(self, lines: int = 20) -> str:
        """Return the end of what it wrote."""
        return "\n".join(self._log_path.read_text(errors="replace").splitlines()[-lines:])


def _link(path: pathlib.Path) -> str:
    try:
        return os.readlink(path)
    except OSError:
        # Closed since it was listed.
        return ""
