"""Load limits of engines above which requests are refused, the less urgent ones first.

When most of a pool is resting, refuses requests or is down, the few remaining engines get all of
its requests. What an engine gets beyond its slots waits there, the least urgent until their
deadline, and the memory that they take makes other requests start over. A request that no engine
has room for had better be refused at once.
"""

from __future__ import annotations

from croftpulley.core import permits

_MAX_QUEUE_RATIO = 0.5
"""How many of the most urgent requests may wait at an engine, relative to its slots. The least
urgent may not wait at all."""
_LEAST_URGENT = 9


def max_load(slots: int, urgency: int) -> float:
    """Return how many requests of all boxes an engine may have after one more goes there.

    ``slots`` is how many requests the engine runs at once, or 0 where that isn't known: then there
    is no limit. ``urgency`` runs from 0, the most urgent, to 9.

    >>> max_load(64, 0), max_load(64, 9), max_load(0, 9)
    (96.0, 64.0, inf)
    """
    if not slots:
        return float("inf")
    return slots * (1 + _MAX_QUEUE_RATIO * (_LEAST_URGENT - urgency) / _LEAST_URGENT)


def max_endpoint_load(slots: int) -> float:
    """Return how many requests an endpoint may have where boxes share the capacity of its pool.

    Without known slots (0) there is no limit.

    >>> max_endpoint_load(4), max_endpoint_load(0)
    (12.0, inf)
    """
    return slots * (1 + permits.MAX_QUEUE_RATIO) if slots else float("inf")
