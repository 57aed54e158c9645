"""Requests with a part that ends endpoints, no two alike, beside sound ones that share the rest."""

from __future__ import annotations

import itertools
import random
import threading
from collections.abc import Callable, Iterable, Mapping, Sequence

from croftpulley.fakes import forwarded
from soak import callers, crashing, fleet, records

ENDS_KNOWN = 5
KNOWN_AFTER_S = crashing.KNOWN_AFTER_S
"""After the fifth end: so long a fleet may take until all its boxes know, by its users' pages."""
MOST_SENDS = 3
"""What reaches endpoints from then on, for as long as such requests come."""
SERVED_AFTER_S = 2 * KNOWN_AFTER_S
"""After the fifth end, or the last: from then on sound requests are served as before."""
LEAST_SERVED_SHARE = 0.5
LEAST_JUDGED = 20
"""Fewer sound requests say nothing, by the users' bound."""
_SENDERS = 3
_SOUND_FOR_ONE = 4
_PAUSE_S = 0.15
"""Mean time between two requests of one sender."""


class Senders:
    """Send such requests, and sound ones, if it ``runs``."""

    def __init__(self, site: fleet.Fleet, book: records.Book, seed: int, *, runs: bool) -> None:
        chance = random.Random(f"{seed} parts")
        shared = ["aa", "bb"]
        place = chance.randrange(len(shared) + 1)
        self._deadly = (*shared[:place], forwarded.CRASH_PART, *shared[place:])
        self._sound = (*shared, "cc")
        self._site = site
        self._book = book
        self._numbers = itertools.count()
        self._stopped = threading.Event()
        self.sound: list[records.Asked] = []
        count = _SENDERS if runs else 0
        self._threads = [
            threading.Thread(
                target=self._send, args=(random.Random(f"{seed} parts {number}"),), daemon=True
            )
            for number in range(count)
        ]

    def start(self) -> None:
        """Begin."""
        for each in self._threads:
            each.start()

    def stop(self) -> None:
        """End."""
        self._stopped.set()
        for each in self._threads:
            each.join()

    def _send(self, chance: random.Random) -> None:
        while not self._stopped.wait(chance.expovariate(1 / _PAUSE_S)):
            is_sound = chance.randrange(_SOUND_FOR_ONE + 1) > 0
            router = chance.randrange(fleet.ROUTERS)
            number = next(self._numbers)
            kept: dict = {}
            asked = callers.ask(
                self._site.router_ways[router].address,
                kept,
                self._book,
                request_id=f"q{number}",
                kind=chance.choice(fleet.KINDS),
                router=router,
                route_version=1,
                key_version=1,
                parts=(*(self._sound if is_sound else self._deadly), f"own{number}"),
            )
            callers.close(kept.pop(router, None))
            self._book.asked.append(asked)
            if is_sound:
                self.sound.append(asked)


def broken(
    sound: Sequence[records.Asked],
    arrivals: Mapping[str, Sequence[forwarded.Arrival]],
    crashes: Iterable[forwarded.Arrival],
    is_in_touch: Callable[[forwarded.Arrival], bool],
    *,
    judges_served: bool,
) -> list[str]:
    """Return a line for each promise that was broken; those at boxes not in touch do not count."""
    ended_s = sorted(each.at_s for each in crashes if _is_deadly(each))
    found = []
    if len(ended_s) >= ENDS_KNOWN:
        known_s = ended_s[ENDS_KNOWN - 1] + KNOWN_AFTER_S
        arrived = itertools.chain.from_iterable(arrivals.values())
        later = [x for x in arrived if _is_deadly(x) and x.at_s > known_s and is_in_touch(x)]
        if len(later) > MOST_SENDS:
            found.append(
                f"requests with a part under which {ENDS_KNOWN} endpoints had ended reached "
                f"endpoints {len(later)} times more; {len(ended_s)} ended in all"
            )
    if judges_served and ended_s:
        found += _unserved(sound, ended_s[:ENDS_KNOWN][-1] + SERVED_AFTER_S, is_in_touch)
    return found


def _unserved(
    sound: Sequence[records.Asked],
    since_s: float,
    is_in_touch: Callable[[forwarded.Arrival], bool],
) -> list[str]:
    judged = [
        each
        for each in sound
        if each.sent_s > since_s and is_in_touch(forwarded.Arrival(each.request_id, each.sent_s))
    ]
    served = sum(each.status == 200 for each in judged)
    if len(judged) < LEAST_JUDGED or served >= LEAST_SERVED_SHARE * len(judged):
        return []
    return [f"{served} of {len(judged)} sound requests with the other parts were served"]


def _is_deadly(arrival: forwarded.Arrival) -> bool:
    return forwarded.CRASH_PART in arrival.parts
