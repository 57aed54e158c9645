"""Which changes of settings a running program applies, and which need a restart."""

from __future__ import annotations

from typing import Any

import attrs

USED_AT_ONCE = frozenset({"control_addresses", "log_level", "seeds", "targets"})
"""Settings that a running program reloads: where it finds control boxes, and what it logs. All
others name sockets, files and limits that it sets up once, at its start."""


@attrs.frozen
class Changes:
    """Names of the settings that differ: those applied at once and those that need a restart."""

    at_once: tuple[str, ...] = ()
    at_restart: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        """Return whether any setting differs."""
        return bool(self.at_once or self.at_restart)


def between(before: Any, after: Any) -> Changes:
    """Compare two settings objects of one class.

    >>> @attrs.frozen
    ... class Example:
    ...     seeds: str
    ...     box: str = "a"
    >>> between(Example("x"), Example("y", "b"))
    Changes(at_once=('seeds',), at_restart=('box',))
    """
    differing = [
        field.name
        for field in attrs.fields(type(after))
        if getattr(before, field.name) != getattr(after, field.name)
    ]
    return Changes(
        at_once=tuple(name for name in differing if name in USED_AT_ONCE),
        at_restart=tuple(name for name in differing if name not in USED_AT_ONCE),
    )


def used(in_use: Any, after: Any) -> Any:
    """Return ``in_use`` with the reloadable settings of ``after``."""
    changed = between(in_use, after).at_once
    return attrs.evolve(in_use, **{name: getattr(after, name) for name in changed})
