"""Which versions of software the endpoints of each pool have, and had lately; pure.

Part of the agreed state: a version is in it before any box is told of an endpoint that has it, so
that no leader, however new, takes a pool for one of a single version whose streams may have begun
at two.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable

import attrs

OUTLIVED_S = 120.0
"""How long after a version was last listed streams that it began may still be taken up: twice the
longest time limit of a route whose streams are ever settled (`router_state.LONGEST_SETTLED_S`)."""


@attrs.frozen(order=True)
class PoolVersion:
    """A version that endpoints of a pool have."""

    pool: str
    version: str


@attrs.frozen
class Entry:
    """A version that endpoints of a pool have, or had until the time given."""

    pool_version: PoolVersion
    gone_at_wall_s: float | None = None

    def may_be_taken_up(self, now_wall_s: float) -> bool:
        """Tell whether streams that it began may still be taken up."""
        return self.gone_at_wall_s is None or now_wall_s < self.gone_at_wall_s + OUTLIVED_S


@attrs.frozen
class PoolVersions:
    """All of them, in the order of their names.

    >>> one, two = PoolVersion("llm", "v1"), PoolVersion("llm", "v2")
    >>> both = PoolVersions().with_listed([one], 0.0).with_listed([one, two], 1.0)
    >>> both.mixed(1.0), both.lacks([one, two])
    (('llm',), False)
    >>> after = both.with_listed([two], 2.0)
    >>> after.mixed(121.0), after.mixed(122.0)
    (('llm',), ())
    """

    entries: tuple[Entry, ...] = ()

    def with_listed(self, listed: Iterable[PoolVersion], now_wall_s: float) -> PoolVersions:
        """Return what holds once a list with just these versions was read."""
        now_listed = frozenset(listed)
        known = {each.pool_version: each for each in self.entries}
        present = [Entry(each) for each in now_listed]
        gone = [
            each if each.gone_at_wall_s is not None else Entry(name, now_wall_s)
            for name, each in known.items()
            if name not in now_listed
        ]
        kept = [each for each in gone if each.may_be_taken_up(now_wall_s)]
        return PoolVersions(tuple(sorted(present + kept, key=lambda each: each.pool_version)))

    def lacks(self, listed: Iterable[PoolVersion]) -> bool:
        """Tell whether a list says something else than the newest one that is known."""
        return self.present() != frozenset(listed)

    def present(self) -> frozenset[PoolVersion]:
        """Return the versions that were listed last."""
        return frozenset(each.pool_version for each in self.entries if each.gone_at_wall_s is None)

    def mixed(self, now_wall_s: float) -> tuple[str, ...]:
        """Return the pools of which streams of several versions may be taken up."""
        counts = collections.Counter(
            each.pool_version.pool for each in self.entries if each.may_be_taken_up(now_wall_s)
        )
        return tuple(sorted(pool for pool, count in counts.items() if count > 1))
