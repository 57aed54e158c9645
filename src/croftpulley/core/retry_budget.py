"""How many repeats one box may send, so that all boxes together stay within the shared budget.

Users count the budget at the endpoints: in any window of ``window_s`` a pool gets no more repeats
than ``ratio`` times its requests plus ``extra``, where the requests are those of that window, of
the one before it or of the one half a window before it, whichever are most. No box sees more than
its own part of either, so each goes by rules that hold whatever the others do:

* **The extra** is divided by the boxes that are registered in the replicated log. Every holder of a
  lease is registered, and stays so until what it sent has left every window. A box uses its share
  only while it holds a lease, and only once all others must know of it (`ExtraShare`): so a box
  that starts again, or comes back when it has been forgotten, gives away nothing a second time.
* **Requests** earn half of ``ratio``. Callers that move to another box leave behind a box that
  earned by them and come to one that earns by them again. What all boxes earn by lies in two
  windows at most, and the fuller one holds half of it or more.
* **A repeat** counts from when its bytes leave, not from when it was decided on, and for
  ``arrival_s`` longer than a window: by then it has arrived, or its connection has been ended. What
  the attempt before has not delivered yet is dropped, so that it does not arrive as a repeat.
"""

from __future__ import annotations

import collections

import attrs

_EARNING_SHARE = 0.5
"""Of ``ratio``. With all of it, callers that moved between two boxes had both send what the same
traffic earned: 87 repeats in a window with 48 allowed (200 requests, ratio 0.2, extra 8)."""
_ARRIVAL_SHARE = 0.2
"""Of a window that a repeat may take from its box to its endpoint: 2 s of 10 s, in which a lost
packet is sent again three times (after 0.2, 0.6 and 1.4 s)."""


@attrs.frozen(kw_only=True)
class Allowance:
    """The shared budget: repeats in any ``window_s``, for each pool."""

    ratio: float = 0.2
    extra: float = 50.0
    window_s: float = 10.0

    @property
    def arrival_s(self) -> float:
        """How long a repeat may be on its way; its connection is ended then."""
        return _ARRIVAL_SHARE * self.window_s

    @property
    def counted_s(self) -> float:
        """How long a repeat counts after it was sent."""
        return self.window_s + self.arrival_s

    @property
    def earning_s(self) -> float:
        """How long a request earns repeats: one sent then arrives within a window of it."""
        return self.window_s - self.arrival_s


@attrs.frozen(kw_only=True)
class Grant:
    """A lease as the leader granted it, with what bears on the extra.

    ``boxes`` are registered, this one among them; each stays registered for ``kept_s`` after the
    end of its lease. ``until_s`` is the end of the lease for this box.
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
    """Until when this box is still registered, should it have no other lease."""

    def renewed(self, grant: Grant, now_s: float, counted_s: float) -> ExtraShare:
        """Return the share under a lease that was granted at ``now_s`` at the latest.

        A box that may not have been registered without a break waits until all others have renewed
        since, or lost their lease, and what they sent by a larger share counts no more. So does one
        that has just started, by when what its earlier life sent counts no more either. A leader
        that keeps boxes for less than repeats count (``counted_s``) can grant no share.
        """
        is_new = now_s >= self.kept_until_s
        return ExtraShare(
            boxes=grant.boxes if grant.kept_s >= counted_s else 0,
            from_s=now_s + grant.lease_s + counted_s if is_new else self.from_s,
            until_s=grant.until_s,
            kept_until_s=grant.until_s + grant.kept_s,
        )

    def fraction(self, now_s: float) -> float:
        """Return the share of the extra that this box may use, from 0 to 1."""
        if not self.boxes or not self.from_s <= now_s < self.until_s:
            return 0.0
        return 1 / self.boxes


@attrs.define
class Repeat:
    """A repeat that was granted; ``at_s`` is when it was granted, then when its bytes left."""

    at_s: float


@attrs.frozen(kw_only=True)
class Decision:
    """Whether a box may send a repeat, and the figures that decided it, in repeats.

    ``spent`` are those of its own that count, ``earned`` what its own requests gave it, and
    ``extra`` its share of that of all. ``repeat`` is there if it is granted.
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
    """One box's part of the budget of one pool.

    >>> budget = RetryBudget(Allowance(ratio=0.5, extra=2, window_s=10))
    >>> for _ in range(4): budget.request(0.0)
    >>> [budget.take(1.0, fraction=0.5).is_granted for _ in range(3)]
    [True, True, False]
    >>> budget.take(20.0, fraction=0.5).spent
    0
    """

    allowance: Allowance
    _requests_s: collections.deque[float] = attrs.field(factory=collections.deque)
    _repeats: list[Repeat] = attrs.field(factory=list)

    def request(self, now_s: float) -> None:
        """Count a request's first arrival."""
        self._requests_s.append(now_s)
        self._forget_requests(now_s)

    def take(self, now_s: float, fraction: float) -> Decision:
        """Grant a repeat if it is within the budget; ``fraction`` of the extra is its own."""
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
        """Drop the requests that earn nothing any more."""
        while self._requests_s and self._requests_s[0] <= now_s - self.allowance.earning_s:
            self._requests_s.popleft()

    def _forget_repeats(self, now_s: float) -> None:
        """Drop the repeats that count no more; they are in no order, as some left late."""
        counted_from_s = now_s - self.allowance.counted_s
        self._repeats = [each for each in self._repeats if each.at_s > counted_from_s]
