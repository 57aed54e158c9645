"""Which changes of settings a running program applies, and which need a restart."""

from __future__ import annotations

from typing import Any

import attrs

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
