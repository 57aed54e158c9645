"""Routers whose links to endpoints are cut while callers and other boxes reach them."""

from __future__ import annotations

import random
import time
from collections.abc import Iterator, Sequence

import attrs

from soak import fleet, proxy, records, troubles

HARMS = (proxy.Harm.SILENT, proxy.Harm.RESET, proxy.Harm.CUT_FROM)
NOTICED_S = 3.0
"""From when on callers of cut routers are to be served, by the users' bound."""
LEAST_SHARE = 2 / 3
"""Of the share served elsewhere that is served at cut routers, by the users' bound."""
ALLOWED_FAILED = 10
ALLOWED_SHARE = 1 / 50
"""First attempts that may fail at cut routers whatever the share, by the users' bound."""
_LONGEST_S = 9.0
_SHORTEST_S = 5.0
_CALM_S = 1.0


@attrs.define
class Cut(troubles.Trouble):
    """The links of some routers to all endpoints are harmed."""

    site: fleet.Fleet
    routers: tuple[int, ...]
    harm: proxy.Harm
    began_s: float = float("inf")
    ended_s: float = float("inf")

    def begin(self) -> None:
        """Cut."""
        self.began_s = time.monotonic()
        for each in self.routers:
            self.site.cuts[each] = self.harm

    def end(self) -> None:
        """Mend."""
        for each in self.routers:
            self.site.cuts.pop(each, None)
        self.ended_s = time.monotonic()


def drawn(seed: int, site: fleet.Fleet, seconds_s: float) -> list[troubles.Timed]:
    """Return cuts of one router or two, one after the other."""
    chance = random.Random(f"{seed} cuts")
    found = []
    at_s = _CALM_S
    while at_s < seconds_s:
        for_s = chance.uniform(_SHORTEST_S, _LONGEST_S)
        routers = chance.sample(range(fleet.ROUTERS), chance.randint(1, fleet.ROUTERS - 1))
        cut = Cut(site, tuple(routers), chance.choice(HARMS))
        found.append(troubles.Timed(at_s, for_s, cut))
        at_s += for_s + _CALM_S
    return found


def unserved(book: records.Book, played: Sequence[troubles.Timed]) -> Iterator[str]:
    """Find cuts in which callers of the cut routers were served far less than others."""
    for each in played:
        if isinstance(each.trouble, Cut):
            yield from _unserved(book, each.trouble)


def _unserved(book: records.Book, cut: Cut) -> Iterator[str]:
    asked = [
        each
        for each in book.asked
        if cut.began_s + NOTICED_S < each.sent_s and each.ended_s < cut.ended_s
    ]
    there = [_is_served(each) for each in asked if each.router in cut.routers]
    elsewhere = [_is_served(each) for each in asked if each.router not in cut.routers]
    failed = there.count(False)
    if not there or not elsewhere or failed <= ALLOWED_FAILED + ALLOWED_SHARE * len(there):
        return
    if sum(there) / len(there) < LEAST_SHARE * sum(elsewhere) / len(elsewhere):
        yield (
            f"routers {cut.routers} ({cut.harm.value}) served {sum(there)} of {len(there)}, "
            f"others {sum(elsewhere)} of {len(elsewhere)}"
        )


def _is_served(asked: records.Asked) -> bool:
    return asked.end is records.End.WHOLE and asked.status == 200
