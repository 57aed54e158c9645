"""Which other box a request is handed to; pure."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from croftpulley.core import choice, membership

AVOIDED_S = 0.5
"""How long a box that took no request is asked last: two renewals tell who reaches what."""


@attrs.define
class Peers:
    """The other boxes as one box, of a hall, sees them.

    >>> boxes = [membership.Box(name, "h", "", f"{name}:1") for name in "abc"]
    >>> known = Peers("a", "h")
    >>> sorted(each.name for each in known.choose("request-1", boxes, 0.0))
    ['b', 'c']
    >>> known.failed("b", 0.0)
    >>> [each.name for each in known.choose("request-1", boxes, 0.1)]
    ['c', 'b']
    """

    box: str
    hall: str
    _failed_at_s: dict[str, float] = attrs.field(factory=dict)

    def choose(
        self, request_id: str, reaching: Iterable[membership.Box], now_s: float
    ) -> list[membership.Box]:
        """Return the boxes to ask, best first: spread by the request's id over all of them.

        Of the first two the one in this box's own hall goes first, so that few bytes pass between
        halls while a hall with few boxes left is not buried.
        """
        others = {
            each.name: each
            for each in reaching
            if each.name != self.box and each.peer_address and not each.draining
        }
        ordered = [others[name] for name in choice.order(request_id, list(others))]
        ordered[:2] = sorted(ordered[:2], key=lambda each: each.hall != self.hall)
        return sorted(ordered, key=lambda each: self._is_avoided(each.name, now_s))

    def failed(self, name: str, now_s: float) -> None:
        """Note that a box took no request, or was lost with one."""
        self._failed_at_s = {
            known: at_s for known, at_s in self._failed_at_s.items() if now_s < at_s + AVOIDED_S
        }
        self._failed_at_s[name] = now_s

    def _is_avoided(self, name: str, now_s: float) -> bool:
        return now_s < self._failed_at_s.get(name, float("-inf")) + AVOIDED_S
