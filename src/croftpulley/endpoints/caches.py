"""Reading which parts of prompts an engine keeps."""

from __future__ import annotations

import abc

import attrs

from croftpulley.core import membership


@attrs.frozen
class KeptPart:
    """A part of a prompt that an engine keeps, and how many tokens of it."""

    part: str
    tokens: int


class CacheReader(abc.ABC):
    """Reads what one engine keeps."""

    @abc.abstractmethod
    def read(self, engine: membership.Endpoint) -> tuple[KeptPart, ...]:
        """Read the kept parts of an engine.

        Raises `errors.CroftpulleyError`, also where another life of it answers.
        """


class NoCaches(CacheReader):
    """For interfaces whose engines do not tell what they keep."""

    def read(self, engine: membership.Endpoint) -> tuple[KeptPart, ...]:
        """Return nothing."""
        return ()
