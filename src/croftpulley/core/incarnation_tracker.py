"""Which incarnation of each endpoint counts, across successive reads of the list of endpoints.

The list lags, and its pages lag independently of each other. A page may show an endpoint as it was
before a restart after another page has shown the new incarnation. Of two incarnations of one
endpoint the one that started later counts.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from croftpulley.core import membership

STALE_INCARNATION_S = 5.0
"""How long after an incarnation was last listed an older one is taken for a stale page. By the
users' settings the list lags by 0.8 s, which is a fraction of this. An endpoint whose clock was set
back before its restart is out of use for this long."""


@attrs.define
class _TrackedEndpoint:
    """The incarnation that counts, and since when the list hasn't shown it."""

    endpoint: membership.Endpoint
    missing_since_s: float = float("inf")

    def overrides(self, listed: membership.Endpoint, now_s: float) -> bool:
        """Return whether ``listed`` is an older incarnation that must still be ignored."""
        if not _is_older(listed, self.endpoint):
            return False
        return now_s - self.missing_since_s < STALE_INCARNATION_S


@attrs.define
class IncarnationTracker:
    """Resolves the incarnation of each endpoint from successive reads of the list.

    >>> def born(at_ms):
    ...     kind = membership.EndpointKind.WORKER
    ...     return membership.Endpoint("w", kind, "desk", "127.0.0.1:1", "a", "w", born_ms=at_ms)
    >>> tracker = IncarnationTracker()
    >>> [tracker.update([born(at_ms)], now_s)[0].born_ms for at_ms, now_s in ((2, 0.0), (1, 1.0))]
    [2, 2]
    >>> tracker.has_stale_entries, tracker.update([born(1)], 6.0)[0].born_ms
    (True, 1)
    """

    _tracked: dict[str, _TrackedEndpoint] = attrs.field(factory=dict)
    has_stale_entries: bool = False
    """Whether the last list showed an older incarnation, which may turn out to be correct."""

    def update(
        self, read: Iterable[membership.Endpoint], now_s: float
    ) -> tuple[membership.Endpoint, ...]:
        """Process a list as read. Return the incarnations that count, one for each name listed."""
        latest = _latest_by_name(read)
        for name, held in self._tracked.items():
            if name not in latest or latest[name].key != held.endpoint.key:
                held.missing_since_s = min(held.missing_since_s, now_s)
        self.has_stale_entries = False
        resolved = tuple(self._resolve(each, now_s) for each in latest.values())
        self._drop_expired(now_s)
        return resolved

    def mark_leaving(self, keys: Iterable[str]) -> tuple[membership.Endpoint, ...]:
        """Mark incarnations as leaving, whatever the list says.

        Return those of them that are known and weren't marked before.
        """
        wanted = frozenset(keys)
        found = [each for each in self._tracked.values() if each.endpoint.key in wanted]
        newly_leaving = [each for each in found if not each.endpoint.leaving]
        for held in newly_leaving:
            held.endpoint = attrs.evolve(held.endpoint, leaving=True)
        return tuple(held.endpoint for held in newly_leaving)

    def _resolve(self, listed: membership.Endpoint, now_s: float) -> membership.Endpoint:
        held = self._tracked.get(listed.name)
        if held is not None and held.overrides(listed, now_s):
            self.has_stale_entries = True
            return held.endpoint
        known = held.endpoint if held is not None else None
        endpoint = membership.carry_over_leaving_flag(known, listed)
        self._tracked[listed.name] = _TrackedEndpoint(endpoint)
        return endpoint

    def _drop_expired(self, now_s: float) -> None:
        """Drop the incarnations that can't override a listed one any more."""
        for name, held in list(self._tracked.items()):
            if now_s - held.missing_since_s >= STALE_INCARNATION_S:
                del self._tracked[name]


def _latest_by_name(read: Iterable[membership.Endpoint]) -> dict[str, membership.Endpoint]:
    """Return the latest incarnation of each name; it is leaving if any entry for it says so."""
    latest: dict[str, membership.Endpoint] = {}
    for each in read:
        seen = latest.get(each.name)
        if seen is None or _is_older(seen, each):
            latest[each.name] = each
        elif seen.key == each.key and each.leaving:
            latest[each.name] = attrs.evolve(seen, leaving=True)
    return latest


def _is_older(one: membership.Endpoint, other: membership.Endpoint) -> bool:
    """Return whether ``one`` is known to have started before ``other``."""
    if one.born_ms is None or other.born_ms is None:
        return False
    return one.born_ms < other.born_ms
