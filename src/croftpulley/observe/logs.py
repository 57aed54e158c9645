"""Structured logs: one JSON object per line on standard output.

The rate of lines is limited, and logging never blocks the caller.
"""

from __future__ import annotations

import atexit
import logging
import queue
import sys
import threading
import time
from collections.abc import Callable
from typing import TextIO

import attrs
from pythonjsonlogger import json as json_log

from croftpulley import codes, errors
from croftpulley.observe import events

_LOG = logging.getLogger(__name__)
_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
_FIELD_NAMES = {"asctime": "time", "levelname": "level", "name": "logger"}
MAX_LINES_PER_S = 400
"""Limit on log lines per second; a router of the users' sites normally writes about 20."""
_MAX_QUEUED_LINES = 2000
"""Lines queued for a slow reader of standard output; further lines are dropped and counted."""
_CLOSE_TIMEOUT_S = 1.0


@attrs.define
class LogBudget:
    """Limits log lines per second: warnings and errors may use twice the limit of ordinary lines.

    >>> budget = LogBudget(lines_per_s=1)
    >>> [budget.take(logging.INFO, 0.0), budget.take(logging.INFO, 0.1)]
    [True, False]
    >>> budget.take(logging.WARNING, 0.2), budget.left_out()
    (True, 1)
    """

    lines_per_s: int
    _second: int = -1
    _written: int = 0
    _left_out: int = 0

    def take(self, level: int, now_s: float) -> bool:
        """Count a line and return whether it is within the budget."""
        if int(now_s) != self._second:
            self._second = int(now_s)
            self._written = 0
        limit = self.lines_per_s if level < logging.WARNING else 2 * self.lines_per_s
        if self._written >= limit:
            self._left_out += 1
            return False
        self._written += 1
        return True

    def left_out(self) -> int:
        """Return how many lines were dropped since the last call."""
        count, self._left_out = self._left_out, 0
        return count


class BoundedHandler(logging.Handler):
    """Passes records to a writer thread; drops those beyond the budget and logs their number."""

    def __init__(self, stream: TextIO, max_lines_per_s: int = MAX_LINES_PER_S) -> None:
        super().__init__()
        self._stream = stream
        self._budget = LogBudget(max_lines_per_s)
        self._queue: queue.Queue[logging.LogRecord | None] = queue.Queue(_MAX_QUEUED_LINES)
        self._overflow_count = 0
        self._thread = threading.Thread(target=self._write_all, name="logs", daemon=True)
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record if it is within the budget; called with the handler's lock held."""
        if not self._budget.take(record.levelno, time.monotonic()):
            return
        left_out = self._budget.left_out() + self._overflow_count
        self._overflow_count = 0
        try:
            if left_out:
                self._queue.put_nowait(_left_out_record(left_out))
            self._queue.put_nowait(record)
        except queue.Full:
            self._overflow_count = left_out + 1

    def close(self) -> None:
        """Write the queued records and stop the thread, within about two timeouts."""
        try:
            self._queue.put(None, timeout=_CLOSE_TIMEOUT_S)
        except queue.Full:
            # Standard output isn't being read; the daemon thread ends with the process.
            return
        finally:
            super().close()
        self._thread.join(_CLOSE_TIMEOUT_S)

    def _write_all(self) -> None:
        unwritten = 0
        while (record := self._queue.get()) is not None:
            lines = [_left_out_record(unwritten), record] if unwritten else [record]
            try:
                for each in lines:
                    self._stream.write(f"{self._line(each)}\n")
                if self._queue.empty():
                    self._stream.flush()
                unwritten = 0
            except ValueError:
                # Standard output is closed, so the error can't be reported.
                return
            except OSError:
                # It may be a disk that is full for a while.
                unwritten += 1

    def _line(self, record: logging.LogRecord) -> str:
        try:
            return self.format(record)
        except Exception as failure:
            return self.format(_unformatted_record(record, failure))


def _left_out_record(left_out: int) -> logging.LogRecord:
    event = events.Event.LOG_LINES_LEFT_OUT
    record = _LOG.makeRecord(
        _LOG.name, logging.WARNING, "", 0, events.MEANINGS[event], (), None,
        extra={"event": event.value, "event_name": event.name.lower(), "lines": left_out},
    )  # fmt: skip
    return record


def _unformatted_record(record: logging.LogRecord, failure: Exception) -> logging.LogRecord:
    event = events.Event.INTERNAL_ERROR
    return _LOG.makeRecord(
        record.name, logging.ERROR, "", 0, events.MEANINGS[event], (), None,
        extra={
            "event": event.value,
            "event_name": event.name.lower(),
            "problem": f"a line could not be formatted: {type(failure).__name__}",
        },
    )  # fmt: skip


class ReportedErrorFilter(logging.Filter):
    """Drops tracebacks of `errors.CroftpulleyError`, which its request's own line reports.

    An answer can be broken off on purpose only by raising an error into the server, which would
    log it with all of its causes.
    """

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the record reports anything but an `errors.CroftpulleyError`."""
        cause = record.exc_info[1] if record.exc_info else None
        return not isinstance(cause, errors.CroftpulleyError)


def set_level(level: str) -> None:
    """Drop records below ``level`` from now on."""
    logging.getLogger().setLevel(level)


def run(program: Callable[[], int]) -> int:
    """Run a program after `set_up` and return its exit code; an error that ends it is logged.

    The exit code is then that of the error (``docs/RESULT-CODES.md``).
    """
    try:
        return program()
    except Exception as failure:
        own = isinstance(failure, errors.CroftpulleyError)
        code = failure.code if own else codes.ResultCode.INTERNAL  # type: ignore[attr-defined]
        events.emit(
            _LOG,
            events.Event.DAEMON_FAILED,
            level=logging.CRITICAL,
            failure=failure,
            problem=f"{type(failure).__name__}: {failure}",
            exit_code=code.value,
        )
        return code.value


def _log_thread_end(ended: threading.ExceptHookArgs) -> None:
    events.emit(
        _LOG,
        events.Event.INTERNAL_ERROR,
        level=logging.ERROR,
        failure=ended.exc_value,
        thread=ended.thread.name if ended.thread else "",
    )


def set_up(box: str, level: str) -> None:
    """Send all logging to standard output, as JSON lines with the name of the ``box``."""
    formatter = json_log.JsonFormatter(
        _FORMAT, rename_fields=_FIELD_NAMES, static_fields={"box": box}
    )
    handler = BoundedHandler(sys.stdout)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    set_level(level)
    atexit.register(handler.close)
    threading.excepthook = _log_thread_end
    # These libraries log every refused connection, for which we log a numbered event.
    logging.getLogger("urllib3").setLevel(logging.ERROR)
    waitress_log = logging.getLogger("waitress")
    waitress_log.setLevel(logging.ERROR)
    waitress_log.filters[:] = [ReportedErrorFilter()]
    logging.getLogger("pykka").setLevel(logging.WARNING)
