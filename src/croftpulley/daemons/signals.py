"""What signals mean to every program: a planned stop, and settings that changed."""

from __future__ import annotations

import signal
import threading
from collections.abc import Callable

_STOPS = (signal.SIGTERM, signal.SIGINT)


def stop_signal(on_change: Callable[[], None] | None = None) -> threading.Event:
    """Return an event that SIGTERM or SIGINT sets; those that follow change nothing.

    SIGHUP calls ``on_change``, which must return at once. Call it in the main thread.
    """
    stopped = threading.Event()
    for number in _STOPS:
        signal.signal(number, lambda _number, _frame: _stop(stopped))
    signal.signal(signal.SIGHUP, lambda _number, _frame: on_change() if on_change else None)
    return stopped


def _stop(stopped: threading.Event) -> None:
    """Begin a planned stop.

    Python gives signals their default meaning back while it ends: another one would then end the
    process as killed, after all its work was done (seeds 24 and 36 of the soak).
    """
    for number in (*_STOPS, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    stopped.set()
