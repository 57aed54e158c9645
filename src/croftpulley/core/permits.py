"""How many requests of a pool one box may have at its endpoints at once.

Answers more demand than a pool has room for. Boxes hear each other's loads some time after the
fact; where all of them fill the room that they last heard of, endpoints get many times what they
can run and turn it away. So each box takes only its part of the room: the parts of all boxes that
heard the same come to the room, never more, and each renewal hands out anew what is left.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import attrs

QUEUED = 0.25
"""Of its slots that may wait beside an endpoint. An ended request is replaced at once by one that
waits there; what waits behind a whole set of slots would pass its objective there."""
STALE_S = 1.0
"""Loads that are older say nothing of what others have: four renewals were lost."""


def room(slots: Iterable[int]) -> float:
    """Return how many requests endpoints with so many slots each should have together.

    An endpoint whose slots are not known (0) makes it unbounded.

    >>> room([16, 16]), room([6, 0])
    (40.0, inf)
    """
    known = list(slots)
    return sum(known) * (1 + QUEUED) if all(known) else math.inf


@attrs.frozen(kw_only=True)
class Heard:
    """What a box last heard of a pool: its own requests there, those of all boxes, and the room."""

    own: int
    total: int
    room: float
    boxes: int
    at_s: float

    def part(self, now_s: float) -> float:
        """Return how many requests this box may have in the pool.

        Where there is room left each box gets a part of that beside what it has: one half of it
        evenly, so that boxes without requests get some, the other half by what each has. Where
        there is none left all share the whole room in that way.

        >>> Heard(own=3, total=30, room=50.0, boxes=10, at_s=0.0).part(0.1)
        5.0
        >>> Heard(own=9, total=60, room=50.0, boxes=10, at_s=0.0).part(0.1)
        6.25
        >>> Heard(own=9, total=60, room=50.0, boxes=10, at_s=0.0).part(9.0)
        5.0
        """
        even = 1 / max(1, self.boxes)
        if now_s >= self.at_s + STALE_S or not self.total:
            return self.room * even
        own = min(self.own, self.total)
        fraction = (even + own / self.total) / 2
        left = self.room - self.total
        return own + left * fraction if left > 0 else self.room * fraction


def whole(part: float, chance: float) -> float:
    """Return a part as a number of requests, at least one.

    ``chance``, from 0 to 1, is other for each box: so many of them round up that together they have
    what their parts come to.

    >>> whole(1.6, 0.5), whole(1.6, 0.9), whole(0.1, 0.9)
    (2.0, 1.0, 1.0)
    """
    return max(1.0, float(math.floor(part + 1 - chance))) if math.isfinite(part) else part
