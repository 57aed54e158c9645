"""What the shared budget of repeats allows, judged from what endpoints and callers saw."""

from __future__ import annotations

import bisect
from collections.abc import Sequence

import attrs

from croftpulley.core import retry_budget


@attrs.frozen
class Excess:
    """A window with more repeats than are allowed."""

    from_s: float
    repeats: int
    allowed: float


def worst_excess(
    allowance: retry_budget.Allowance, requests_s: Sequence[float], repeats_s: Sequence[float]
) -> Excess | None:
    """Return the window with the most repeats beyond what is allowed, ``None`` if there is none.

    ``requests_s`` are the times at which callers sent requests to a pool, ``repeats_s`` those at
    which arrivals beyond the first of their request reached its endpoints. The requests of a window
    are those of that window, the one before it or the one that begins half a window before it,
    whichever holds the most.
    """
    requests = sorted(requests_s)
    repeats = sorted(repeats_s)
    found = []
    for from_s in repeats:
        used = _within(repeats, from_s, allowance.window_s)
        allowed = _allowed(allowance, requests, from_s)
        if used > allowed:
            found.append(Excess(from_s, used, allowed))
    return max(found, key=lambda each: each.repeats - each.allowed, default=None)


def _allowed(allowance: retry_budget.Allowance, requests: Sequence[float], from_s: float) -> float:
    counts = [
        _within(requests, from_s - before * allowance.window_s, allowance.window_s)
        for before in (0.0, 0.5, 1.0)
    ]
    return allowance.ratio * max(counts) + allowance.extra


def _within(times_s: Sequence[float], from_s: float, window_s: float) -> int:
    first = bisect.bisect_left(times_s, from_s)
    return bisect.bisect_right(times_s, from_s + window_s) - first
