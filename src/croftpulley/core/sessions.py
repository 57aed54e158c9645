"""What a leading control box knows of the entry boxes: their leases and configuration versions.

A box may act on its lease until that ends, whoever leads. So a new leader counts every registered
box as holding a lease of unknown version until the box has reported or the lease must have ended.
"""

from __future__ import annotations

import collections

import attrs

from croftpulley.core import leases, membership

SILENT_AFTER_S = 1.0
"""Four renewals missed in a row, at the default interval."""


@attrs.frozen
class Load:
    """Requests in flight and prompt tokens still to be read, by endpoint."""

    in_flight: dict[str, int] = attrs.field(factory=dict)
    reading_tokens: dict[str, int] = attrs.field(factory=dict)


@attrs.define
class _Session:
    box: membership.Box
    version: int
    heard_at_s: float
    load: Load


@attrs.define
class Sessions:
    """The sessions of all boxes with one leader."""

    lease_s: float
    margin_s: float
    _leases: leases.GrantedLeases = attrs.field(init=False)
    _sessions: dict[str, _Session] = attrs.field(factory=dict)
    _assumed: set[str] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        self._leases = leases.GrantedLeases(self.lease_s, self.margin_s)

    def begin(self, registered: tuple[str, ...], now_s: float) -> None:
        """Begin to lead: any registered box may hold a lease from the leader before."""
        self._sessions.clear()
        self._leases.until_s.clear()
        self._assumed = set(registered)
        for box in registered:
            self._leases.assume(box, now_s)

    def renew(
        self,
        box: membership.Box,
        version: int,
        load: Load,
        now_s: float,
    ) -> None:
        """Grant or renew a box's lease; ``version`` is the configuration that it uses."""
        self._assumed.discard(box.name)
        self._leases.renew(box.name, now_s)
        self._sessions[box.name] = _Session(box, version, now_s, load)

    def expire(self, now_s: float) -> list[str]:
        """Forget and return the boxes whose lease has ended."""
        ended = self._leases.expire(now_s)
        for box in ended:
            self._sessions.pop(box, None)
            self._assumed.discard(box)
        return ended

    def waiting_for(self, version: int, now_s: float) -> tuple[str, ...]:
        """Return the boxes with a live lease that may not use ``version`` yet."""
        late = [
            name
            for name, session in self._sessions.items()
            if session.version < version and self._leases.live(name, now_s)
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

    def loads(self) -> Load:
        """Return what all boxes have at each endpoint."""
        in_flight: collections.Counter[str] = collections.Counter()
        reading_tokens: collections.Counter[str] = collections.Counter()
        for session in self._sessions.values():
            in_flight.update(session.load.in_flight)
            reading_tokens.update(session.load.reading_tokens)
        return Load(dict(in_flight), dict(reading_tokens))
