"""Engines of several versions, and callers that break streams off and take them up elsewhere."""

from __future__ import annotations

import http.client
import itertools
import random
import threading
import time

import attrs

import held_streams
from croftpulley.fakes import forwarded
from soak import fleet, records, troubles

TAKERS = 4
LEAST_SHARE = 0.5
"""Of the streams taken up that go on, with routers killed beside them, by the users' bound."""
LEAST_JUDGED = 12
"""Fewer say nothing, by the users' bound."""
MOST_TRIES = 3
_TIMEOUT_S = 6.0
_PAUSE_S = 0.05
_LONGEST_ABSENCE_S = 0.5
_ROLL_GAP_S = 2.5
_LEAVING_S = 1.5
"""How long an engine serves on once it is listed as leaving."""


def begin_with_one(site: fleet.Fleet) -> None:
    """Have all engines be of the first version."""
    for each in site.served:
        if each.pool == fleet.ENGINE_POOL:
            each.stand_in.version = "v1"
    site.list_endpoints()


@attrs.define
class Replaced(troubles.Trouble):
    """One engine is replaced by one of another version: the new one comes, the old one leaves."""

    site: fleet.Fleet
    version: str
    leaving: fleet.Served | None = None

    def begin(self) -> None:
        """Start the new one and have the oldest of another version leave."""
        self.site.add_endpoint(fleet.ENGINE_POOL, self.version)
        for each in self.site.served:
            is_other = each.pool == fleet.ENGINE_POOL and each.stand_in.version != self.version
            if is_other and not each.leaving:
                each.leaving = True
                self.leaving = each
                break
        self.site.list_endpoints()

    def end(self) -> None:
        """End the old one."""
        if self.leaving in self.site.served:
            self.site.remove_endpoint(self.leaving)


def rolls(seed: int, site: fleet.Fleet, seconds_s: float) -> list[troubles.Timed]:
    """Return replacements of engines: forth to the next version, and now and then back."""
    chance = random.Random(f"{seed} versions")
    found = []
    number = 2
    at_s = chance.uniform(0.5, 1.5)
    while at_s < seconds_s:
        found.append(troubles.Timed(at_s, _LEAVING_S, Replaced(site, f"v{number}")))
        if chance.random() < 0.3:
            number = max(1, number + chance.choice((-1, 1)))
        at_s += chance.uniform(0.5, 1.0) * _ROLL_GAP_S
    return found


@attrs.define
class Stream(held_streams.Stream):
    """With how often it was taken up, and went on."""

    taken_up: int = 0
    went_on: int = 0


class Takers:
    """Callers that leave streams behind some event and take them up at another router."""

    def __init__(self, site: fleet.Fleet, seed: int, *, runs: bool) -> None:
        self._site = site
        self._book = records.Book()
        self._stopped = threading.Event()
        self._numbers = itertools.count()
        self.streams: list[Stream] = []
        self._threads = [
            threading.Thread(target=self._call, args=(random.Random(f"{seed} taker {n}"),))
            for n in range(TAKERS if runs else 0)
        ]

    def start(self, book: records.Book) -> None:
        """Begin; the versions of the configuration are those of ``book``."""
        self._book = book
        for each in self._threads:
            each.start()

    def stop(self) -> None:
        """End once every request that is under way has ended."""
        self._stopped.set()
        for each in self._threads:
            each.join()

    def broken(self, share: float) -> list[str]:
        """Return a line for each mixed stream, and one where too few went on."""
        found = [
            f"{each.first_id} holds events {each.numbers} of {sorted(each.writers)}"
            for each in self.streams
            if len(each.writers) > 1 or each.numbers != sorted(set(each.numbers))
        ]
        taken_up, went_on = self._counts()
        if taken_up >= LEAST_JUDGED and went_on < share * taken_up:
            found.append(f"{went_on} of {taken_up} streams went on where they were taken up")
        return found

    def summary(self) -> str:
        """Return how many were taken up, and how many went on."""
        taken_up, went_on = self._counts()
        return f"{taken_up} ({went_on} went on, {len(self.streams)} began)"

    def _counts(self) -> tuple[int, int]:
        taken_up = sum(each.taken_up for each in self.streams)
        return taken_up, sum(each.went_on for each in self.streams)

    def _call(self, chance: random.Random) -> None:
        while not self._stopped.wait(_PAUSE_S * chance.random()):
            self._one(chance)

    def _one(self, chance: random.Random) -> None:
        version = max(1, self._book.accepted_version)
        first_id = f"t{next(self._numbers)}"
        stream = Stream(first_id, fleet.path_of(version, "note", first_id))
        self._read(chance, stream, first_id, version, {})
        if not stream.numbers:
            return
        self.streams.append(stream)
        for _ in range(MOST_TRIES):
            if len(stream.numbers) == forwarded.EVENTS:
                return
            time.sleep(chance.random() * _LONGEST_ABSENCE_S)
            given = {"Last-Event-Id": str(stream.numbers[-1]), "X-Resumes": first_id}
            held = len(stream.numbers)
            stream.taken_up += 1
            self._read(chance, stream, f"t{next(self._numbers)}", version, given)
            stream.went_on += len(stream.numbers) > held

    def _read(
        self,
        chance: random.Random,
        stream: Stream,
        request_id: str,
        version: int,
        given: dict[str, str],
    ) -> None:
        """Ask any router and read some events."""
        wanted = chance.randint(1, forwarded.EVENTS - 1)
        way = self._site.router_ways[chance.randrange(fleet.ROUTERS)]
        headers = {
            "X-Request-Id": request_id,
            "X-Key": fleet.key_of(max(1, self._book.accepted_version)),
            **given,
        }
        read_on(way.address, stream, headers, wanted)


def read_on(address: str, stream: held_streams.Stream, headers: dict[str, str], wanted: int) -> int:
    """Ask a router and read so many events; return the status, 0 if there was none."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=_TIMEOUT_S)
    try:
        given = {"Host": fleet.HOST, "X-Deadline-Ms": "4000", **headers}
        connection.request("POST", stream.path, b"body", given)
        response = connection.getresponse()
        if response.status == 200:
            stream.read(response, wanted)
        return response.status
    except (OSError, http.client.HTTPException):
        # A router that is down or an answer that broke off: what came before counts.
        return 0
    finally:
        connection.close()
