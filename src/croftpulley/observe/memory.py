"""Logs how much memory this process takes, and what takes it, each time that has grown."""

from __future__ import annotations

import contextlib
import logging
import os
from collections.abc import Callable
from typing import Any

from croftpulley.observe import events

STEP_BYTES = 33_554_432
"""A sixth of the 200 MB that a small box has."""
_LOG = logging.getLogger(__name__)
_SIZES_PATH = "/proc/self/statm"
_RESIDENT_FIELD = 1
_MAX_SIZES_BYTES = 256


class MemoryWatch:
    """Logs each further `STEP_BYTES` of resident memory, with the fields of ``describe``.

    It needs Linux; elsewhere it logs nothing.
    """

    def __init__(self, describe: Callable[[], dict[str, Any]]) -> None:
        self._describe = describe
        self._page_bytes = os.sysconf("SC_PAGE_SIZE")
        self._sizes: int | None = None
        with contextlib.suppress(OSError):
            self._sizes = os.open(_SIZES_PATH, os.O_RDONLY)
        self._logged_steps = self.resident_bytes() // STEP_BYTES

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

    def close(self) -> None:
        """Free the descriptor."""
        if self._sizes is not None:
            os.close(self._sizes)
            self._sizes = None
