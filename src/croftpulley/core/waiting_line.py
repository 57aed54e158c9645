"""Queue of the requests of one pool that wait in a box for a permit.

Orders competing callers: the most urgent requests go first, then those of the workspace that
received the fewest permits lately, so that one with high demand waits behind the others and gets
what they leave, then those with the earliest deadline. A request joins the queue only if it is
expected to start while that still helps its caller. It is refused as soon as later arrivals push it
back so far that it can't.
"""

from __future__ import annotations

import enum
import itertools
import math
from collections.abc import Sequence

import attrs

PERMIT_HALF_LIFE_S = 2.0
"""Half-life of the permits that count against a workspace; short, to forgive a burst soon."""
MAX_WAIT_OF_OBJECTIVE = 0.75
"""The share of its latency objective that a request may wait; the rest is for running it."""
MAX_WAIT_OF_TIME_LEFT = 0.4
"""The share of its remaining time that a request may wait; a refused caller must have time to
retry."""
ARRIVAL_HALF_LIFE_S = 1.0
"""Half-life of arrivals in the estimated arrival rate of each urgency."""
_MAX_NAMES = 4096
"""Limits the workspaces that are counted per pool to some 0.5 MB; the one counted least recently is
dropped first."""
_HOLD_WEIGHT = 0.1
"""Weight of the newest request in the moving average of how long permits are held."""


def patience_s(objective_s: float, left_s: float) -> float:
    """Return how long a request may wait for a permit.

    >>> round(patience_s(0.4, 10.0), 3), round(patience_s(0.8, 1.0), 3)
    (0.3, 0.4)
    """
    return max(0.0, min(MAX_WAIT_OF_OBJECTIVE * objective_s, MAX_WAIT_OF_TIME_LEFT * left_s))


@attrs.define(eq=False, kw_only=True)
class Waiter:
    """A request that waits for a permit until ``until_s``.

    ``recent_permits`` is how many permits its workspace received lately, plus the requests of that
    workspace ahead of it. ``number`` breaks ties by order of arrival.
    """

    workspace: str
    urgency: int
    deadline_s: float
    until_s: float
    recent_permits: float = 0.0
    number: int = 0


class DecayingCounts:
    """Counts by name with exponential decay.

    >>> counts = DecayingCounts(half_life_s=2.0)
    >>> counts.add("a", 0.0); counts.add("a", 0.0); counts.add("b", 2.0)
    >>> counts.value("a", 2.0), counts.value("b", 2.0), counts.value("c", 0.0)
    (1.0, 1.0, 0.0)
    """

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._counts: dict[str | int, tuple[float, float]] = {}

    def value(self, name: str | int, now_s: float) -> float:
        """Return the decayed count of a name."""
        count, at_s = self._counts.get(name, (0.0, now_s))
        return count * math.exp2((at_s - now_s) / self._half_life_s)

    def rate_per_s(self, below: int, now_s: float) -> float:
        """Return a low estimate of the recent rate per second of all names below ``below``, as
        numbers.

        Small counts may be chance, so half a standard deviation is subtracted.
        """
        counted = sum(self.value(name, now_s) for name in self._counts if int(name) < below)
        return max(0.0, counted - math.sqrt(counted) / 2) * math.log(2) / self._half_life_s

    def add(self, name: str | int, now_s: float) -> None:
        """Add one to the count of a name."""
        self._counts[name] = (self.value(name, now_s) + 1.0, now_s)
        if len(self._counts) > _MAX_NAMES:
            del self._counts[min(self._counts, key=lambda each: self._counts[each][1])]


class Outcome(enum.Enum):
    """The result of a request for a permit."""

    GRANTED = "granted"
    WAITS = "waits"
    REFUSED = "refused"


@attrs.frozen(kw_only=True)
class Figures:
    """The figures behind a decision, for logs.

    ``permits`` is the number of permits of this box, of which ``in_use`` are held. ``waiting``
    requests wait, ``ahead`` of them before this one. It is expected to start in ``starts_in_s`` and
    may wait for ``patience_s``.
    """

    permits: float
    in_use: int
    waiting: int
    ahead: int
    starts_in_s: float
    patience_s: float


@attrs.frozen(kw_only=True)
class PermitDecision:
    """The response to a request for a permit.

    ``evicted`` are the waiting requests that can't start in time any more and have been removed.
    """

    outcome: Outcome
    figures: Figures
    evicted: Sequence[Waiter] = ()


