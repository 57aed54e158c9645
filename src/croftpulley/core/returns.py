"""When callers that are refused for now should come back."""

from __future__ import annotations

import xxhash

ELSEWHERE_S = 0.1
"""Where an endpoint takes requests now, only not one more of this box, or not this one again."""
SPREAD = 0.2
"""Callers return within a part more of the wait, not all at its end."""
HONOURED = 1 / 3
"""Of its time that a caller waits at most before it asks again, as the users' callers do. One that
comes back later has too little left to be served."""
_RANKS = 10
_CHANCES = 1 << 64


def chance(name: str) -> float:
    """Return a number from 0 to 1 that is always the same for a name, and other for others.

    >>> 0 <= chance("a") < 1, chance("a") == chance("a"), chance("a") == chance("b")
    (True, True, False)
    """
    return xxhash.xxh64_intdigest(name.encode()) / _CHANCES


def place(urgency: int, chance: float) -> float:
    """Return the place of a caller among those that return, from 0 to 1: the most urgent first.

    ``urgency`` is from 0, the first, to 9; ``chance`` from 0 to 1.

    >>> place(0, 0.5), place(9, 0.5)
    (0.05, 0.95)
    """
    return (urgency + chance) / _RANKS


def wait_s(opens_in_s: float, left_s: float, spread: float, position: float) -> float:
    """Return when a caller should come back that has ``left_s`` and is served in ``opens_in_s``.

    Callers that came over some time should not all return at one instant: ``position``, from 0 to
    1, puts each within a part of ``spread`` of the wait behind its end, but not so late that it
    would not wait so long.

    >>> wait_s(1.0, 6.0, 0.5, 0.0), wait_s(1.0, 6.0, 0.5, 1.0), wait_s(1.0, 3.3, 0.5, 1.0)
    (1.0, 1.5, 1.1)
    """
    opens_in_s = max(opens_in_s, ELSEWHERE_S)
    latest_s = max(opens_in_s, min(opens_in_s * (1 + spread), left_s * HONOURED))
    return round(opens_in_s + position * (latest_s - opens_in_s), 3)
