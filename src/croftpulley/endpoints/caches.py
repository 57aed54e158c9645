"""Reading which parts of prompts an engine keeps."""

from __future__ import annotations

import abc

import attrs


@attrs.frozen
class KeptPart:
    """A part of a prompt that an engine keeps, and how many tokens of it."""

    part: str
    tokens: int


class CacheReader(abc.ABC):
    """Reads what one engine keeps."""

    @abc.abstractmethod
    def read(self, address: str) -> tuple[KeptPart, ...]:
        """Read the kept parts of the engine at ``address``.

        Raises `errors.CroftpulleyError`.
        """


class NoCaches(CacheReader):
    """For interfaces whose engines do not tell what they keep."""

    def read(self, address: str) -> tuple[KeptPart, ...]:
        """Return nothing."""
        return ()
