"""What wakes the loop of an HTTP server from other threads, also while that loop ends."""

from __future__ import annotations

import threading
from typing import Any

import waitress.trigger


class Wakeup(waitress.trigger.trigger):
    """A trigger that does nothing once it is closed.

    Every thread that answers pulls it, and the loop closes it. The library's own writes to its
    descriptor unasked: after the close that fails, or reaches whoever has opened the same number.
    """

    def __init__(self, sockets: Any) -> None:
        self._pull_lock = threading.Lock()
        super().__init__(sockets)

    def _close(self) -> None:
        with self._pull_lock:
            super()._close()  # type: ignore[misc]

    def _physical_pull(self) -> None:
        with self._pull_lock:
            if not self._closed:  # type: ignore[attr-defined]
                super()._physical_pull()  # type: ignore[misc]
