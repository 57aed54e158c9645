"""Which other boxes a request is handed to, and which are told where a stream began; pure."""

from __future__ import annotations

from collections.abc import Iterable

import attrs
import xxhash

from croftpulley.core import choice, membership, origins

SLOTS = 256
"""So many orders are worked out when boxes change, not one for each stream."""
TOLD = 2
"""Boxes that are told of a stream, beside the one that began it."""
ASKED = 4
"""Boxes that are asked for one: should one be new, or the one that began it, it costs no answer."""
AVOIDED_S = 0.5
"""How long a box that took no request is asked last: two renewals tell who reaches what."""


@attrs.define
class Avoided:
    """Boxes that failed lately, each for ``avoided_s``."""

    avoided_s: float
    _failed_at_s: dict[str, float] = attrs.field(factory=dict)

    def failed(self, name: str, now_s: float) -> None:
        """Note that a box failed."""
        self._failed_at_s = {
            known: at_s
            for known, at_s in self._failed_at_s.items()
            if now_s < at_s + self.avoided_s
        }
        self._failed_at_s[name] = now_s

    def holds(self, name: str, now_s: float) -> bool:
        """Tell whether a box failed lately."""
        return now_s < self._failed_at_s.get(name, float("-inf")) + self.avoided_s


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
    _avoided: Avoided = attrs.field(factory=lambda: Avoided(AVOIDED_S))

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
        return sorted(ordered, key=lambda each: self._avoided.holds(each.name, now_s))

    def failed(self, name: str, now_s: float) -> None:
        """Note that a box took no request, or was lost with one."""
        self._avoided.failed(name, now_s)


@attrs.frozen
class _Orders:
    """The keepers of slots among some boxes, as far as they were worked out."""

    boxes: tuple[membership.Box, ...] = ()
    by_slot: dict[int, tuple[membership.Box, ...]] = attrs.field(factory=dict)


class Keepers:
    """The boxes that are told where a stream began, as one box, ``box``, sees them.

    Streams fall into slots by their ids, and each slot has its keepers by rendezvous hashing over
    the boxes, so that any box can work out whom to ask. Those told are in two halls if they can be,
    should one lose power. Whoever tells and whoever asks may see different boxes for a moment: more
    are asked than are told.

    Threads that look up at the same time do so twice; what they come to is the same.

    >>> boxes = tuple(membership.Box(name, "h", "", f"{name}:1") for name in "abcde")
    >>> stream = origins.StreamId("clinic", "r-1")
    >>> told = [each.name for each in Keepers("a").of(stream, boxes)[:TOLD]]
    >>> asked = [each.name for each in Keepers("b").of(stream, boxes)]
    >>> set(told) <= {*asked, "b"}
    True
    """

    def __init__(self, box: str) -> None:
        self._box = box
        self._orders = _Orders()

    def of(
        self, stream: origins.StreamId, boxes: tuple[membership.Box, ...]
    ) -> tuple[membership.Box, ...]:
        """Return the boxes to ask, best first; the first of them are those to tell."""
        orders = self._orders
        if orders.boxes is not boxes:
            orders = _Orders(boxes)
            self._orders = orders
        slot = slot_of(stream)
        found = orders.by_slot.get(slot)
        if found is None:
            found = self._of_slot(slot, boxes)
            orders.by_slot[slot] = found
        return found

    def _of_slot(self, slot: int, boxes: Iterable[membership.Box]) -> tuple[membership.Box, ...]:
        others = {
            each.name: each
            for each in boxes
            if each.name != self._box and each.peer_address and not each.draining
        }
        ordered = [others[name] for name in choice.order(f"streams-{slot}", others)]
        first = ordered[:1]
        elsewhere = [each for each in ordered if each.hall != first[0].hall][: TOLD - 1]
        rest = [each for each in ordered[1:] if each not in elsewhere]
        return tuple([*first, *elsewhere, *rest][:ASKED])


def slot_of(stream: origins.StreamId) -> int:
    """Return the slot that a stream falls into, the same on every box."""
    text = f"{stream.workspace}\x00{stream.request_id}"
    return xxhash.xxh3_64_intdigest(text.encode()) % SLOTS
