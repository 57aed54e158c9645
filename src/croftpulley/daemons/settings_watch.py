"""Follows the settings file of a running program: one reader, told by SIGHUP or by the file.

Some changes are applied at once, the others need a restart.
"""

from __future__ import annotations

import logging
import os
import queue
import threading
from collections.abc import Callable
from typing import Any, Generic, TypeVar

import attrs

from croftpulley import errors
from croftpulley.observe import events, logs

T = TypeVar("T")
_LOG = logging.getLogger(__name__)
LOOK_INTERVAL_S = 1.0
"""How often the file is looked at. It may change without a signal; control boxes that it names anew
are needed within the seconds that a lease lasts, and a look is one call of the system."""
_CLOSE_S = 1.0
RELOADABLE_SETTINGS = frozenset({"control_addresses", "log_level", "seeds", "targets"})
"""Settings that a running program reloads: where it finds control boxes, and what it logs. All
others name sockets, files and limits that it sets up once, at its start."""


@attrs.frozen
class SettingsChanges:
    """Names of the settings that differ: those applied at once and those that need a restart."""

    applied_at_once: tuple[str, ...] = ()
    need_restart: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        """Return whether any setting differs."""
        return bool(self.applied_at_once or self.need_restart)


def compare(before: Any, after: Any) -> SettingsChanges:
    """Compare two settings objects of one class.

    >>> @attrs.frozen
    ... class Example:
    ...     seeds: str
    ...     box: str = "a"
    >>> compare(Example("x"), Example("y", "b"))
    SettingsChanges(applied_at_once=('seeds',), need_restart=('box',))
    """
    differing = [
        field.name
        for field in attrs.fields(type(after))
        if getattr(before, field.name) != getattr(after, field.name)
    ]
    return SettingsChanges(
        applied_at_once=tuple(name for name in differing if name in RELOADABLE_SETTINGS),
        need_restart=tuple(name for name in differing if name not in RELOADABLE_SETTINGS),
    )


def apply_reloadable(in_use: Any, after: Any) -> Any:
    """Return ``in_use`` with the reloadable settings of ``after``."""
    changed = compare(in_use, after).applied_at_once
    return attrs.evolve(in_use, **{name: getattr(after, name) for name in changed})


class SettingsWatch(Generic[T]):
    """Reads the settings, and reads them again when they may have changed.

    A file that is not valid, such as one that is half written, is told once and changes nothing.
    """

    def __init__(self, path: str, read: Callable[[], T]) -> None:
        """Read the settings for the start; raises `errors.SettingsErrorGroup`."""
        self._path = path
        self._read = read
        # Before the reading: a change between the two is then seen as one.
        self._stamp = _stamp(path)
        self.in_use: T = read()
        self._apply: Callable[[T], None] = lambda _settings: None
        # A signal handler may run within another; this queue alone can be put to in both.
        self._asked: queue.SimpleQueue[bool] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._follow, name="settings", daemon=True)

    def begin(self, apply: Callable[[T], None]) -> None:
        """Follow the file; ``apply`` gets the settings when some are to be used at once."""
        self._apply = apply
        self._thread.start()

    def signalled(self) -> None:
        """Note that the process was told of a change; may be called in a signal handler."""
        self._asked.put(True)

    def stop(self) -> None:
        """Follow the file no more."""
        self._asked.put(False)
        if self._thread.is_alive():
            self._thread.join(_CLOSE_S)

    def _follow(self) -> None:
        while True:
            try:
                if not self._asked.get(timeout=LOOK_INTERVAL_S):
                    return
                is_asked = True
            except queue.Empty:
                is_asked = False
            try:
                self.look(is_asked=is_asked)
            except Exception as failure:
                events.emit(_LOG, events.Event.INTERNAL_ERROR, level=logging.ERROR, failure=failure)

    def look(self, *, is_asked: bool) -> None:
        """Read the file if it has changed, or if the process was told so."""
        stamp = _stamp(self._path)
        if stamp == self._stamp and not is_asked:
            return
        self._stamp = stamp
        try:
            read = self._read()
        except errors.SettingsErrorGroup as group:
            _tell(SettingsChanges(), "; ".join(str(fault) for fault in group.exceptions))
            return
        found = compare(self.in_use, read)
        if found.applied_at_once:
            self.in_use = apply_reloadable(self.in_use, read)
            logs.set_level(_level(self.in_use))
            self._apply(self.in_use)
        if found or is_asked:
            _tell(found)


def _level(settings: Any) -> str:
    return str(settings.log_level)


def _stamp(path: str) -> tuple[int, ...]:
    """Return what differs once a file is written or replaced; nothing for one that is not there."""
    try:
        status = os.stat(path)
    except OSError:
        return ()
    return (status.st_mtime_ns, status.st_size, status.st_ino)


def _tell(found: SettingsChanges, problem: str = "") -> None:
    events.emit(
        _LOG,
        events.Event.SETTINGS_CHANGED,
        level=logging.ERROR if problem else logging.INFO,
        problem=problem,
        used_at_once=list(found.applied_at_once),
        waits_for_restart=list(found.need_restart),
    )
