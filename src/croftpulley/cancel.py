"""Cancellation of a request from another thread, with a reason."""

from __future__ import annotations

import threading
from collections.abc import Callable

from croftpulley import codes, errors


class CancelToken:
    """Cancels a request and runs callbacks; the first cancellation's reason is kept."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._reason: codes.ResultCode | None = None
        self._callbacks: list[Callable[[], None]] = []

    @property
    def reason(self) -> codes.ResultCode | None:
        """The reason of the cancellation, or ``None`` if not cancelled."""
        return self._reason

    def cancel(self, reason: codes.ResultCode) -> bool:
        """Cancel and run the callbacks in this thread; return whether this call was the first."""
        with self._lock:
            if self._reason is not None:
                return False
            self._reason = reason
            callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            callback()
        return True

    def on_cancel(self, callback: Callable[[], None]) -> None:
        """Run ``callback`` on cancellation, or immediately if already cancelled."""
        with self._lock:
            if self._reason is None:
                self._callbacks.append(callback)
                return
        callback()

    def remove_callback(self, callback: Callable[[], None]) -> None:
        """Remove ``callback`` if it is registered."""
        with self._lock:
            if callback in self._callbacks:
                self._callbacks.remove(callback)

    def check(self) -> None:
        """Raise `errors.CroftpulleyError` with the reason if cancelled."""
        if self._reason is not None:
            raise errors.CroftpulleyError(self._reason)
