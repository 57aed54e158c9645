"""Logs how much memory this process takes, and what takes it, each time that has grown."""

from __future__ import annotations

import contextlib
import ctypes
import logging
import os
import threading
from collections.abc import Callable
from typing import Any

from croftpulley.observe import events

STEP_BYTES = 33_554_432
"""A sixth of the 200 MB that a small box has."""
_LOOK_INTERVAL_S = 0.1
_SHORT_SHARE = 0.8
"""Of the limit: memory of the system for this process counts too, and cannot be seen here."""
_SUFFICES_SHARE = 7 / 8
"""Of what is short; else each look could change it."""
_LOG = logging.getLogger(__name__)
_SIZES_PATH = "/proc/self/statm"
_RESIDENT_FIELD = 1
_STATUS_PATH = "/proc/self/status"
_PEAK_FIELD = "VmHWM:"
_MAX_SIZES_BYTES = 256


class MemoryWatch:
    """Logs each further `STEP_BYTES` of resident memory, with the fields of ``describe``.

    It needs Linux; elsewhere it logs nothing.
    """

    def __init__(self, describe: Callable[[], dict[str, Any]], limit_bytes: int = 0) -> None:
        """Watch against a limit of the process, 0 if none is known.

        A process that is small beside a limit too low for it may still grow by one step.
        """
        self._describe = describe
        self._page_bytes = os.sysconf("SC_PAGE_SIZE")
        self._sizes: int | None = None
        with contextlib.suppress(OSError):
            self._sizes = os.open(_SIZES_PATH, os.O_RDONLY)
        resident_bytes = self.resident_bytes()
        self._logged_steps = resident_bytes // STEP_BYTES
        self._limit_bytes = limit_bytes
        self._short_bytes = max(int(limit_bytes * _SHORT_SHARE), resident_bytes + STEP_BYTES)
        self._is_short = False

    @property
    def is_short(self) -> bool:
        """Tell whether the process was near its limit when that was last looked at."""
        return self._is_short

    def resident_bytes(self) -> int:
        """Return the memory that this process takes now, 0 if the system does not tell."""
        if self._sizes is None:
            return 0
        fields = os.pread(self._sizes, _MAX_SIZES_BYTES, 0).split()
        return int(fields[_RESIDENT_FIELD]) * self._page_bytes

    def look(self) -> None:
        """Look once; after a shrink of more than a step, the same size is logged again."""
        resident_bytes = self.resident_bytes()
        steps = resident_bytes // STEP_BYTES
        if steps > self._logged_steps:
            events.emit(
                _LOG,
                events.Event.MEMORY_GROWN,
                level=logging.WARNING,
                resident_bytes=resident_bytes,
                **self._describe(),
            )
        if steps > self._logged_steps or steps < self._logged_steps - 1:
            self._logged_steps = steps
        if self._limit_bytes:
            self._look_at_limit(resident_bytes)

    def _look_at_limit(self, resident_bytes: int) -> None:
        bound_bytes = self._short_bytes * (_SUFFICES_SHARE if self._is_short else 1)
        if resident_bytes > bound_bytes:
            _give_back()
            resident_bytes = self.resident_bytes()
        is_short = resident_bytes > bound_bytes
        if is_short == self._is_short:
            return
        self._is_short = is_short
        events.emit(
            _LOG,
            events.Event.MEMORY_SHORT if is_short else events.Event.MEMORY_SUFFICES,
            level=logging.ERROR if is_short else logging.INFO,
            resident_bytes=resident_bytes,
            limit_bytes=self._limit_bytes,
            **self._describe(),
        )

    def close(self) -> None:
        """Free the descriptor."""
        if self._sizes is not None:
            os.close(self._sizes)
            self._sizes = None


class MemoryThread:
    """Looks at the memory of a process that has nothing else to do so."""

    def __init__(self, watch: MemoryWatch) -> None:
        self._watch = watch
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="memory", daemon=True)

    def start(self) -> None:
        """Begin to look."""
        self._thread.start()

    def stop(self) -> None:
        """Look no more; may be called before `start`."""
        self._stopped.set()
        if self._thread.is_alive():
            self._thread.join(_LOOK_INTERVAL_S)

    def _run(self) -> None:
        while not self._stopped.wait(_LOOK_INTERVAL_S):
            try:
                self._watch.look()
            except Exception as failure:
                events.emit(_LOG, events.Event.INTERNAL_ERROR, level=logging.ERROR, failure=failure)
        self._watch.close()


def peak_bytes() -> int:
    """Return the most memory that this process has taken, 0 if the system does not tell."""
    with contextlib.suppress(OSError), open(_STATUS_PATH, encoding="ascii") as status:
        for line in status:
            if line.startswith(_PEAK_FIELD):
                return int(line.split()[1]) * 1024
    return 0


def _give_back() -> None:
    """Have the allocator give what is free back to the system, where it can."""
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).malloc_trim(0)
