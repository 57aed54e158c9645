"""Storms: endpoints go on failing while routers and leaders are killed in series."""

from __future__ import annotations

import random

import attrs

from croftpulley.fakes import faults
from soak import callers, fleet, processes, troubles

_CALM_S = 9.0
"""Before half of the storms: longer than a router waits before it uses its share of the extra."""
_KILL_GAP_S = 1.2
"""Mean time between two kills: a router serves again about 0.8 s after one."""
_LONGEST_FAILING_S = 1.0
"""Short, since the end of any other trouble of an endpoint drops its faults."""
_PLAY_SLACK_S = 0.05
"""How late a trouble may begin or end."""
_FAULTS = (
    faults.Fault.DECLINE,
    faults.Fault.RESET_BEFORE_ANSWER,
    faults.Fault.RESET_MID_STREAM,
    faults.Fault.ERROR,
)
_WEIGHTS = (6, 1, 1, 1)
_QUEUE = 300
"""More requests than come to an endpoint meanwhile."""


@attrs.define
class Failing(troubles.Trouble):
    """Endpoints of those in service spoil all their answers."""

    site: fleet.Fleet
    picks: tuple[int, ...]
    """Their places among those in service when it begins."""
    queue: tuple[faults.Fault, ...]
    _failing: list[fleet.Served] = attrs.field(factory=list)

    def begin(self) -> None:
        """Queue the faults."""
        served = list(self.site.served)
        self._failing = [served[pick % len(served)] for pick in self.picks]
        for each in self._failing:
            each.stand_in.faults.add(*self.queue)

    def end(self) -> None:
        """Drop those that have not come."""
        for each in self._failing:
            each.stand_in.faults.clear()


@attrs.define
class LeaderKilled(troubles.Trouble):
    """The control box that leads is killed."""

    site: fleet.Fleet
    _killed: list[processes.Program] = attrs.field(factory=list)

    def begin(self) -> None:
        """Kill whoever leads, if anybody says so."""
        found = callers.leader(self.site)
        if found is not None:
            found.kill()
            self._killed.append(found)

    def end(self) -> None:
        """Start it again."""
        for each in self._killed:
            if not each.runs:
                self.site.start_again(each)


class Storm:
    """Draws a storm: endpoints go on failing while routers and leaders are killed in series."""

    def __init__(self, seed: int, site: fleet.Fleet) -> None:
        self._chance = random.Random(f"{seed} storm")
        self._site = site

    def all(self, seconds_s: float) -> list[troubles.Timed]:
        """Return what goes wrong, after a calm in which routers come to use their share."""
        calm_s = self._chance.choice((0.5, _CALM_S))
        return self._failing(calm_s, seconds_s) + self.kills(calm_s, seconds_s)

    def _failing(self, calm_s: float, seconds_s: float) -> list[troubles.Timed]:
        chance = self._chance
        drawn = []
        at_s = calm_s
        while at_s < seconds_s:
            for_s = chance.uniform(troubles.RESTART_S, _LONGEST_FAILING_S)
            served = 2 * fleet.ENDPOINTS
            picks = tuple(chance.sample(range(served), chance.randint(served // 2, served)))
            queue = tuple(chance.choices(_FAULTS, weights=_WEIGHTS, k=_QUEUE))
            drawn.append(troubles.Timed(at_s, for_s, Failing(self._site, picks, queue)))
            # The end of one drops the faults of the next if that has begun.
            at_s += for_s + _PLAY_SLACK_S
        return drawn

    def kills(
        self, calm_s: float, seconds_s: float, gap_s: float = _KILL_GAP_S
    ) -> list[troubles.Timed]:
        """Return kills of routers and leaders in series, from ``calm_s`` on."""
        chance = self._chance
        drawn = []
        at_s = calm_s + chance.expovariate(1 / gap_s)
        while at_s < seconds_s:
            router = chance.choice(self._site.routers)
            trouble: troubles.Trouble = troubles.Killed(self._site, (router,))
            if chance.random() < 0.2:
                trouble = LeaderKilled(self._site)
            elif chance.random() < 0.2:
                trouble = troubles.Killed(self._site, tuple(self._site.routers))
            drawn.append(troubles.Timed(at_s, troubles.RESTART_S, trouble))
            at_s += chance.expovariate(1 / gap_s)
        return drawn
