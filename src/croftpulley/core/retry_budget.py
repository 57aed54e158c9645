"""Limits the retries of one box so that all boxes together stay within a shared retry budget.

A retry is called *repeat* here, as in logs and metrics. Users count the budget at the endpoints: in
any window of ``window_s`` a pool gets no more repeats than ``ratio`` times its requests plus
``extra``. The requests are those of that window, of the one before it or of the one half a window
before it, whichever are most. A box sees only its own requests and repeats, so it follows rules
that hold whatever the others do:

* **The extra** is divided by the boxes that are registered in the replicated log. Every holder of a
  lease is registered, and stays so until what it sent has left every window. A box uses its share
  only while it holds a lease, and only once all others must know of it (`ExtraShare`). So a box
  that restarts, or returns after its registration has expired, does not use a share twice.
* **Requests** earn half of ``ratio``. Callers that move to another box are counted by both: the box
  that they left has earned by them, and the new one earns by them again. All requests that boxes
  earn by lie in at most two windows, and the fuller one holds at least half of them.
* **A repeat** counts from when its bytes are sent, not from the decision, and for ``arrival_s``
  longer than a window: by then it has arrived, or its connection has been closed. Undelivered bytes
  of the previous attempt are discarded, so that they do not arrive as a repeat.
"""

from __future__ import annotations

import collections

import attrs

_EARNING_SHARE = 0.5
"""Share of ``ratio`` that a request earns. With all of it, callers that moved between two boxes had
both send what the same traffic earned: 87 repeats in a window with 48 allowed (200 requests, ratio
0.2, extra 8)."""
_ARRIVAL_SHARE = 0.2
"""Share of a window that a repeat may take from its box to its endpoint: 2 s of 10 s, in which a
lost packet is retransmitted three times (after 0.2, 0.6 and 1.4 s)."""


@attrs.frozen(kw_only=True)
class Allowance:
    """The shared budget of each pool: repeats in any ``window_s``."""

    ratio: float = 0.2
    extra: float = 50.0
    window_s: float = 10.0

    @property
    def arrival_s(self) -> float:
        """How long a repeat may be in transit; then its connection is closed."""
        return _ARRIVAL_SHARE * self.window_s

    @property
    def counted_s(self) -> float:
        """How long a repeat counts after it was sent."""
        return self.window_s + self.arrival_s

    @property
    def earning_s(self) -> float:
        """How long a request earns repeats: one sent within it arrives within a window of the
        request.
        """
        return self.window_s - self.arrival_s


@attrs.frozen(kw_only=True)
class Grant:
    """A lease granted by the leader, with what determines the share of the extra.

    ``boxes`` is how many are registered, including this one; each stays registered for ``kept_s``
    after its lease ends. ``until_s`` is the end of this box's lease.
    """

    lease_s: float
    until_s: float
    boxes: int
    kept_s: float


@attrs.frozen(kw_only=True)
class ExtraShare:
    """A box's share of the extra: none without a lease, nor before ``from_s``.

    >>> grant = Grant(lease_s=3, until_s=13, boxes=4, kept_s=12)
    >>> share = ExtraShare().renewed(grant, now_s=10, counted_s=12)
    >>> share.fraction(12), share.from_s
    (0.0, 25)
    >>> share = share.renewed(attrs.evolve(grant, until_s=27), now_s=24, counted_s=12)
    >>> share.fraction(26), share.fraction(27)
    (0.25, 0.0)
    """

    boxes: int = 0
    from_s: float = float("inf")
    until_s: float = float("-inf")
    kept_until_s: float = float("-inf")
    """Until when this box stays registered if its lease is not renewed."""

    def renewed(self, grant: Grant, now_s: float, counted_s: float) -> ExtraShare:
        """Return the share under a lease that was granted at ``now_s`` at the latest.

        A box whose registration may have lapsed waits until all others have renewed since, or lost
        their lease, and what they sent under a larger share counts no more. A box that has just
        started waits too, until what its previous process sent counts no more. A leader that keeps
        registrations for less than repeats count (``counted_s``) can grant no share.
        """
        is_new = now_s >= self.kept_until_s
        return ExtraShare(
            boxes=grant.boxes if grant.kept_s >= counted_s else 0,
            from_s=now_s + grant.lease_s + counted_s if is_new else self.from_s,
            until_s=grant.until_s,
            kept_until_s=grant.until_s + grant.kept_s,
        )

    def fraction(self, now_s: float) -> float:
        """Return the share of the extra that this box may use now, from 0 to 1."""
        if not self.boxes or not self.from_s <= now_s < self.until_s:
            return 0.0
        return 1 / self.boxes


@attrs.define
class Repeat:
    """A granted repeat; ``at_s`` is when it was granted, later when its bytes were sent."""

    at_s: float


@attrs.frozen(kw_only=True)
class Decision:
    """Whether a box may send a repeat, and the figures behind it, in repeats.

    ``spent`` are the box's own repeats that still count, ``earned`` is what its requests earned,
    and ``extra`` its share of the fleet's extra. ``repeat`` is set if it is granted.
    """

    repeat: Repeat | None
    spent: int
    earned: float
    extra: float

    @property
    def is_granted(self) -> bool:
        """Tell whether the repeat may be sent."""
        return self.repeat is not None


@attrs.define
class RetryBudget:
    """One box's part of the retry budget of one pool.

    >>> budget = RetryBudget(Allowance(ratio=0.5, extra=2, window_s=10))
    >>> for _ in range(4): budget.request(0.0)
    >>> [budget.acquire(1.0, fraction=0.5).is_granted for _ in range(3)]
    [True, True, False]
    >>> budget.acquire(20.0, fraction=0.5).spent
    0
    """

    allowance: Allowance
    _requests_s: collections.deque[float] = attrs.field(factory=collections.deque)
    _repeats: list[Repeat] = attrs.field(factory=list)

    def request(self, now_s: float) -> None:
        """Count a new request; its repeats do not count."""
        self._requests_s.append(now_s)
        self._forget_requests(now_s)

    def acquire(self, now_s: float, fraction: float) -> Decision:
        """Grant a repeat if the budget allows it; this box may use ``fraction`` of the extra."""
        self._forget_requests(now_s)
        self._forget_repeats(now_s)
        spent = len(self._repeats)
        earned = _EARNING_SHARE * self.allowance.ratio * len(self._requests_s)
        extra = self.allowance.extra * fraction
        repeat = Repeat(now_s) if spent + 1 <= earned + extra else None
        if repeat is not None:
            self._repeats.append(repeat)
        return Decision(repeat=repeat, spent=spent, earned=earned, extra=extra)

    def _forget_requests(self, now_s: float) -> None:
        """Drop requests that are too old to earn repeats."""
        while self._requests_s and self._requests_s[0] <= now_s - self.allowance.earning_s:
            self._requests_s.popleft()

    def _forget_repeats(self, now_s: float) -> None:
        """Drop repeats that count no more; they are not in order, as some were sent late."""
        counted_from_s = now_s - self.allowance.counted_s
        self._repeats = [each for each in self._repeats if each.at_s > counted_from_s]
