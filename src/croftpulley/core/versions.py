"""A value with a number that stands for its content, so that it is sent only when it changed."""

from __future__ import annotations

from typing import Generic, TypeVar

import attrs
import xxhash

T = TypeVar("T")


def fingerprint(value: object) -> int:
    """Return a number that stands for the content; never 0, which says that nothing is known.

    >>> fingerprint(("a", 1)) == fingerprint(("a", 1)) != fingerprint(("a", 2))
    True
    """
    # Half the bits, so that the number survives JSON readers that use doubles.
    return (xxhash.xxh3_64_intdigest(repr(value).encode()) >> 12) + 1


@attrs.define
class Versioned(Generic[T]):
    """A value and its version, the same on every box that has the same value."""

    value: T
    version: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.version = fingerprint(self.value)

    def set(self, value: T) -> None:
        """Replace the value."""
        if value != self.value:
            self.value = value
            self.version = fingerprint(value)

    def unless(self, version: int) -> T | None:
        """Return the value, or ``None`` to one that has this version."""
        return None if version == self.version else self.value
