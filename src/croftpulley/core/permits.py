"""How many requests of a pool one box may have in flight, and how many one endpoint may have.

Protects endpoints when demand exceeds the capacity of a pool. Boxes learn each other's loads with a
delay. If all of them filled the capacity that they last knew to be free, endpoints would get many
times what they can run and refuse it. So each box takes only its share. The shares of all boxes
with the same information add up to the capacity, apart from one or a few requests per box, and each
renewal divides what is left again.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import attrs

QUEUE_TIME_SHARE = 0.25
"""The share of the latency objective that a request may wait at its endpoint; the rest is for
running it. An endpoint serves the next request of any box, while a box serves only its own
queue."""
MAX_QUEUE_RATIO = 2.0
"""The most requests that may wait at an endpoint, relative to its slots, however short requests
are."""
DEFAULT_QUEUE_RATIO = 0.25
"""The same before any request has ended."""
URGENT_QUEUE_RATIO = 0.5
"""The same for the most urgent requests where boxes do not share the capacity; the least urgent may
not wait at all there. When most of a pool is down, the few remaining engines get all of its
requests, and the memory that waiting ones take makes others start over."""
_LEAST_URGENT = 9
MIN_PERMITS = 3.0
"""Requests that a box may always have while any capacity is left. With more boxes than slots an
even share is less than one, and callers would wait for each other in a box next to idle slots."""
MIN_PERMITS_BRITTLE = 1.0
"""The same at endpoints that shut down when they have to refuse many requests."""
STALE_S = 1.0
"""Age from which loads say nothing about the other boxes: four renewals have been lost."""


def estimated_service_time_s(hold_s: float, slots: int, total: int) -> float:
    """Return how long endpoints work on a request.

    ``hold_s`` is how long a request lasts there including its wait. ``total`` requests are there,
    of which as many as there are slots are worked on.

    >>> estimated_service_time_s(0.2, 24, 48), estimated_service_time_s(0.2, 24, 6)
    (0.1, 0.2)
    """
    return hold_s * min(1.0, slots / total) if total else hold_s


def queue_ratio(objective_s: float, service_time_s: float) -> float:
    """Return how many requests may wait at an endpoint, relative to its slots.

    ``service_time_s`` is how long the endpoint works on a request, or 0 where that isn't known.

    >>> queue_ratio(0.4, 1.0), queue_ratio(0.4, 0.05), queue_ratio(0.4, 0.0)
    (0.1, 2.0, 0.25)
    """
    if not service_time_s:
        return DEFAULT_QUEUE_RATIO
    return min(MAX_QUEUE_RATIO, QUEUE_TIME_SHARE * objective_s / service_time_s)


def max_load(slots: int, urgency: int) -> float:
    """Return how many requests of all boxes an engine may have after one more goes there.

    ``slots`` is how many requests the engine runs at once, or 0 where that isn't known: then there
    is no limit. ``urgency`` runs from 0, the most urgent, to 9.

    >>> max_load(64, 0), max_load(64, 9), max_load(0, 9)
    (96.0, 64.0, inf)
    """
    if not slots:
        return float("inf")
    return slots * (1 + URGENT_QUEUE_RATIO * (_LEAST_URGENT - urgency) / _LEAST_URGENT)


def max_endpoint_load(slots: int) -> float:
    """Return how many requests an endpoint may have where boxes share the capacity of its pool.

    Without known slots (0) there is no limit.

    >>> max_endpoint_load(4), max_endpoint_load(0)
    (12.0, inf)
    """
    return slots * (1 + MAX_QUEUE_RATIO) if slots else float("inf")


def pool_capacity(slots: Iterable[int], waiting_ratio: float) -> float:
    """Return how many requests endpoints with these slots should have in total.

    ``waiting_ratio`` is the result of `queue_ratio`. An endpoint whose slots aren't known (0) makes
    the capacity infinite.

    >>> pool_capacity([16, 16], 0.25), pool_capacity([6, 0], 0.25)
    (40.0, inf)
    """
    known = list(slots)
    return sum(known) * (1 + waiting_ratio) if all(known) else math.inf


@attrs.frozen(kw_only=True)
class PoolSnapshot:
    """The load of a pool as a box last received it, at ``at_s``.

    ``own`` counts the requests of this box, ``total`` those of all ``boxes``. ``capacity`` is that
    of the pool, and ``min_permits`` is how many requests a box may have while any of it is left.
    """

    own: int
    total: int
    capacity: float
    boxes: int
    at_s: float
    min_permits: float = MIN_PERMITS

    def permit_share(self, now_s: float) -> float:
        """Return how many requests this box may have in the pool.

        While capacity is left, each box gets a share of it on top of what it has. Half of it is
        divided evenly, so that boxes without requests get some, and the other half in proportion to
        what each box has; and each box may have ``min_permits`` requests. When nothing is left, the
        whole capacity is divided in the same way. With loads that are out of date, the whole
        capacity is divided evenly.

        >>> PoolSnapshot(own=3, total=30, capacity=50.0, boxes=10, at_s=0.0).permit_share(0.1)
        5.0
        >>> PoolSnapshot(own=9, total=60, capacity=50.0, boxes=10, at_s=0.0).permit_share(0.1)
        6.25
        >>> PoolSnapshot(own=9, total=60, capacity=50.0, boxes=10, at_s=0.0).permit_share(9.0)
        5.0
        """
        even = 1 / max(1, self.boxes)
        if now_s >= self.at_s + STALE_S:
            return self.capacity * even
        own = min(self.own, self.total)
        fraction = (even + own / self.total) / 2 if self.total else even
        left = self.capacity - self.total
        if left <= 0:
            return self.capacity * fraction
        return max(own + left * fraction, min(self.min_permits, own + left))


def round_permits(share: float, chance: float) -> float:
    """Round a share to a number of requests, at least one.

    ``chance``, from 0 to 1, differs between boxes: it makes as many of them round up as needed for
    the total to match the sum of their shares.

    >>> round_permits(1.6, 0.5), round_permits(1.6, 0.9), round_permits(0.1, 0.9)
    (2.0, 1.0, 1.0)
    """
    return max(1.0, float(math.floor(share + 1 - chance))) if math.isfinite(share) else share
