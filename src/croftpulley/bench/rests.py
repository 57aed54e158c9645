"""Compares ways of dealing with endpoints that ask for rest, in virtual time, as callers see them.

A pool of plain endpoints with slots and a short queue. Each turns away what finds its queue full,
or in some spans whatever comes, and asks the box for rest. Boxes choose the least busy endpoint by
their own counts and what the last renewal told of the others', and send a request elsewhere within
the shared budget of repeats. Callers come back once, after as long as they were told, but for no
longer than a third of the time that they have left.
"""

from __future__ import annotations

import abc
import collections
import enum
import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from croftpulley.bench import table
from croftpulley.core import retry_budget, retry_times, selection, window, withdrawal

BOXES = (1, 12, 92)
_ENDPOINTS = 6
_QUEUE = 8
_HOP_S = 0.001
_RENEW_S = 0.25
_SECONDS = 20.0
_OBJECTIVE_S = 0.6
_BUDGET_S = 6.0
_MANY = 6
"""Requests served after a rest, from which on `Doubling` bounds nothing."""
_URGENT = 0.3
"""The share of callers that should return before the others."""
_HONOURED = 1 / 3
"""Of the time that a caller has left, for which it waits at most before it comes back."""


class Sharing(enum.Enum):
    """What other boxes make of a rest that an endpoint asked one box for."""

    OWN = "own"
    """Nothing: it is not told to them."""
    AVOIDED = "avoided"
    """They choose another endpoint where there is one."""
    BINDING = "binding"
    """They send nothing either."""


@attrs.define
class _Opening:
    """What one box has at one endpoint, and how that has gone since it last asked for rest."""

    in_flight: int = 0
    served: int = 0
    window: window.CongestionWindow = attrs.field(factory=window.CongestionWindow)


class Reopening(abc.ABC):
    """How much a box sends to an endpoint that has asked it for rest, once that is over."""

    @abc.abstractmethod
    def may_send(self, opening: _Opening) -> bool:
        """Tell whether one request more may go there."""


class AtOnce(Reopening):
    """As much as to any other."""

    def may_send(self, opening: _Opening) -> bool:
        """Tell whether one request more may go there."""
        return True


class OneFirst(Reopening):
    """One request; as much as to any other once that was served."""

    def may_send(self, opening: _Opening) -> bool:
        """Tell whether one request more may go there."""
        return opening.served > 0 or opening.in_flight == 0


class Doubling(Reopening):
    """Twice as many at once with each that was served, until there are many."""

    def may_send(self, opening: _Opening) -> bool:
        """Tell whether one request more may go there."""
        return opening.served > _MANY or opening.in_flight < 2**opening.served


class Windowed(Reopening):
    """Less than when it was turned away, then slowly more (`core.window`)."""

    def may_send(self, opening: _Opening) -> bool:
        """Tell whether one request more may go there."""
        return opening.window.admits(opening.in_flight)


class Waiting(abc.ABC):
    """What becomes of a request while a whole pool rests."""

    @abc.abstractmethod
    def held_s(self, opens_in_s: float, left_s: float) -> float:
        """Return how long the box holds it before it looks once more; 0: it is refused."""

    @abc.abstractmethod
    def told_s(self, opens_in_s: float, left_s: float, place: float) -> float:
        """Return when a caller that is refused is told to come back.

        ``place``, from 0 to 1, is its place among all that are.
        """


@attrs.frozen
class Refused(Waiting):
    """Refused at once, until the earliest end of a rest and a part of ``spread`` more."""

    spread: float = 0.0

    def held_s(self, opens_in_s: float, left_s: float) -> float:
        """Return 0: nothing is held."""
        return 0.0

    def told_s(self, opens_in_s: float, left_s: float, place: float) -> float:
        """Return when to come back."""
        return retry_times.wait_s(opens_in_s, left_s, self.spread, place)


@attrs.frozen
class Held(Refused):
    """Held for rests that end within ``longest_s``, else refused."""

    longest_s: float = 0.0

    def held_s(self, opens_in_s: float, left_s: float) -> float:
        """Return how long to hold it."""
        return opens_in_s if opens_in_s <= self.longest_s else 0.0


