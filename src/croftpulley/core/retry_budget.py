"""How many repeats one box may send, so that all boxes together stay within the shared budget.

The budget of a pool is ``ratio`` times its requests plus ``extra`` in any window. Each box earns
by its own requests, and an equal part of the extra; no box needs to ask another.
"""

from __future__ import annotations

import collections

import attrs


@attrs.frozen(kw_only=True)
class Allowance:
    """The shared budget: repeats in any ``window_s``, for each pool."""

    ratio: float = 0.2
    extra: float = 50.0
    window_s: float = 10.0


@attrs.frozen(kw_only=True)
class Decision:
    """Whether a box may send a repeat, and the figures that decided it, in repeats.

    ``spent`` are those that it sent in the window, ``earned`` what its own requests gave it, and
    ``extra`` its part of what all share.
    """

    is_granted: bool
    spent: int
    earned: float
    extra: float


@attrs.define
class RetryBudget:
    """One box's part of the budget of one pool.

    >>> budget = RetryBudget(Allowance(ratio=0.5, extra=2, window_s=10))
    >>> budget.request(0.0)
    >>> budget.request(0.0)
    >>> [budget.take(1.0, boxes=2).is_granted for _ in range(3)]
    [True, True, False]
    >>> budget.take(20.0, boxes=2)
    Decision(is_granted=True, spent=0, earned=0.0, extra=1.0)
    """

    allowance: Allowance
    _requests_s: collections.deque[float] = attrs.field(factory=collections.deque)
    _repeats_s: collections.deque[float] = attrs.field(factory=collections.deque)

    def request(self, now_s: float) -> None:
        """Count a request's first arrival."""
        self._requests_s.append(now_s)
        self._forget(now_s)

    def take(self, now_s: float, boxes: int) -> Decision:
        """Count a repeat if it is within the budget; ``boxes`` share the extra."""
        self._forget(now_s)
        spent = len(self._repeats_s)
        earned = self.allowance.ratio * len(self._requests_s)
        extra = self.allowance.extra / max(1, boxes)
        is_granted = spent + 1 <= earned + extra
        if is_granted:
            self._repeats_s.append(now_s)
        return Decision(is_granted=is_granted, spent=spent, earned=earned, extra=extra)

    def _forget(self, now_s: float) -> None:
        """Drop what has left the window."""
        for times_s in (self._requests_s, self._repeats_s):
            while times_s and times_s[0] <= now_s - self.allowance.window_s:
                times_s.popleft()
