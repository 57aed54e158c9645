"""What a leading control box knows of the entry boxes: their leases and configuration versions.

A box may act on its lease until that ends, whoever leads. So a new leader counts every registered
box as holding a lease of unknown version until the box has reported or the lease must have ended.
"""

from __future__ import annotations

import collections
from collections.abc import Mapping

import attrs

from croftpulley.core import leases, listed_counts, membership

SILENT_AFTER_S = 1.0
"""Four renewals missed in a row, at the default interval."""


@attrs.frozen
class Known:
    """What a box uses of what is agreed: the configuration and the evacuated halls.

    >>> Known(7, 2).covers(Known(6)), Known(7, 2).covers(Known(0, 3))
    (True, False)
    """

    configuration_version: int = 0
    halls_revision: int = 0

    def covers(self, wanted: Known) -> bool:
        """Tell whether this is ``wanted`` or newer, in every part."""
        return (
            self.configuration_version >= wanted.configuration_version
            and self.halls_revision >= wanted.halls_revision
        )


@attrs.define
class _Session:
    box: membership.Box
    known: Known
    heard_at_s: float
    load: listed_counts.Load


class _Totals:
    """Sums over boxes, changed by what one box reports anew, so that a renewal costs its own size.

    >>> totals = _Totals()
    >>> totals.replace({}, {"e": 2, "f": 1}); totals.replace({"e": 2, "f": 1}, {"e": 3})
    >>> totals.counts()
    {'e': 3}
    """

    def __init__(self) -> None:
        self._counts: collections.Counter[str] = collections.Counter()

    def replace(self, before: Mapping[str, int], after: Mapping[str, int]) -> None:
        """Count what a box reports now in place of what it reported before."""
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
    """The sessions of all boxes with one leader."""

    lease_s: float
    margin_s: float
    _leases: leases.GrantedLeases = attrs.field(init=False)
    _sessions: dict[str, _Session] = attrs.field(factory=dict)
    _assumed: set[str] = attrs.field(factory=set)
    _in_flight: _Totals = attrs.field(factory=_Totals)
    _reading_tokens: _Totals = attrs.field(factory=_Totals)

    def __attrs_post_init__(self) -> None:
        self._leases = leases.GrantedLeases(self.lease_s, self.margin_s)

    def begin(self, registered: tuple[str, ...], now_s: float) -> None:
        """Begin to lead: any registered box may hold a lease from the leader before."""
        for name in list(self._sessions):
            self._drop(name)
        self._leases.until_s.clear()
        self._assumed = set(registered)
        for box in registered:
            self._leases.assume(box, now_s)

    def renew(
        self,
        box: membership.Box,
        known: Known,
        load: listed_counts.Load,
        now_s: float,
    ) -> bool:
        """Grant or renew a box's lease; ``known`` is what it uses.

        Returns whether the box is heard of anew or uses something else than before.
        """
        self._assumed.discard(box.name)
        self._leases.renew(box.name, now_s)
        before = self._sessions.get(box.name)
        self._count(before.load if before else listed_counts.Load(), load)
        self._sessions[box.name] = _Session(box, known, now_s, load)
        return before is None or before.known != known

    def _count(self, before: listed_counts.Load, after: listed_counts.Load) -> None:
        self._in_flight.replace(before.in_flight, after.in_flight)
        self._reading_tokens.replace(before.reading_tokens, after.reading_tokens)

    def _drop(self, name: str) -> None:
        dropped = self._sessions.pop(name, None)
        if dropped is not None:
            self._count(dropped.load, listed_counts.Load())

    def expire(self, now_s: float) -> list[str]:
        """Forget and return the boxes whose lease has ended."""
        ended = self._leases.expire(now_s)
        for box in ended:
            self._drop(box)
            self._assumed.discard(box)
        return ended

    def waiting_for(self, wanted: Known, now_s: float) -> tuple[str, ...]:
        """Return the boxes with a live lease that may not use ``wanted`` yet."""
        late = [
            name
            for name, session in self._sessions.items()
            if not session.known.covers(wanted) and self._leases.live(name, now_s)
        ]
        unheard = [name for name in self._assumed if self._leases.live(name, now_s)]
        return tuple(sorted(late + unheard))

    def boxes(self, now_s: float) -> tuple[membership.Box, ...]:
        """Return the boxes that callers may be sent to, by name: those heard of lately.

        A box that is silent still holds its lease, but is likely down or frozen.
        """
        return tuple(
            self._sessions[name].box
            for name in sorted(self._sessions)
            if now_s - self._sessions[name].heard_at_s <= SILENT_AFTER_S
        )

    @property
    def awaits_boxes(self) -> bool:
        """Tell whether a registered box has yet to renew with this leader: sums lack its part."""
        return bool(self._assumed)

    def loads(self) -> listed_counts.Load:
        """Return what all boxes that have renewed have at each endpoint."""
        return listed_counts.Load(self._in_flight.counts(), self._reading_tokens.counts())

    def unreached(self) -> dict[str, frozenset[str]]:
        """Return the boxes that reach no endpoint of a pool, by pools."""
        found: dict[str, set[str]] = {}
        for name, session in self._sessions.items():
            for pool in session.load.unreached:
                found.setdefault(pool, set()).add(name)
        return {pool: frozenset(names) for pool, names in found.items()}

    def resting_s(self, now_s: float) -> dict[str, dict[str, float]]:
        """Return which endpoints want nothing from which boxes, and for how long from now."""
        found: dict[str, dict[str, float]] = {}
        for name, session in sorted(self._sessions.items()):
            for endpoint, told_s in session.load.resting_s.items():
                left_s = told_s - (now_s - session.heard_at_s)
                if left_s > 0:
                    found.setdefault(endpoint, {})[name] = left_s
        return found
