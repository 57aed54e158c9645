"""The requests of one pool that wait in a box for room, in the order in which they get it.

Answers callers who compete: the most urgent go first; among equals those of the workspace that got
least lately, so that a greedy one waits behind all others and takes what they leave; then those
with the least time. A request joins only if it can be expected to begin while that helps its
caller, and is refused as soon as others push it so far back that it can't.
"""

from __future__ import annotations

import enum
import itertools
import math
from collections.abc import Sequence

import attrs

HALF_LIFE_S = 2.0
"""How long until what a workspace got counts half: it should not pay for long for a burst."""
OBJECTIVE_PART = 0.75
"""Of its objective that a request may wait: the rest is for running it."""
TIME_LEFT_PART = 0.4
"""Of its caller's time that a request may wait: whoever is refused must still be able to return."""
RATE_HALF_LIFE_S = 1.0
"""How long until an arrival counts half towards the rate of its rank."""
_MOST_NAMES = 4096
"""Workspaces remembered of a pool, some 0.5 MB; beyond that the oldest count is forgotten."""
_HOLD_WEIGHT = 0.1
"""Of the newest request in the mean time for which requests hold their permits."""


def patience_s(objective_s: float, left_s: float) -> float:
    """Return how long a request may wait for room.

    >>> round(patience_s(0.4, 10.0), 3), round(patience_s(0.8, 1.0), 3)
    (0.3, 0.4)
    """
    return max(0.0, min(OBJECTIVE_PART * objective_s, TIME_LEFT_PART * left_s))


@attrs.define(eq=False, kw_only=True)
class Waiter:
    """One request that waits; ``until_s`` is when it gives up.

    ``got`` is how many permits its workspace got lately, with those that its requests ahead wait
    for, and ``number`` tells apart what is alike.
    """

    workspace: str
    urgency: int
    deadline_s: float
    until_s: float
    got: float = 0.0
    number: int = 0


class FadingCounts:
    """Counts by name, old ones counting less and less.

    >>> counts = FadingCounts(half_life_s=2.0)
    >>> counts.add("a", 0.0); counts.add("a", 0.0); counts.add("b", 2.0)
    >>> counts.of("a", 2.0), counts.of("b", 2.0), counts.of("c", 0.0)
    (1.0, 1.0, 0.0)
    """

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._counts: dict[str | int, tuple[float, float]] = {}

    def of(self, name: str | int, now_s: float) -> float:
        """Return what was counted of a name."""
        count, at_s = self._counts.get(name, (0.0, now_s))
        return count * math.exp2((at_s - now_s) / self._half_life_s)

    def per_s(self, below: int, now_s: float) -> float:
        """Return how many a second were counted lately of all numbers below this one, at least.

        Few may be chance: half a standard deviation less is taken.
        """
        counted = sum(self.of(name, now_s) for name in self._counts if int(name) < below)
        return max(0.0, counted - math.sqrt(counted) / 2) * math.log(2) / self._half_life_s

    def add(self, name: str | int, now_s: float) -> None:
        """Count one."""
        self._counts[name] = (self.of(name, now_s) + 1.0, now_s)
        if len(self._counts) > _MOST_NAMES:
            del self._counts[min(self._counts, key=lambda each: self._counts[each][1])]


class Outcome(enum.Enum):
    """What becomes of a request that asks for a permit."""

    GRANTED = "granted"
    WAITS = "waits"
    REFUSED = "refused"


@attrs.frozen(kw_only=True)
class Figures:
    """What decided: the permits of this box, those in use, who waits and who of them goes before,
    when the request could be expected to begin, and how long it may wait.
    """

    permits: float
    in_use: int
    waiting: int
    ahead: int
    starts_in_s: float
    patience_s: float


@attrs.frozen(kw_only=True)
class Asked:
    """The answer to a request for a permit; ``pushed_out`` waited and cannot begin in time now."""

    outcome: Outcome
    figures: Figures
    pushed_out: Sequence[Waiter] = ()


