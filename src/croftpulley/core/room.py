"""How many requests an engine may have before the less urgent are refused.

Where most of a pool rests, turns requests away or is gone, the few that are left get all that comes
for all. What an engine runs beyond its slots waits there, the least urgent to its deadline, and the
memory that they take makes the others begin again. Whoever has no room anywhere is better off
refused at once.
"""

from __future__ import annotations

from croftpulley.core import permits

_EXTRA = 0.5
"""Of its slots that the most urgent requests may wait beside it; the least urgent may not."""
_LEAST_URGENT = 9


def most_load(slots: int, urgency: int) -> float:
    """Return how many requests of all boxes an engine may have for one more to go there.

    ``slots`` are those of one engine, 0 where that is not known; ``urgency`` is from 0, the first,
    to 9.

    >>> most_load(64, 0), most_load(64, 9), most_load(0, 9)
    (96.0, 64.0, inf)
    """
    if not slots:
        return float("inf")
    return slots * (1 + _EXTRA * (_LEAST_URGENT - urgency) / _LEAST_URGENT)


def most_at_all(slots: int) -> float:
    """Return how many requests an endpoint may have where boxes share the room of its pool.

    >>> most_at_all(4), most_at_all(0)
    (12.0, inf)
    """
    return slots * (1 + permits.MOST_QUEUED) if slots else float("inf")
