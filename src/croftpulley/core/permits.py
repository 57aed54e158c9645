"""How many requests of a pool one box may have at its endpoints at once.

Answers more demand than a pool has room for. Boxes hear each other's loads some time after the
fact; where all of them fill the room that they last heard of, endpoints get many times what they
can run and turn it away. So each box takes only its part of the room: the parts of all boxes that
heard the same come to the room, but for one or few a box, and each renewal hands out anew what is
left.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import attrs

QUEUE_PART = 0.25
"""Of the objective that a request may wait at its endpoint, which serves the next of all boxes; a
box serves only its own. The rest is for running it."""
MOST_QUEUED = 2.0
"""Of its slots that wait beside an endpoint at most, however short its requests are."""
UNKNOWN_QUEUED = 0.25
"""The same before any request has ended."""
FEW = 3.0
"""Requests that a box may always have while any room is left. Where there are more boxes than slots
an even part is less than one, and callers would wait for each other in a box beside idle slots."""
FEW_BRITTLE = 1.0
"""The same at endpoints that end when they have to turn many away."""
STALE_S = 1.0
"""Loads that are older say nothing of what others have: four renewals were lost."""


def work_s(hold_s: float, slots: int, total: int) -> float:
    """Return how long endpoints work on a request that lasts ``hold_s`` with its wait there.

    ``total`` requests are there; so many of them as there are slots are worked on.

    >>> work_s(0.2, 24, 48), work_s(0.2, 24, 6)
    (0.1, 0.2)
    """
    return hold_s * min(1.0, slots / total) if total else hold_s


def queued(objective_s: float, worked_s: float) -> float:
    """Return which part of its slots may wait beside an endpoint.

    ``worked_s`` is how long it works on a request, 0 where that is not known.

    >>> queued(0.4, 1.0), queued(0.4, 0.05), queued(0.4, 0.0)
    (0.1, 2.0, 0.25)
    """
    if not worked_s:
        return UNKNOWN_QUEUED
    return min(MOST_QUEUED, QUEUE_PART * objective_s / worked_s)


def room(slots: Iterable[int], waiting_part: float) -> float:
    """Return how many requests endpoints with so many slots each should have together.

    ``waiting_part`` is from `queued`. An endpoint whose slots are not known (0) makes it unbounded.

    >>> room([16, 16], 0.25), room([6, 0], 0.25)
    (40.0, inf)
    """
    known = list(slots)
    return sum(known) * (1 + waiting_part) if all(known) else math.inf


@attrs.frozen(kw_only=True)
class Heard:
    """What a box last heard of a pool: its own requests there, those of all boxes, and the room."""

    own: int
    total: int
    room: float
    boxes: int
    at_s: float
    few: float = FEW

    def part(self, now_s: float) -> float:
        """Return how many requests this box may have in the pool.

        Where there is room left each box gets a part of that beside what it has: one half of it
        evenly, so that boxes without requests get some, the other half by what each has; and
        each may have a few. Where there is none left all share the whole room in that way.

        >>> Heard(own=3, total=30, room=50.0, boxes=10, at_s=0.0).part(0.1)
        5.0
        >>> Heard(own=9, total=60, room=50.0, boxes=10, at_s=0.0).part(0.1)
        6.25
        >>> Heard(own=9, total=60, room=50.0, boxes=10, at_s=0.0).part(9.0)
        5.0
        """
        even = 1 / max(1, self.boxes)
        if now_s >= self.at_s + STALE_S:
            return self.room * even
        own = min(self.own, self.total)
        fraction = (even + own / self.total) / 2 if self.total else even
        left = self.room - self.total
        if left <= 0:
            return self.room * fraction
        return max(own + left * fraction, min(self.few, own + left))


def whole(part: float, chance: float) -> float:
    """Return a part as a number of requests, at least one.

    ``chance``, from 0 to 1, is other for each box: so many of them round up that together they have
    what their parts come to.

    >>> whole(1.6, 0.5), whole(1.6, 0.9), whole(0.1, 0.9)
    (2.0, 1.0, 1.0)
    """
    return max(1.0, float(math.floor(part + 1 - chance))) if math.isfinite(part) else part
