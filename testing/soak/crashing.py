"""Requests that end each endpoint that begins to run them, sent again and again at any router."""

from __future__ import annotations

import collections
import itertools
import random
import threading
import time
from collections.abc import Callable, Mapping, Sequence

import attrs

from croftpulley.fakes import forwarded, stub
from soak import callers, fleet, records

CRASHES_KNOWN = 3
KNOWN_AFTER_S = 3.0
"""After the third end: so long a fleet may take until all its boxes know, by its users' pages."""
MOST_SENDS = 3
"""What reaches endpoints from then on, for as long as a request comes again."""
BACK_AFTER_S = 1.0
"""How long an endpoint that has ended is away."""
_PAUSE_S = 0.25
"""Mean time between two tries of one request."""
_POLL_S = 0.05
_BODIES = (
    forwarded.CRASH_MARK,
    forwarded.CRASH_MARK + b" " + forwarded.CRASH_AFTER_HEAD_MARK,
)


@attrs.frozen
class Crashing:
    """One such request; ``number`` tells it from others of its kind."""

    kind: str
    number: int

    @property
    def body(self) -> bytes:
        """Half of them end endpoints before their answer begins, the others right after."""
        return _BODIES[self.number % len(_BODIES)]

    @property
    def path(self) -> str:
        """The same at each try."""
        return fleet.path_of(1, self.kind, f"crash-{self.number}")

    @property
    def content(self) -> bytes:
        """How endpoints know it again."""
        return forwarded.content_of(stub.StubRequest("POST", self.path, {}, self.body))


class Senders:
    """Send crashing requests if it ``runs``, and start endpoints that have ended again."""

    def __init__(
        self, site: fleet.Fleet, book: records.Book, seed: int, *, runs: bool = True
    ) -> None:
        chance = random.Random(f"{seed} crashing")
        kinds = chance.sample(fleet.KINDS, chance.randint(1, len(fleet.KINDS))) if runs else []
        self.requests = [Crashing(kind, number) for number, kind in enumerate(kinds)]
        self._site = site
        self._book = book
        self._numbers = itertools.count()
        self._stopped = threading.Event()
        self._threads = [threading.Thread(target=self._revive, daemon=True)]
        for each in self.requests:
            for twin in range(chance.choice((1, 1, 2))):
                own = random.Random(f"{seed} {each.number} {twin}")
                thread = threading.Thread(target=self._send, args=(each, own), daemon=True)
                self._threads.append(thread)

    def start(self) -> None:
        """Begin."""
        for each in self._threads:
            each.start()

    def stop(self) -> None:
        """End, and have every endpoint back."""
        self._stopped.set()
        for each in self._threads:
            each.join()
        self._revive_once()

    def _send(self, request: Crashing, chance: random.Random) -> None:
        while not self._stopped.wait(chance.expovariate(1 / _PAUSE_S)):
            router = chance.randrange(fleet.ROUTERS)
            kept: dict = {}
            asked = callers.ask(
                self._site.router_ways[router].address,
                kept,
                self._book,
                request_id=f"x{request.number}-{next(self._numbers)}",
                kind=request.kind,
                router=router,
                route_version=1,
                key_version=1,
                path=request.path,
                body=request.body,
            )
            self._book.asked.append(asked)
            callers.close(kept.pop(router, None))

    def _revive(self) -> None:
        while not self._stopped.wait(_POLL_S):
            self._revive_once()

    def _revive_once(self) -> None:
        now_s = time.monotonic()
        for each in list(self._site.served):
            crashes = each.stand_in.crashes
            is_due = self._stopped.is_set() or (crashes and now_s - crashes[0].at_s > BACK_AFTER_S)
            if crashes and is_due and each in self._site.served:
                self._site.restart_endpoint(each, back_ms=0)


class InTouch:
    """Tells whether the router that sent a request, and all control boxes, had been left alone."""

    def __init__(self, site: fleet.Fleet, book: records.Book) -> None:
        self._control = site.control
        self._routers = {each.request_id: site.routers[each.router] for each in book.asked}

    def __call__(self, arrival: forwarded.Arrival) -> bool:
        """Tell whether none was started, paused or ended in `KNOWN_AFTER_S` before."""
        programs = (self._routers[arrival.request_id], *self._control)
        since_s = arrival.at_s - KNOWN_AFTER_S
        return all(each.was_calm(since_s, arrival.at_s) for each in programs)


def sent_on(
    requests: Sequence[Crashing],
    arrivals: Mapping[str, Sequence[forwarded.Arrival]],
    crashes: Sequence[forwarded.Arrival],
    is_in_touch: Callable[[forwarded.Arrival], bool],
) -> list[str]:
    """Return a line for each request that reached endpoints too often after it was known.

    ``arrivals`` are those at all endpoints of each pool. Those of a router that is not in touch do
    not count: it cannot know yet, nobody leads, or what it met is lost with it.
    """
    contents = {each.content for each in requests}
    arrived = itertools.chain.from_iterable(arrivals.values())
    arrived_s = _times([each for each in arrived if each.content in contents and is_in_touch(each)])
    ended_s = _times(crashes)
    found = []
    for each in requests:
        ends_s = ended_s[each.content]
        if len(ends_s) < CRASHES_KNOWN:
            continue
        known_s = ends_s[CRASHES_KNOWN - 1] + KNOWN_AFTER_S
        later = sum(at_s > known_s for at_s in arrived_s[each.content])
        if later > MOST_SENDS:
            found.append(
                f"{each.path} reached endpoints {later} times more than {KNOWN_AFTER_S} s after "
                f"the third had ended under it; {len(ends_s)} ended in all"
            )
    return found


def _times(arrivals: Sequence[forwarded.Arrival]) -> dict[bytes, list[float]]:
    times_s = collections.defaultdict(list)
    for each in sorted(arrivals, key=lambda one: one.at_s):
        times_s[each.content].append(each.at_s)
    return times_s
