"""The pools of the newest configuration, parsed once for each version of it."""

from __future__ import annotations

import attrs

from croftpulley.controllers import agreement
from croftpulley.interfaces import base
from croftpulley.settings import fleet


@attrs.frozen
class _CachedPools:
    """The pools of one version of the configuration."""

    version: int = 0
    pools: tuple[fleet.Pool, ...] = ()


class ConfiguredPools:
    """Gives access to the pools of the newest configuration in the command log; thread-safe."""

    def __init__(self, log: agreement.CommandLog, document_format: base.DocumentFormat) -> None:
        self._command_log = log
        self._format = document_format
        self._cached = _CachedPools()

    def pools(self) -> tuple[fleet.Pool, ...]:
        """Return the pools; empty before the first configuration."""
        held = self._command_log.read().submissions.held
        cached = self._cached
        if cached.version != held.version:
            cached = _CachedPools(held.version, self._format.parse(held.document_json).pools)
            self._cached = cached
        return cached.pools

    def names(self) -> frozenset[str]:
        """Return the names of the pools."""
        return frozenset(pool.name for pool in self.pools())

    def cold_per_s(self) -> dict[str, float]:
        """Return the requests per second that a cold endpoint takes, for pools that set it."""
        return {pool.name: pool.cold_per_s for pool in self.pools() if pool.cold_per_s}
