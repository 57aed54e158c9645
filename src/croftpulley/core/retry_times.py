"""When rejected callers should retry."""

from __future__ import annotations

import xxhash

MIN_WAIT_S = 0.1
"""Shortest wait: an endpoint has room now, only not for another request of this box, or not for
this request again."""
JITTER_SHARE = 0.2
"""Jitter: callers retry within this share of the wait after its end, not all at once."""
MAX_WAIT_SHARE = 1 / 3
"""Largest share of its remaining time that a caller waits before a retry, as the users' callers do.
One that retries later has too little time left to be served."""
_URGENCY_LEVELS = 10
_HASH_RANGE = 1 << 64


def hash_fraction(name: str) -> float:
    """Return a number from 0 to 1 derived from a hash of the name: always the same for one name.

    >>> 0 <= hash_fraction("a") < 1
    True
    >>> hash_fraction("a") == hash_fraction("a"), hash_fraction("a") == hash_fraction("b")
    (True, False)
    """
    return xxhash.xxh64_intdigest(name.encode()) / _HASH_RANGE


def queue_position(urgency: int, tie_breaker: float) -> float:
    """Return the position of a caller among those that wait, from 0 to 1, the most urgent first.

    ``urgency`` is from 0, the most urgent, to 9; ``tie_breaker``, from 0 to 1, orders equal ones.

    >>> queue_position(0, 0.5), queue_position(9, 0.5)
    (0.05, 0.95)
    """
    return (urgency + tie_breaker) / _URGENCY_LEVELS


def wait_s(opens_in_s: float, left_s: float, spread: float, position: float) -> float:
    """Return after how many seconds a caller should retry.

    Room is expected in ``opens_in_s``, and the caller has ``left_s`` until its deadline. Callers
    that arrived over some time should not all return at one instant: ``position``, from 0 to 1,
    spreads them over an additional time of ``spread`` times the wait. This additional time is cut
    where a caller would give up before its end.

    >>> wait_s(1.0, 6.0, 0.5, 0.0), wait_s(1.0, 6.0, 0.5, 1.0), wait_s(1.0, 3.3, 0.5, 1.0)
    (1.0, 1.5, 1.1)
    """
    opens_in_s = max(opens_in_s, MIN_WAIT_S)
    latest_s = max(opens_in_s, min(opens_in_s * (1 + spread), left_s * MAX_WAIT_SHARE))
    return round(opens_in_s + position * (latest_s - opens_in_s), 3)
