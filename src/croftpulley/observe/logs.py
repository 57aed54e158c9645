"""Structured logs: one JSON object a line on standard output, bounded, and never waited for."""

from __future__ import annotations

import atexit
import logging
import queue
import sys
import threading
import time
from typing import TextIO

from pythonjsonlogger import json as json_log

from croftpulley import errors
from croftpulley.core import log_budget
from croftpulley.observe import events

_LOG = logging.getLogger(__name__)
_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"
_RENAMED = {"asctime": "time", "levelname": "level", "name": "logger"}
LINES_A_S = 400
"""A router of the users' sites writes about 20 lines a second on an ordinary day."""
_WAITING_LINES = 2000
"""Lines that may wait for a slow reader of standard output; beyond them lines are left out."""
_CLOSE_S = 1.0


class BoundedHandler(logging.Handler):
    """Hands lines to a writer thread; leaves out what is beyond the budget and says how much."""

    def __init__(self, stream: TextIO, lines_a_s: int = LINES_A_S) -> None:
        super().__init__()
        self._stream = stream
        self._budget = log_budget.LogBudget(lines_a_s)
        self._waiting: queue.Queue[logging.LogRecord | None] = queue.Queue(_WAITING_LINES)
        self._overflowed = 0
        self._thread = threading.Thread(target=self._write_all, name="logs", daemon=True)
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line if it is within the budget; called with the handler's lock held."""
        if not self._budget.take(record.levelno, time.monotonic()):
            return
        left_out = self._budget.left_out() + self._overflowed
        self._overflowed = 0
        try:
            if left_out:
                self._waiting.put_nowait(_summary(left_out))
            self._waiting.put_nowait(record)
        except queue.Full:
            self._overflowed = left_out + 1

    def close(self) -> None:
        """Write what waits and end the thread."""
        try:
            self._waiting.put(None, timeout=_CLOSE_S)
        except queue.Full:
            # Nobody reads standard output; the daemon thread ends with the process.
            return
        finally:
            super().close()
        self._thread.join(_CLOSE_S)

    def _write_all(self) -> None:
        while (record := self._waiting.get()) is not None:
            try:
                self._stream.write(f"{self.format(record)}\n")
                if self._waiting.empty():
                    self._stream.flush()
            except (OSError, ValueError):
                # Standard output is gone; there is nowhere left to say so.
                return


def _summary(left_out: int) -> logging.LogRecord:
    event = events.Event.LOG_LINES_LEFT_OUT
    record = _LOG.makeRecord(
        _LOG.name, logging.WARNING, "", 0, events.MEANINGS[event], (), None,
        extra={"event": event.value, "event_name": event.name.lower(), "lines": left_out},
    )  # fmt: skip
    return record


class AlreadyTold(logging.Filter):
    """Leaves out an error that ended an answer on purpose: its request has a line with its code.

    The server can only be told by raising it, and would log all of its causes.
    """

    def filter(self, record: logging.LogRecord) -> bool:
        """Tell whether the line says something new."""
        cause = record.exc_info[1] if record.exc_info else None
        return not isinstance(cause, errors.CroftpulleyError)


def set_level(level: str) -> None:
    """Have lines below ``level`` left out from now on."""
    logging.getLogger().setLevel(level)


def set_up(box: str, level: str) -> None:
    """Send all logging to standard output as JSON lines that carry the ``box``."""
    formatter = json_log.JsonFormatter(_FIELDS, rename_fields=_RENAMED, static_fields={"box": box})
    handler = BoundedHandler(sys.stdout)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    set_level(level)
    atexit.register(handler.close)
    # These libraries log every refused connection; ours say the same with a numbered event.
    logging.getLogger("urllib3").setLevel(logging.ERROR)
    waitress_log = logging.getLogger("waitress")
    waitress_log.setLevel(logging.ERROR)
    waitress_log.filters[:] = [AlreadyTold()]
    logging.getLogger("pykka").setLevel(logging.WARNING)
