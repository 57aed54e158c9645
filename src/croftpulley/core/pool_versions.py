"""The software versions that the endpoints of each pool have, or had until lately; pure.

Part of the replicated state: a version is recorded before any box learns of an endpoint that has
it. So no leader, however new, takes a pool whose streams may come from two versions for one with a
single version.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

RESUMABLE_AFTER_UNLISTED_S = 120.0
"""How long after a version was last listed its streams may still be resumed: twice the longest time
limit of a route whose streams are ever settled (`router_state.MAX_SETTLED_TIME_LIMIT_S`)."""


@attrs.frozen(order=True)
class PoolVersion:
    """A pool and a software version that some of its endpoints have."""

    pool: str
    version: str


@attrs.frozen
class PoolVersionEntry:
    """A version of a pool; ``gone_at_wall_s`` is when it was first missing from the list."""

    pool_version: PoolVersion
    gone_at_wall_s: float | None = None

    def has_resumable_streams(self, now_wall_s: float) -> bool:
        """Tell whether streams of this version may still be resumed."""
        return (
            self.gone_at_wall_s is None
            or now_wall_s < self.gone_at_wall_s + RESUMABLE_AFTER_UNLISTED_S
        )


@attrs.frozen
class PoolVersions:
    """All versions that are listed or whose streams may still be resumed, sorted.

    >>> one, two = PoolVersion("llm", "v1"), PoolVersion("llm", "v2")
    >>> both = PoolVersions().with_listed([one], 0.0).with_listed([one, two], 1.0)
    >>> both.settled(1.0), both.differs_from([one, two])
    ({}, False)
    >>> after = both.with_listed([two], 2.0)
    >>> after.settled(121.0), after.settled(122.0)
    ({}, {'llm': 'v2'})
    """

    entries: tuple[PoolVersionEntry, ...] = ()

    def with_listed(self, listed: Iterable[PoolVersion], now_wall_s: float) -> PoolVersions:
        """Return the new set after a list with exactly these versions was read."""
        now_listed = frozenset(listed)
        known = {each.pool_version: each for each in self.entries}
        present = [PoolVersionEntry(each) for each in now_listed]
        gone = [
            each if each.gone_at_wall_s is not None else PoolVersionEntry(name, now_wall_s)
            for name, each in known.items()
            if name not in now_listed
        ]
        kept = [each for each in gone if each.has_resumable_streams(now_wall_s)]
        return PoolVersions(tuple(sorted(present + kept, key=lambda each: each.pool_version)))

    def differs_from(self, listed: Iterable[PoolVersion]) -> bool:
        """Tell whether a list has other versions than the last recorded one."""
        return self.listed_versions() != frozenset(listed)

    def listed_versions(self) -> frozenset[PoolVersion]:
        """Return the versions in the last recorded list."""
        return frozenset(each.pool_version for each in self.entries if each.gone_at_wall_s is None)

    def settled(self, now_wall_s: float) -> dict[str, str]:
        """Return the version of each pool whose resumable streams all have the same one."""
        found: dict[str, list[str]] = {}
        for each in self.entries:
            if each.has_resumable_streams(now_wall_s):
                found.setdefault(each.pool_version.pool, []).append(each.pool_version.version)
        return {pool: names[0] for pool, names in found.items() if len(names) == 1}


@attrs.define
class RecentVersions:
    """When each version was last in service as one leading control box saw it, by its own clock.

    What the replicated state has goes by the wall clock, which may be stepped, and lacks what was
    read but not committed yet.

    >>> one, two = PoolVersion("llm", "v1"), PoolVersion("llm", "v2")
    >>> recent = RecentVersions()
    >>> recent.saw([one], 0.0)
    >>> recent.saw([two], 1.0)
    >>> recent.without_mixed({"llm": "v2"}, 119.0), recent.without_mixed({"llm": "v2"}, 120.0)
    ({}, {'llm': 'v2'})
    """

    _seen_at_s: dict[PoolVersion, float] = attrs.field(factory=dict)

    def saw(self, found: Iterable[PoolVersion], at_s: float) -> None:
        """Note versions that were in service at ``at_s``; forget those of long ago."""
        self._seen_at_s = {
            name: seen_at_s
            for name, seen_at_s in self._seen_at_s.items()
            if at_s < seen_at_s + RESUMABLE_AFTER_UNLISTED_S
        }
        self._seen_at_s.update(dict.fromkeys(found, at_s))

    def without_mixed(self, settled: dict[str, str], now_s: float) -> dict[str, str]:
        """Return the pools of ``settled`` of which no other version was seen recently."""
        mixed = {
            name.pool
            for name, seen_at_s in self._seen_at_s.items()
            if now_s < seen_at_s + RESUMABLE_AFTER_UNLISTED_S
            and settled.get(name.pool, name.version) != name.version
        }
        return {pool: version for pool, version in settled.items() if pool not in mixed}
