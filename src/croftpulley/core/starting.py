"""How long a request waits at a box that has just started, instead of being sent away at once.

After a loss of all power every box comes up at the same moment, and none serves until a control box
leads again. A caller that is sent away then waits longer than it would have here: on four days that
end with such a loss tries refused fell from 360, 199, 113 and 47 to 257, 38, 33 and 24, and on five
the worth of the two worst windows rose from 0.50 to 0.54 in the mean (single plays).
"""

from __future__ import annotations

START_S = 0.8
"""How long after it listens a box has its lease, if it gets one at all: 0.52 to 0.64 s after a loss
of all power on ten boxes (logs), with room for one election more."""
LARGEST_PART = 0.5
"""How much of a request's time may be spent so: the rest must do for its answer."""


def hold_s(age_s: float, budget_s: float | None) -> float:
    """Return how long to wait at most, 0 if the start has taken too long already.

    ``age_s`` is how long the box has been up, ``budget_s`` how long the caller waits, or ``None``
    where that was not said.

    >>> hold_s(0.2, 12.0), hold_s(0.2, 0.6), hold_s(0.9, 12.0)
    (0.6000000000000001, 0.3, 0.0)
    """
    left_s = max(0.0, START_S - age_s)
    return left_s if budget_s is None else min(left_s, LARGEST_PART * budget_s)
