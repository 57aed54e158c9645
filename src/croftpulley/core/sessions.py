"""The leading control box's view of the entry boxes: their leases and what they apply.

A box may act on its lease until that ends, whoever leads. So a new leader assumes that every
registered box holds a lease and applies an unknown version, until the box has renewed or the lease
must have ended.
"""

from __future__ import annotations

import collections
from collections.abc import Mapping

import attrs

from croftpulley.core import leases, listed_counts, membership

SILENT_AFTER_S = 1.0
"""Four missed renewals in a row, at the default interval."""


@attrs.frozen
class AppliedVersions:
    """The configuration version and the revision of evacuated halls that a box applies.

    >>> AppliedVersions(7, 2).is_at_least(AppliedVersions(6))
    True
    >>> AppliedVersions(7, 2).is_at_least(AppliedVersions(0, 3))
    False
    """

    configuration_version: int = 0
    halls_revision: int = 0

    def is_at_least(self, wanted: AppliedVersions) -> bool:
        """Tell whether both numbers are at least those of ``wanted``."""
        return (
            self.configuration_version >= wanted.configuration_version
            and self.halls_revision >= wanted.halls_revision
        )


@attrs.define
class _Session:
    box: membership.Box
    applied: AppliedVersions
    renewed_at_s: float
    load: listed_counts.EndpointLoads


class _SumsByName:
    """Sums per name over all boxes, updated by differences: a renewal costs the size of its report.

    >>> totals = _SumsByName()
    >>> totals.replace({}, {"e": 2, "f": 1}); totals.replace({"e": 2, "f": 1}, {"e": 3})
    >>> totals.counts()
    {'e': 3}
    """

    def __init__(self) -> None:
        self._counts: collections.Counter[str] = collections.Counter()

    def replace(self, before: Mapping[str, int], after: Mapping[str, int]) -> None:
        """Replace a box's previous counts by its current ones."""
        self._counts.update(after)
        self._counts.subtract(before)
        for name in before:
            if not self._counts[name]:
                del self._counts[name]

    def counts(self) -> dict[str, int]:
        """Return the sums that are not 0."""
        return dict(self._counts)


@attrs.define
class Sessions:
    """The state of all boxes that renew their leases with this leader."""

    lease_s: float
    margin_s: float
    _leases: leases.GrantedLeases = attrs.field(init=False)
    _sessions: dict[str, _Session] = attrs.field(factory=dict)
    _unheard: set[str] = attrs.field(factory=set)
    _in_flight: _SumsByName = attrs.field(factory=_SumsByName)
    _reading_tokens: _SumsByName = attrs.field(factory=_SumsByName)

    def __attrs_post_init__(self) -> None:
        self._leases = leases.GrantedLeases(self.lease_s, self.margin_s)

    def begin(self, registered: tuple[str, ...], now_s: float) -> None:
        """Start leading: any registered box may hold a lease granted by the previous leader."""
        for name in list(self._sessions):
            self._drop(name)
        self._leases.expires_at_s.clear()
        self._unheard = set(registered)
        for box in registered:
            self._leases.assume_granted(box, now_s)

    def renew(
        self,
        box: membership.Box,
        applied: AppliedVersions,
        load: listed_counts.EndpointLoads,
        now_s: float,
    ) -> bool:
        """Grant or renew a box's lease; ``applied`` is what the box applies.

        Returns whether the box is new to this leader or applies something else than before.
        """
        self._unheard.discard(box.name)
        self._leases.renew(box.name, now_s)
        before = self._sessions.get(box.name)
        self._count(before.load if before else listed_counts.EndpointLoads(), load)
        self._sessions[box.name] = _Session(box, applied, now_s, load)
        return before is None or before.applied != applied

    def _count(
        self, before: listed_counts.EndpointLoads, after: listed_counts.EndpointLoads
    ) -> None:
        self._in_flight.replace(before.in_flight, after.in_flight)
        self._reading_tokens.replace(before.reading_tokens, after.reading_tokens)

    def _drop(self, name: str) -> None:
        dropped = self._sessions.pop(name, None)
        if dropped is not None:
            self._count(dropped.load, listed_counts.EndpointLoads())

    def remove_expired(self, now_s: float) -> list[str]:
        """Remove and return the boxes whose lease has ended."""
        ended = self._leases.remove_expired(now_s)
        for box in ended:
            self._drop(box)
            self._unheard.discard(box)
        return ended

    def waiting_for(self, wanted: AppliedVersions, now_s: float) -> tuple[str, ...]:
        """Return the boxes that may hold a lease and may not apply ``wanted`` yet, sorted."""
        late = [
            name
            for name, session in self._sessions.items()
            if not session.applied.is_at_least(wanted) and self._leases.may_be_valid(name, now_s)
        ]
        unheard = [name for name in self._unheard if self._leases.may_be_valid(name, now_s)]
        return tuple(sorted(late + unheard))

    def boxes(self, now_s: float) -> tuple[membership.Box, ...]:
        """Return the boxes to send callers to, sorted by name: those that renewed recently.

        A box that has stopped renewing still holds its lease, but is probably down or hung.
        """
        return tuple(
            self._sessions[name].box
            for name in sorted(self._sessions)
            if now_s - self._sessions[name].renewed_at_s <= SILENT_AFTER_S
        )

    @property
    def has_unheard_boxes(self) -> bool:
        """Whether a registered box has not renewed yet, so that sums lack its part."""
        return bool(self._unheard)

    def loads(self) -> listed_counts.EndpointLoads:
        """Return the load per endpoint, summed over all boxes that have renewed."""
        return listed_counts.EndpointLoads(self._in_flight.counts(), self._reading_tokens.counts())

    def unreached(self) -> dict[str, frozenset[str]]:
        """Return, by pool, the boxes that reach none of the pool's endpoints."""
        found: dict[str, set[str]] = {}
        for name, session in self._sessions.items():
            for pool in session.load.unreached:
                found.setdefault(pool, set()).add(name)
        return {pool: frozenset(names) for pool, names in found.items()}

    def resting_s(self, now_s: float) -> dict[str, dict[str, float]]:
        """Return, by endpoint and box, for how long the endpoint wants no requests from the box.

        The seconds count from ``now_s``; endpoints and boxes without such a wish are left out.
        """
        found: dict[str, dict[str, float]] = {}
        for name, session in sorted(self._sessions.items()):
            for endpoint, reported_s in session.load.resting_s.items():
                left_s = reported_s - (now_s - session.renewed_at_s)
                if left_s > 0:
                    found.setdefault(endpoint, {})[name] = left_s
        return found