class PermitQueue:
    """The permits of one pool that are in use, and the queue of requests that wait for one.

    >>> queue = PermitQueue()
    >>> def ask(urgency, workspace=""):
    ...     waiter = Waiter(workspace=workspace, urgency=urgency, deadline_s=9.0, until_s=1.0)
    ...     return waiter, queue.request_permit(waiter, 1.0, 0.0).outcome.name
    >>> [ask(0)[1], ask(2)[1], ask(1)[1]]
    ['GRANTED', 'WAITS', 'WAITS']
    >>> queue.release(0.1)
    >>> [each.urgency for each in queue.grant(1.0, 0.1)]
    [1]
    """

    def __init__(self) -> None:
        self.in_use = 0
        self._recent_permits = DecayingCounts(PERMIT_HALF_LIFE_S)
        self._arrivals = DecayingCounts(ARRIVAL_HALF_LIFE_S)
        self._waiters: list[Waiter] = []
        self._numbers = itertools.count()
        self._hold_s: float | None = None

    def __len__(self) -> int:
        return len(self._waiters)

    @property
    def hold_s(self) -> float:
        """The moving average of how long requests hold their permits; 0 before any has ended."""
        return self._hold_s or 0.0

    def request_permit(self, waiter: Waiter, permits: float, now_s: float) -> PermitDecision:
        """Grant a request a permit, add it to the queue, or refuse it."""
        self._arrivals.add(waiter.urgency, now_s)
        if self.in_use < permits and not self._waiters:
            self._take_permit(waiter, now_s)
            return PermitDecision(
                outcome=Outcome.GRANTED, figures=self._figures(waiter, permits, 0, now_s)
            )
        waiter.number = next(self._numbers)
        self._waiters.append(waiter)
        self._reorder(waiter.workspace, now_s)
        ahead = self._waiters.index(waiter)
        figures = self._figures(waiter, permits, ahead, now_s)
        if figures.starts_in_s > figures.patience_s:
            self._waiters.remove(waiter)
            self._reorder(waiter.workspace, now_s)
            return PermitDecision(outcome=Outcome.REFUSED, figures=figures)
        evicted = self._unable_to_start(permits, now_s)
        for each in evicted:
            self._waiters.remove(each)
        return PermitDecision(outcome=Outcome.WAITS, figures=figures, evicted=evicted)

    def grant(self, permits: float, now_s: float) -> list[Waiter]:
        """Grant the free permits to the requests at the head of the queue, and return these."""
        granted = []
        while self._waiters and self.in_use < permits:
            waiter = self._waiters.pop(0)
            self._take_permit(waiter, now_s)
            granted.append(waiter)
        return granted

    def release(self, held_s: float) -> None:
        """Release a permit that was held for ``held_s``."""
        self.in_use -= 1
        if self._hold_s is None:
            self._hold_s = held_s
        else:
            self._hold_s += _HOLD_WEIGHT * (held_s - self._hold_s)

    def remove(self, waiter: Waiter) -> None:
        """Remove a request from the queue if it is there."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def _reorder(self, workspace: str, now_s: float) -> None:
        """Reorder a workspace's requests; each counts those ahead of it as received permits."""
        got = self._recent_permits.value(workspace, now_s)
        own = sorted(
            (each for each in self._waiters if each.workspace == workspace), key=_workspace_sort_key
        )
        for position, each in enumerate(own):
            each.recent_permits = got + position
        self._waiters.sort(key=_sort_key)

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
        """Return when a request with ``ahead`` requests before it is expected to start.

        More urgent requests that arrive later go before it too. If they take all released permits,
        it never starts and the result is infinite.
        """
        if not self.hold_s:
            return 0.0
        free_per_s = max(1.0, permits) / self.hold_s - self._arrivals.rate_per_s(urgency, now_s)
        return (ahead + 1) / free_per_s if free_per_s > 0 else math.inf

    def _unable_to_start(self, permits: float, now_s: float) -> list[Waiter]:
        """Return the waiting requests that aren't expected to start in time."""
        unable = []
        ahead = 0
        for each in self._waiters:
            starts_in_s = self._starts_in_s(ahead, permits, each.urgency, now_s)
            if now_s + starts_in_s > each.until_s:
                unable.append(each)
            else:
                ahead += 1
        return unable

    def _take_permit(self, waiter: Waiter, now_s: float) -> None:
        self.in_use += 1
        self._recent_permits.add(waiter.workspace, now_s)


def _workspace_sort_key(waiter: Waiter) -> tuple[int, float, int]:
    """Return the sort key of requests within a workspace."""
    return (waiter.urgency, waiter.deadline_s, waiter.number)


def _sort_key(waiter: Waiter) -> tuple[int, float, float, int]:
    """Return the sort key of the queue."""
    return (waiter.urgency, waiter.recent_permits, waiter.deadline_s, waiter.number)
