"""What signals mean to every program: a planned stop, and settings that changed.

The system hands a signal for a process to any of its threads. Python notes it there, but runs its
handler in the main thread alone, and nothing wakes a main thread that waits on a lock. So the main
thread waits for the bytes that Python writes whenever it notes a signal, in whichever thread.
"""

from __future__ import annotations

import os
import signal
from collections.abc import Callable
from typing import Any

_STOPS = (signal.SIGTERM, signal.SIGINT)


class StopSignal:
    """A planned stop that SIGTERM or SIGINT begins; signals that follow change nothing.

    SIGHUP calls ``on_change``, which must return at once. Make it in the main thread, once.
    """

    def __init__(self, on_change: Callable[[], None] | None = None) -> None:
        self._has_begun = False
        self._on_change = on_change
        self._notes, writer = os.pipe()
        # A signal must never wait for room, which is there for thousands of them.
        os.set_blocking(writer, False)
        signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
        for number in _STOPS:
            signal.signal(number, self._begin)
        signal.signal(signal.SIGHUP, self._change)

    def is_set(self) -> bool:
        """Tell whether the stop has begun."""
        return self._has_begun

    def wait(self) -> None:
        """Wait in the main thread until the stop begins."""
        while not self._has_begun:
            (number,) = os.read(self._notes, 1)
            if number in _STOPS:
                self._begin()

    def _begin(self, *_signal: Any) -> None:
        """Begin the stop; a second call changes nothing.

        Python gives signals their default meaning back while it ends: another one would then end
        the process as killed, after all its work was done.
        """
        for number in (*_STOPS, signal.SIGHUP):
            signal.signal(number, signal.SIG_IGN)
        self._has_begun = True

    def _change(self, *_signal: Any) -> None:
        if self._on_change is not None:
            self._on_change()
