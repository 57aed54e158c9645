"""The pools of the newest configuration, read once for each version of it."""

from __future__ import annotations

import attrs

from croftpulley.controllers import agreement
from croftpulley.settings import fleet, formats


@attrs.frozen
class _Read:
    version: int = 0
    pools: tuple[fleet.Pool, ...] = ()


class ConfiguredPools:
    """Any thread may ask."""

    def __init__(self, log: agreement.CommandLog, document_format: formats.DocumentFormat) -> None:
        self._command_log = log
        self._format = document_format
        self._read = _Read()

    def pools(self) -> tuple[fleet.Pool, ...]:
        """Return the pools; none before the first configuration."""
        held = self._command_log.read().submissions.held
        read = self._read
        if read.version != held.version:
            read = _Read(held.version, self._format.parse(held.document_json).pools)
            self._read = read
        return read.pools

    def names(self) -> frozenset[str]:
        """Return the names of the pools."""
        return frozenset(pool.name for pool in self.pools())

    def cold_per_s(self) -> dict[str, float]:
        """Return how many requests a second a cold endpoint takes, of pools where that is told."""
        return {pool.name: pool.cold_per_s for pool in self.pools() if pool.cold_per_s}
