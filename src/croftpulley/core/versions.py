"""A value with a hash of its content as version, so that it is sent only when it has changed."""

from __future__ import annotations

from typing import Generic, TypeVar

import attrs
import xxhash

T = TypeVar("T")


def fingerprint(value: object) -> int:
    """Return a hash of the value's ``repr``; never 0, which stands for an unknown version.

    >>> fingerprint(("a", 1)) == fingerprint(("a", 1)) != fingerprint(("a", 2))
    True
    """
    # 52 bits, so that JSON readers which use doubles keep the exact number.
    return (xxhash.xxh3_64_intdigest(repr(value).encode()) >> 12) + 1


@attrs.define
class Versioned(Generic[T]):
    """A value and its version, which is the same on every box with an equal value."""

    value: T
    version: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.version = fingerprint(self.value)

    def set(self, value: T) -> None:
        """Replace the value; the version changes if the value does."""
        if value != self.value:
            self.value = value
            self.version = fingerprint(value)

    def if_changed(self, version: int) -> T | None:
        """Return the value, or ``None`` for a recipient that already has this version."""
        return None if version == self.version else self.value
