"""A way to stop a request from another thread, with the reason."""

from __future__ import annotations

import threading
from collections.abc import Callable

from croftpulley import codes, errors


class CancelToken:
    """Cancelled at most once; the first reason stays."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._reason: codes.ResultCode | None = None
        self._callbacks: list[Callable[[], None]] = []

    @property
    def reason(self) -> codes.ResultCode | None:
        """Why the request was cancelled, or ``None`` while it was not."""
        return self._reason

    def cancel(self, reason: codes.ResultCode) -> bool:
        """Cancel and run the callbacks; return whether this call was the first."""
        with self._lock:
            if self._reason is not None:
                return False
            self._reason = reason
            callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            callback()
        return True

    def on_cancel(self, callback: Callable[[], None]) -> None:
        """Run ``callback`` when cancelled, at once if that was before."""
        with self._lock:
            if self._reason is None:
                self._callbacks.append(callback)
                return
        callback()

    def forget(self, callback: Callable[[], None]) -> None:
        """Run ``callback`` no more."""
        with self._lock:
            if callback in self._callbacks:
                self._callbacks.remove(callback)

    def check(self) -> None:
        """Raise `errors.CroftpulleyError` with the reason if cancelled."""
        if self._reason is not None:
            raise errors.CroftpulleyError(self._reason)
