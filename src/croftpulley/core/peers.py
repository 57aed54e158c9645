"""Selection of peers: for handing on a request, and for storing where a stream started.

The functions and classes do no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs
import xxhash

from croftpulley.core import membership, origins, rendezvous

SLOT_COUNT = 256
"""Number of slots that streams are hashed into. An order of boxes is computed once for each slot
whenever the boxes change, not for each stream."""
ORIGIN_COPIES = 2
"""How many boxes store the origin of a stream, in addition to the box where it started."""
QUERY_FANOUT = 4
"""How many boxes are queried for an origin. The answer isn't lost if one of them is new or is the
box where the stream started."""
PEER_COOLDOWN_S = 0.5
"""How long a peer that failed to take a request is tried last. Within two renewals it is known
which box reaches which endpoints."""


@attrs.define
class RecentFailures:
    """Boxes that failed recently, each for ``cooldown_s`` after its last failure."""

    cooldown_s: float
    _failed_at_s: dict[str, float] = attrs.field(factory=dict)

    def failed(self, name: str, now_s: float) -> None:
        """Record the failure of a box."""
        self._failed_at_s = {
            known: at_s
            for known, at_s in self._failed_at_s.items()
            if now_s < at_s + self.cooldown_s
        }
        self._failed_at_s[name] = now_s

    def has_failed_recently(self, name: str, now_s: float) -> bool:
        """Return whether a box failed recently."""
        return now_s < self._failed_at_s.get(name, float("-inf")) + self.cooldown_s


@attrs.define
class Peers:
    """The peers of ``box``, which is in data hall ``hall``, with their recent failures.

    >>> boxes = [membership.Box(name, "h", "", f"{name}:1") for name in "abc"]
    >>> known = Peers("a", "h")
    >>> sorted(each.name for each in known.preferred("request-1", boxes, 0.0))
    ['b', 'c']
    >>> known.failed("b", 0.0)
    >>> [each.name for each in known.preferred("request-1", boxes, 0.1)]
    ['c', 'b']
    """

    box: str
    hall: str
    _avoided: RecentFailures = attrs.field(factory=lambda: RecentFailures(PEER_COOLDOWN_S))

    def preferred(
        self, request_id: str, reaching: Iterable[membership.Box], now_s: float
    ) -> list[membership.Box]:
        """Return the boxes to try for a request, best first.

        Rendezvous hashing by the request's id spreads requests over all peers. Of the first two,
        one in this box's own data hall goes first. That limits traffic between data halls without
        overloading a data hall with few boxes left. Peers that failed recently come last.
        """
        others = {
            each.name: each
            for each in reaching
            if each.name != self.box and each.peer_address and not each.draining
        }
        ordered = [others[name] for name in rendezvous.rendezvous_order(request_id, list(others))]
        ordered[:2] = sorted(ordered[:2], key=lambda each: each.hall != self.hall)
        return sorted(ordered, key=lambda each: self._avoided.has_failed_recently(each.name, now_s))

    def failed(self, name: str, now_s: float) -> None:
        """Record that a peer failed to take a request, or was lost while it handled one."""
        self._avoided.failed(name, now_s)


@attrs.frozen
class _SlotHolders:
    """The holders of each slot among ``boxes``, as far as they have been computed."""

    boxes: tuple[membership.Box, ...] = ()
    by_slot: dict[int, tuple[membership.Box, ...]] = attrs.field(factory=dict)


class OriginHolders:
    """Determines the boxes that store the origin of a stream, as seen from ``box``.

    A stream's id is hashed to a slot, and rendezvous hashing over the boxes gives the holders of
    each slot, so that any box can compute which boxes to query. The holders are in two data halls
    where possible, in case one loses power. The box that stores an origin and the box that queries
    it may briefly see different sets of boxes, which is why more boxes are queried than store it.

    Concurrent look-ups may compute the same order twice; the result is the same.

    >>> boxes = tuple(membership.Box(name, "h", "", f"{name}:1") for name in "abcde")
    >>> stream = origins.StreamId("clinic", "r-1")
    >>> held = [each.name for each in OriginHolders("a").for_stream(stream, boxes)[:ORIGIN_COPIES]]
    >>> queried = [each.name for each in OriginHolders("b").for_stream(stream, boxes)]
    >>> set(held) <= {*queried, "b"}
    True
    """

    def __init__(self, box: str) -> None:
        self._box = box
        self._known = _SlotHolders()

    def for_stream(
        self, stream: origins.StreamId, boxes: tuple[membership.Box, ...]
    ) -> tuple[membership.Box, ...]:
        """Return the boxes to query, best first; the first `ORIGIN_COPIES` store the origin."""
        known = self._known
        if known.boxes is not boxes:
            known = _SlotHolders(boxes)
            self._known = known
        slot = slot_of(stream)
        found = known.by_slot.get(slot)
        if found is None:
            found = self._holders_of_slot(slot, boxes)
            known.by_slot[slot] = found
        return found

    def _holders_of_slot(
        self, slot: int, boxes: Iterable[membership.Box]
    ) -> tuple[membership.Box, ...]:
        others = {
            each.name: each
            for each in boxes
            if each.name != self._box and each.peer_address and not each.draining
        }
        ordered = [others[name] for name in rendezvous.rendezvous_order(f"streams-{slot}", others)]
        first = ordered[:1]
        elsewhere = [each for each in ordered if each.hall != first[0].hall][: ORIGIN_COPIES - 1]
        rest = [each for each in ordered[1:] if each not in elsewhere]
        return tuple([*first, *elsewhere, *rest][:QUERY_FANOUT])


def slot_of(stream: origins.StreamId) -> int:
    """Return the slot of a stream, which is the same on every box."""
    text = f"{stream.workspace}\x00{stream.request_id}"
    return xxhash.xxh3_64_intdigest(text.encode()) % SLOT_COUNT