class Line:
    """The permits of one pool that are in use, and the requests that wait for one.

    >>> line = Line()
    >>> def ask(urgency, workspace=""):
    ...     waiter = Waiter(workspace=workspace, urgency=urgency, deadline_s=9.0, until_s=1.0)
    ...     return waiter, line.ask(waiter, 1.0, 0.0).outcome.name
    >>> [ask(0)[1], ask(2)[1], ask(1)[1]]
    ['GRANTED', 'WAITS', 'WAITS']
    >>> line.give_back(0.1)
    >>> [each.urgency for each in line.grant(1.0, 0.1)]
    [1]
    """

    def __init__(self) -> None:
        self.in_use = 0
        self._received = FadingCounts(HALF_LIFE_S)
        self._asked = FadingCounts(RATE_HALF_LIFE_S)
        self._waiters: list[Waiter] = []
        self._numbers = itertools.count()
        self._hold_s: float | None = None

    def __len__(self) -> int:
        return len(self._waiters)

    @property
    def hold_s(self) -> float:
        """For how long requests hold their permits, in the mean; 0 before any has ended."""
        return self._hold_s or 0.0

    def ask(self, waiter: Waiter, permits: float, now_s: float) -> Asked:
        """Give a request a permit, have it wait, or refuse it."""
        self._asked.add(waiter.urgency, now_s)
        if self.in_use < permits and not self._waiters:
            self._use(waiter, now_s)
            return Asked(outcome=Outcome.GRANTED, figures=self._figures(waiter, permits, 0, now_s))
        waiter.number = next(self._numbers)
        self._waiters.append(waiter)
        self._arrange(waiter.workspace, now_s)
        ahead = self._waiters.index(waiter)
        figures = self._figures(waiter, permits, ahead, now_s)
        if figures.starts_in_s > figures.patience_s:
            self._waiters.remove(waiter)
            self._arrange(waiter.workspace, now_s)
            return Asked(outcome=Outcome.REFUSED, figures=figures)
        pushed_out = self._hopeless(permits, now_s)
        for each in pushed_out:
            self._waiters.remove(each)
        return Asked(outcome=Outcome.WAITS, figures=figures, pushed_out=pushed_out)

    def grant(self, permits: float, now_s: float) -> list[Waiter]:
        """Give what is free to those who are first, and return them."""
        granted = []
        while self._waiters and self.in_use < permits:
            waiter = self._waiters.pop(0)
            self._use(waiter, now_s)
            granted.append(waiter)
        return granted

    def give_back(self, held_s: float) -> None:
        """Take back a permit that was held for so long."""
        self.in_use -= 1
        if self._hold_s is None:
            self._hold_s = held_s
        else:
            self._hold_s += _HOLD_WEIGHT * (held_s - self._hold_s)

    def leave(self, waiter: Waiter) -> None:
        """Take out a request that waits no more."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def _arrange(self, workspace: str, now_s: float) -> None:
        """Put a workspace's requests in their places: each counts those before it as received."""
        got = self._received.of(workspace, now_s)
        own = sorted(
            (each for each in self._waiters if each.workspace == workspace), key=_order_alike
        )
        for position, each in enumerate(own):
            each.got = got + position
        self._waiters.sort(key=_order)

    def _figures(self, waiter: Waiter, permits: float, ahead: int, now_s: float) -> Figures:
        return Figures(
            permits=permits,
            in_use=self.in_use,
            waiting=sum(each is not waiter for each in self._waiters),
            ahead=ahead,
            starts_in_s=self._starts_in_s(ahead, permits, waiter.urgency, now_s),
            patience_s=max(0.0, waiter.until_s - now_s),
        )

    def _starts_in_s(self, ahead: int, permits: float, urgency: int, now_s: float) -> float:
        """Return when a request can be expected to begin that has so many ahead of it.

        The more urgent that are still to come go before it too: where they take all permits that
        are given back it does not begin.
        """
        if not self.hold_s:
            return 0.0
        free_per_s = max(1.0, permits) / self.hold_s - self._asked.per_s(urgency, now_s)
        return (ahead + 1) / free_per_s if free_per_s > 0 else math.inf

    def _hopeless(self, permits: float, now_s: float) -> list[Waiter]:
        """Return those that cannot be expected to begin in time, given who goes before them."""
        hopeless = []
        ahead = 0
        for each in self._waiters:
            starts_in_s = self._starts_in_s(ahead, permits, each.urgency, now_s)
            if now_s + starts_in_s > each.until_s:
                hopeless.append(each)
            else:
                ahead += 1
        return hopeless

    def _use(self, waiter: Waiter, now_s: float) -> None:
        self.in_use += 1
        self._received.add(waiter.workspace, now_s)


def _order_alike(waiter: Waiter) -> tuple[int, float, int]:
    """Return what decides who goes first within a workspace."""
    return (waiter.urgency, waiter.deadline_s, waiter.number)


def _order(waiter: Waiter) -> tuple[int, float, float, int]:
    """Return what decides who goes first."""
    return (waiter.urgency, waiter.got, waiter.deadline_s, waiter.number)