@attrs.frozen(kw_only=True)
class Way:
    """One way of dealing with rests."""

    name: str
    obeys: bool = True
    sharing: Sharing = Sharing.OWN
    reopening: Reopening = attrs.field(factory=AtOnce)
    waiting: Waiting = attrs.field(factory=Refused)


@attrs.frozen(kw_only=True)
class Day:
    """What endpoints do: turn everything away for a span, or only what they cannot take."""

    name: str
    load: float
    """Of what all endpoints can serve."""
    slots: int = 8
    work_s: float = 0.1
    surge: float = 1.0
    """Times as much within the span."""
    turning_away: int = 0
    """Endpoints that turn everything away within the span."""
    of_one_box: bool = False
    """Whether they do so to the first box only."""
    from_s: float = 3.0
    until_s: float = 13.0
    rest_s: float = 3.0

    @property
    def takes_per_s(self) -> float:
        """How many requests a second all endpoints can serve."""
        return _ENDPOINTS * self.slots / self.work_s


DAYS = (
    Day(name="some", load=0.5, turning_away=2),
    Day(name="all", load=0.5, turning_away=_ENDPOINTS, until_s=7.0, rest_s=1.0),
    Day(name="full", load=0.6, surge=2.5, rest_s=1.0),
    Day(name="full_streams", load=0.6, surge=2.5, rest_s=1.0, slots=32, work_s=2.0),
    Day(name="one_box", load=0.5, turning_away=3, of_one_box=True),
)
WAYS = (
    Way(name="ignored", obeys=False),
    Way(name="own"),
    Way(name="avoided", sharing=Sharing.AVOIDED),
    Way(name="binding", sharing=Sharing.BINDING),
    Way(name="one_first", reopening=OneFirst()),
    Way(name="doubling", reopening=Doubling()),
    Way(name="window", reopening=Windowed()),
    Way(name="window_held", reopening=Windowed(), waiting=Held(longest_s=0.4)),
    Way(
        name="window_spread", reopening=Windowed(), waiting=Refused(spread=retry_times.JITTER_SHARE)
    ),
)
"""``window_spread`` is what routers do; the others differ from ``own`` in one thing each."""


@attrs.define
class _Caller:
    """One caller's request, over all its tries."""

    begun_s: float
    is_urgent: bool
    tries: int = 0

    def left_s(self, now_s: float) -> float:
        return _BUDGET_S - (now_s - self.begun_s)


@attrs.define
class _Endpoint:
    """Slots and a queue; what finds both full is turned away."""

    number: int
    running: int = 0
    waiting: collections.deque[Callable[[], None]] = attrs.field(factory=collections.deque)

    @property
    def load(self) -> int:
        return self.running + len(self.waiting)


@attrs.define
class _Box:
    """What one box knows: by its own requests, and by the last renewal."""

    number: int
    budget: retry_budget.RetryBudget
    said: list[withdrawal.Withdrawal]
    openings: list[_Opening]
    sent: list[int]
    told_loads: list[int]
    told_until_s: list[float]
    """Until when endpoints rest that asked others."""


@attrs.define
class Figures:
    """What callers and endpoints saw."""

    callers: int = 0
    in_time: int = 0
    late: int = 0
    refused_twice: int = 0
    refused_once: int = 0
    arrivals: int = 0
    turned_away: int = 0
    held_s: float = 0.0
    urgent: int = 0
    urgent_in_time: int = 0
    urgent_served: int = 0

    def rows(self, key: str) -> list[table.Row]:
        """Return shares of all callers, and arrivals turned away for each of them."""
        all_callers = max(1, self.callers)
        shares = {
            "in_time": self.in_time,
            "late": self.late,
            "refused_once": self.refused_once,
            "refused_twice": self.refused_twice,
            "turned_away": self.turned_away,
        }
        return [
            table.Row(f"{key}_{name}_ratio", round(count / all_callers, 3))
            for name, count in shares.items()
        ]


