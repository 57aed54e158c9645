"""Congestion window of a box at an endpoint that rejected it recently.

After the rest that an endpoint asked for, all rejected callers return at once and would fill it
again. So a box starts with fewer concurrent requests than it had when it was rejected, and
increases them slowly, as TCP does after congestion.
"""

from __future__ import annotations

import attrs

_DECREASE_FACTOR = 0.7
"""Decrease factor on a rejection. Half leaves endpoints idle whose requests take seconds; nearly
all fills them again at once."""
WINDOW_TTL_S = 10.0
"""How long the window applies after the last rejection: a surge lasts some seconds."""


@attrs.define
class CongestionWindow:
    """Window of one box at one endpoint; ``size`` limits its concurrent requests there.

    >>> window = CongestionWindow()
    >>> window.turned_away(10, 1.0); window.admits(6), window.admits(7)
    (True, False)
    >>> for _ in range(8): window.accepted()
    >>> window.admits(7)
    True
    """

    size: float = float("inf")
    turned_away_at_s: float = float("-inf")

    @property
    def is_blank(self) -> bool:
        """Tell whether there is no limit."""
        return self.size == float("inf")

    def admits(self, in_flight: int) -> bool:
        """Tell whether another request may be sent, in addition to those in flight."""
        return in_flight + 1 <= self.size

    def turned_away(self, in_flight: int, now_s: float) -> None:
        """Shrink the window, as the endpoint asked for rest; ``in_flight`` includes the rejected
        request.

        Call it once per rest: concurrent requests are rejected together.
        """
        self.size = max(1.0, _DECREASE_FACTOR * in_flight)
        self.turned_away_at_s = now_s

    def accepted(self) -> None:
        """Widen the window, as the endpoint accepted a request."""
        self.size += 1.0 / self.size

    def forget(self, now_s: float) -> None:
        """Lift the limit if the last rejection is old enough."""
        if now_s >= self.turned_away_at_s + WINDOW_TTL_S:
            self.size = float("inf")
