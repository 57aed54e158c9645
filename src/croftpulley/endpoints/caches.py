"""Reading which prompt parts an engine has in its cache."""

from __future__ import annotations

import abc

import attrs

from croftpulley.core import membership


@attrs.frozen
class CachedPart:
    """A prompt part in an engine's cache, and how many of its tokens are cached."""

    part_id: str
    tokens: int


class CacheReader(abc.ABC):
    """Reads the cached prompt parts of an engine."""

    @abc.abstractmethod
    def read(self, engine: membership.Endpoint) -> tuple[CachedPart, ...]:
        """Return the prompt parts in the engine's cache.

        Raises `errors.CroftpulleyError`, also if another incarnation of the engine answers.
        """


class NoCacheReader(CacheReader):
    """For interfaces whose engines do not report their cache."""

    def read(self, engine: membership.Endpoint) -> tuple[CachedPart, ...]:
        """Return nothing."""
        return ()
