"""Endpoints that ask routers for rest, by their load or whatever comes, and that say they leave."""

from __future__ import annotations

import math
import random
import sys
from collections.abc import Iterator

import attrs

import rests
from soak import fleet, records, troubles

_GAP_S = 0.7
"""Mean time between two troubles; most last longer, so that they overlap."""
_SHORTEST_REST_S = 0.2
_LONGEST_REST_S = 30.0
_WHOLE_POOL_REST_S = 3.0
"""Where a whole pool rests its callers are refused until then, also after the run."""
_MOST_BY_LOAD = 3
_LEAVING_S = 5.0
"""How long an endpoint serves on that has said that it leaves; the list may never say it."""


@attrs.define
class Resting(troubles.Trouble):
    """Endpoints turn away what finds ``most_at_once`` requests there, and ask for rest."""

    site: fleet.Fleet
    picks: tuple[int, ...]
    """Their places among those in service when it begins."""
    most_at_once: int
    rest_s: float
    _resting: list[fleet.Served] = attrs.field(factory=list)

    def begin(self) -> None:
        """Have them turn requests away."""
        served = list(self.site.served)
        self._resting = [served[pick % len(served)] for pick in self.picks]
        for each in self._resting:
            each.stand_in.rest_s = self.rest_s
            each.stand_in.most_at_once = self.most_at_once

    def end(self) -> None:
        """Have them take all again."""
        for each in self._resting:
            each.stand_in.most_at_once = sys.maxsize


@attrs.define
class Leaving(troubles.Trouble):
    """An endpoint says that it leaves; the list says so later or never."""

    site: fleet.Fleet
    pick: int
    is_listed: bool
    _leaves: fleet.Served | None = None

    def begin(self) -> None:
        """Have another one come, and this one say it."""
        served = list(self.site.served)
        leaves = served[self.pick % len(served)]
        if leaves.leaving or leaves.stand_in.leaving:
            return
        self.site.add_endpoint(leaves.pool)
        leaves.stand_in.leaving = "1"
        self._leaves = leaves

    def end(self) -> None:
        """End it, listed as leaving at the last moment or without a word."""
        if self._leaves is None or self._leaves not in self.site.served:
            return
        if self.is_listed:
            self._leaves.leaving = True
            self.site.list_endpoints()
        self.site.remove_endpoint(self._leaves)


class Draw:
    """Draws rests and leavings; the same seed gives the same ones."""

    def __init__(self, seed: int, site: fleet.Fleet) -> None:
        self._chance = random.Random(f"{seed} rests")
        self._site = site

    def all(self, seconds_s: float) -> list[troubles.Timed]:
        """Return what endpoints do in a run of so many seconds."""
        drawn = []
        at_s = 0.3
        while at_s < seconds_s:
            if self._chance.random() < 0.2:
                drawn.append(troubles.Timed(at_s, _LEAVING_S, self._leaving()))
            else:
                for_s = self._chance.uniform(troubles.RESTART_S, troubles.LONGEST_S)
                drawn.append(troubles.Timed(at_s, for_s, self._resting()))
            at_s += self._chance.expovariate(1 / _GAP_S)
        return drawn

    def _leaving(self) -> troubles.Trouble:
        chance = self._chance
        pick = chance.randrange(2 * fleet.ENDPOINTS)
        return Leaving(self._site, pick, is_listed=chance.random() < 0.5)

    def _resting(self) -> troubles.Trouble:
        chance = self._chance
        # Those of one pool stand beside each other when the run begins.
        first = chance.choice((0, fleet.ENDPOINTS))
        count = chance.choice((1, 2, fleet.ENDPOINTS))
        picks = tuple(first + each for each in chance.sample(range(fleet.ENDPOINTS), count))
        longest_s = _WHOLE_POOL_REST_S if count == fleet.ENDPOINTS else _LONGEST_REST_S
        exponent = chance.uniform(math.log(_SHORTEST_REST_S), math.log(longest_s))
        most_at_once = chance.choice((0, 0, chance.randint(1, _MOST_BY_LOAD)))
        return Resting(self._site, picks, most_at_once, round(math.exp(exponent), 2))


def end_all(site: fleet.Fleet) -> None:
    """Have every endpoint take all that comes."""
    for each in site.served:
        each.stand_in.most_at_once = sys.maxsize


def broken(site: fleet.Fleet, book: records.Book) -> Iterator[str]:
    """Find rests that a router broke, and requests to endpoints that had said that they leave.

    A router is excused that was started, paused or ended meanwhile, or whose way to the endpoint
    was harmed shortly before or since.
    """
    routers = {each.name: each for each in site.routers}
    router_of = {each.request_id: site.routers[each.router].name for each in book.asked}
    for each in (*site.served, *site.past):

        def is_excused(router: str, since_s: float, until_s: float, way=each.way) -> bool:
            was_cut = way.was_harmed(since_s - troubles.LONGEST_S, until_s)
            return was_cut or not routers[router].was_calm(since_s, until_s)

        name = each.stand_in.incarnation
        for rest in rests.broken(each.stand_in, router_of.__getitem__, is_excused):
            yield (
                f"{name} asked {rest.router} for {rest.rest_s} s of rest and got "
                f"{rest.arrivals} requests from it"
            )
        for router, late_s in rests.sent_to_leaving(
            each.stand_in, router_of.__getitem__, is_excused
        ):
            yield f"{name} got a request of {router} {late_s:.2f} s after it said that it leaves"