class Play:
    """One day, one way, so many boxes."""

    def __init__(self, day: Day, way: Way, boxes: int, seed: int = 1) -> None:
        self._day = day
        self._way = way
        self._chance = random.Random(seed)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._now_s = 0.0
        self._endpoints = [_Endpoint(number) for number in range(_ENDPOINTS)]
        self._boxes = [_box(number) for number in range(boxes)]
        self.figures = Figures()

    def run(self) -> Figures:
        """Play the day."""
        self._at(0.0, self._arrive)
        for box in self._boxes:
            self._at(self._chance.uniform(0.0, _RENEW_S), lambda box=box: self._renew(box))  # type: ignore[misc]
        while self._queue and self._queue[0][0] < _SECONDS + _BUDGET_S:
            self._now_s, _, act = heapq.heappop(self._queue)
            act()
        return self.figures

    def _at(self, at_s: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (at_s, next(self._order), act))

    def _after(self, wait_s: float, act: Callable[[], None]) -> None:
        self._at(self._now_s + wait_s, act)

    @property
    def _is_in_span(self) -> bool:
        return self._day.from_s <= self._now_s < self._day.until_s

    def _arrive(self) -> None:
        """Have one caller come, and the next one after it."""
        surge = self._day.surge if self._is_in_span else 1.0
        per_s = surge * self._day.load * self._day.takes_per_s
        if self._now_s < _SECONDS:
            self._after(self._chance.expovariate(per_s), self._arrive)
            self.figures.callers += 1
            caller = _Caller(self._now_s, self._chance.random() < _URGENT)
            self.figures.urgent += caller.is_urgent
            self._ask(caller)

    def _ask(self, caller: _Caller) -> None:
        caller.tries += 1
        box = self._chance.choice(self._boxes)
        box.budget.request(self._now_s)
        self._send(box, caller, frozenset())

    def _renew(self, box: _Box) -> None:
        """Tell a box what all others have in flight, and which of them were asked for rest."""
        self._after(_RENEW_S, lambda: self._renew(box))
        for number, endpoint in enumerate(self._endpoints):
            box.openings[number].window.forget(self._now_s)
            box.told_loads[number] = endpoint.load - box.sent[number]
            box.told_until_s[number] = max(each.said[number].until_s for each in self._boxes)

    def _send(self, box: _Box, caller: _Caller, tried: frozenset[int]) -> None:
        number = self._choose(box, tried)
        if number is not None:
            self._depart(box, caller, number, tried)
            return
        opens_in_s = self._opens_in_s(box)
        left_s = caller.left_s(self._now_s)
        held_s = self._way.waiting.held_s(opens_in_s, left_s) if not tried else 0.0
        if held_s:
            self.figures.held_s += held_s
            self._after(held_s, lambda: self._send(box, caller, tried))
            return
        self._refuse(caller, self._told_s(box, caller))

    def _choose(self, box: _Box, tried: frozenset[int]) -> int | None:
        left = [n for n in range(_ENDPOINTS) if n not in tried and self._may_send(box, n)]
        if self._way.sharing is Sharing.AVOIDED:
            left = [n for n in left if box.told_until_s[n] <= self._now_s] or left
        if not left:
            return None
        candidates = [
            selection.Candidate(name=str(n), hall="", load=box.told_loads[n] + box.sent[n])
            for n in left
        ]
        key = str(self._chance.random())
        return int(selection.choose_least_busy(key, candidates, "").name)

    def _may_send(self, box: _Box, number: int) -> bool:
        if not self._way.obeys:
            return True
        if box.said[number].is_in_effect(self._now_s):
            return False
        if self._way.sharing is Sharing.BINDING and self._now_s < box.told_until_s[number]:
            return False
        has_rested = box.said[number].until_s > float("-inf")
        return not has_rested or self._way.reopening.may_send(box.openings[number])

    def _opens_in_s(self, box: _Box) -> float:
        ends_s = [each.until_s - self._now_s for each in box.said]
        # Those that take requests again, but have as many of this box as they may, open soon.
        return max(retry_times.MIN_WAIT_S, min(ends_s))

    def _depart(self, box: _Box, caller: _Caller, number: int, tried: frozenset[int]) -> None:
        box.sent[number] += 1
        box.openings[number].in_flight += 1
        self._after(_HOP_S, lambda: self._reach(box, caller, number, tried))

    def _reach(self, box: _Box, caller: _Caller, number: int, tried: frozenset[int]) -> None:
        endpoint = self._endpoints[number]
        self.figures.arrivals += 1
        if self._turns_away(endpoint, box):
            self.figures.turned_away += 1
            self._after(_HOP_S, lambda: self._declined(box, caller, number, tried))
        elif endpoint.running < self._day.slots:
            self._work(endpoint, box, caller)
        else:
            endpoint.waiting.append(lambda: self._work(endpoint, box, caller))

    def _turns_away(self, endpoint: _Endpoint, box: _Box) -> bool:
        if endpoint.load >= self._day.slots + _QUEUE:
            return True
        meant = not self._day.of_one_box or box.number == 0
        return self._is_in_span and meant and endpoint.number < self._day.turning_away

    def _work(self, endpoint: _Endpoint, box: _Box, caller: _Caller) -> None:
        endpoint.running += 1
        opening = box.openings[endpoint.number]
        opening.served += 1
        opening.window.accepted()
        self.figures.urgent_served += caller.is_urgent
        if self._now_s - caller.begun_s <= _OBJECTIVE_S:
            self.figures.in_time += 1
            self.figures.urgent_in_time += caller.is_urgent
        else:
            self.figures.late += 1
        work_s = self._chance.expovariate(1 / self._day.work_s)
        self._after(work_s, lambda: self._worked(endpoint, box, caller))

    def _worked(self, endpoint: _Endpoint, box: _Box, caller: _Caller) -> None:
        endpoint.running -= 1
        box.sent[endpoint.number] -= 1
        box.openings[endpoint.number].in_flight -= 1
        if endpoint.waiting:
            endpoint.waiting.popleft()()

    def _declined(self, box: _Box, caller: _Caller, number: int, tried: frozenset[int]) -> None:
        self._rest(box, number)
        tried |= {number}
        if self._choose(box, tried) is None:
            self._refuse(caller, self._told_s(box, caller))
        elif box.budget.acquire(self._now_s, 1 / len(self._boxes)).is_granted:
            self._send(box, caller, tried)
        else:
            self._refuse(caller, retry_times.MIN_WAIT_S)

    def _rest(self, box: _Box, number: int) -> None:
        """Take it that an endpoint has asked a box for rest."""
        opening, said = box.openings[number], box.said[number]
        if not said.is_in_effect(self._now_s):
            opening.window.turned_away(opening.in_flight, self._now_s)
        opening.served = 0
        opening.in_flight -= 1
        box.sent[number] -= 1
        said.apply(withdrawal.Notice(rest_s=self._day.rest_s), self._now_s)

    def _told_s(self, box: _Box, caller: _Caller) -> float:
        """Return when a caller that is refused is told to come back."""
        place = retry_times.queue_position(0 if caller.is_urgent else 9, self._chance.random())
        left_s = caller.left_s(self._now_s)
        return self._way.waiting.told_s(self._opens_in_s(box), left_s, place)

    def _refuse(self, caller: _Caller, told_s: float) -> None:
        left_s = caller.left_s(self._now_s)
        if caller.tries > 1:
            self.figures.refused_twice += 1
            return
        self.figures.refused_once += 1
        wait_s = min(told_s, left_s * _HONOURED) + 2 * _HOP_S
        self._after(wait_s, lambda: self._ask(caller))


def _box(number: int) -> _Box:
    return _Box(
        number=number,
        budget=retry_budget.RetryBudget(retry_budget.Allowance()),
        said=[withdrawal.Withdrawal() for _ in range(_ENDPOINTS)],
        openings=[_Opening() for _ in range(_ENDPOINTS)],
        sent=[0] * _ENDPOINTS,
        told_loads=[0] * _ENDPOINTS,
        told_until_s=[float("-inf")] * _ENDPOINTS,
    )


def run(seed: int = 1) -> list[table.Row]:
    """Compare all ways on all days at all sizes, with the same callers."""
    return [
        row
        for day in DAYS
        for boxes in BOXES
        for way in WAYS
        for row in Play(day, way, boxes, seed).run().rows(f"{day.name}_{boxes}_boxes_{way.name}")
    ]
