"""What goes wrong, drawn from a seed: series of troubles that overlap."""

from __future__ import annotations

import abc
import math
import random
import signal
import threading
import time

import attrs

from croftpulley.fakes import faults
from soak import fleet, processes, proxy, records

_GAP_S = 0.6
"""Mean time between two troubles; most last longer."""
LONGEST_S = 3.0
RESTART_S = 0.3
"""How soon the platform starts a program again that ended."""
_DISK_GAP_S = 8.0
"""After the loss of a disk, before the next: one may be lost at a time."""
_LEAVING_S = 3.5
"""How long an endpoint serves on once it is listed as leaving."""
_NARROW_GAP_S = 2.0
"""Mean time between two narrow links."""
_LIST_GAP_S = 1.5
"""Mean time between two troubles of the list."""
_CLOCK_BACK_MS = 3_600_000
"""An endpoint whose clock was set back starts before it did, by what it says."""
_NARROW_SHARE = 0.4
"""Of its rate that is left to a narrow link."""
_ENDPOINT_FAULTS = (
    faults.Fault.RESET_BEFORE_ANSWER,
    faults.Fault.RESET_AFTER_RUN,
    faults.Fault.RESET_MID_STREAM,
    faults.Fault.HALF_EVENT,
    faults.Fault.DECLINE,
    faults.Fault.MISDIRECTED,
    faults.Fault.ERROR,
    faults.Fault.EMPTY_ERROR,
    faults.Fault.UNMARKED_503,
    faults.Fault.WRONG_ID,
    faults.Fault.NO_PROOF,
    faults.Fault.WRONG_LENGTH,
    faults.Fault.SURPLUS,
)


class Trouble(abc.ABC):
    """One thing that goes wrong and is put right after a while."""

    @abc.abstractmethod
    def begin(self) -> None:
        """Do the harm."""

    @abc.abstractmethod
    def end(self) -> None:
        """Put it right."""


@attrs.frozen
class Killed(Trouble):
    """Programs are killed at one moment; disks may lose a tail, or everything."""

    site: fleet.Fleet
    programs: tuple[processes.Program, ...]
    garbage: bytes = b""
    loses_disk: bool = False

    def begin(self) -> None:
        """Kill."""
        for each in self.programs:
            each.signal(signal.SIGKILL)
        for each in self.programs:
            each.kill()
            if each in self.site.control and self.loses_disk:
                self.site.wipe(each)
            elif each in self.site.control and self.garbage:
                self.site.tear(each, self.garbage)

    def end(self) -> None:
        """Start again."""
        for each in self.programs:
            if not each.runs:
                self.site.start_again(each)


@attrs.frozen
class Stopped(Trouble):
    """A program is stopped as planned."""

    site: fleet.Fleet
    program: processes.Program
    book: records.Book

    def begin(self) -> None:
        """Send SIGTERM and wait for the end; a program that still loads has nothing to end."""
        if self.program.is_up and not self.program.paused:
            code = self.program.terminate()
            # It is no fault of the program's if another trouble killed it meanwhile.
            if code != -signal.SIGKILL:
                self.book.exits.append((self.program.name, code))

    def end(self) -> None:
        """Start again."""
        if not self.program.runs:
            self.site.start_again(self.program)


@attrs.frozen
class Paused(Trouble):
    """A program stands still."""

    program: processes.Program

    def begin(self) -> None:
        """Freeze."""
        self.program.pause()

    def end(self) -> None:
        """Wake."""
        self.program.wake()


@attrs.frozen
class Reloaded(Trouble):
    """A program is told that its settings changed."""

    program: processes.Program

    def begin(self) -> None:
        """Send SIGHUP; a program that still loads reads its settings anyway."""
        if self.program.is_up:
            self.program.signal(signal.SIGHUP)

    def end(self) -> None:
        """Do nothing more."""


@attrs.frozen
class Harmed(Trouble):
    """What passes through a proxy is harmed."""

    way: proxy.Proxy
    harm: proxy.Harm
    resets: bool = False

    def begin(self) -> None:
        """Harm."""
        self.way.harm = self.harm
        if self.resets:
            self.way.reset()

    def end(self) -> None:
        """Stop the harm."""
        self.way.harm = proxy.Harm.NONE


@attrs.frozen
class Narrow(Trouble):
    """What leaves a process shares a fraction of its link."""

    lane: proxy.Lane
    link_bytes_per_s: float

    def begin(self) -> None:
        """Narrow."""
        self.lane.rate_bytes_per_s = self.link_bytes_per_s * _NARROW_SHARE

    def end(self) -> None:
        """Give the link back."""
        self.lane.rate_bytes_per_s = self.link_bytes_per_s


@attrs.frozen
class Faulty(Trouble):
    """An endpoint spoils its next answers."""

    served: fleet.Served
    queue: tuple[faults.Fault, ...]

    def begin(self) -> None:
        """Queue the faults."""
        self.served.stand_in.faults.add(*self.queue)

    def end(self) -> None:
        """Drop those that have not come."""
        self.served.stand_in.faults.clear()


@attrs.frozen
class Replaced(Trouble):
    """An endpoint goes and another one comes; planned, it is first listed as leaving."""

    site: fleet.Fleet
    served: fleet.Served
    planned: bool

    def begin(self) -> None:
        """Add the new one, and list the old one as leaving or end it."""
        if self.served not in self.site.served or self.served.leaving:
            return
        self.site.add_endpoint(self.served.pool)
        if self.planned:
            self.served.leaving = True
            self.site.list_endpoints()
        else:
            self.site.remove_endpoint(self.served)

    def end(self) -> None:
        """End one that was leaving."""
        if self.served in self.site.served and self.served.leaving:
            self.site.remove_endpoint(self.served)


@attrs.frozen
class Reborn(Trouble):
    """An endpoint ends in the middle of its work and starts again under its name."""

    site: fleet.Fleet
    served: fleet.Served
    back_ms: int

    def begin(self) -> None:
        """End it and start it again, unless another trouble has ended it."""
        if self.served in self.site.served and not self.served.leaving:
            self.site.restart_endpoint(self.served, self.back_ms)

    def end(self) -> None:
        """Do nothing more."""


@attrs.frozen
class SpoiltList(Trouble):
    """Another writer adds entries to the list."""

    site: fleet.Fleet
    spoils: tuple[fleet.Spoil, ...]

    def begin(self) -> None:
        """Add them."""
        self.site.spoils = self.spoils
        self.site.list_endpoints()

    def end(self) -> None:
        """Take them away."""
        self.site.spoils = ()
        self.site.list_endpoints()


@attrs.frozen
class Timed:
    """A trouble with its time."""

    at_s: float
    for_s: float
    trouble: Trouble


class Draw:
    """Draws the troubles of one run; the same seed gives the same ones."""

    def __init__(
        self, seed: int, site: fleet.Fleet, book: records.Book, *, planned_only: bool
    ) -> None:
        self._chance = random.Random(seed)
        # Of its own: the other troubles of a seed stay what they are.
        self._narrow_chance = random.Random(f"{seed} narrow")
        self._list_chance = random.Random(f"{seed} list")
        self._site = site
        self._book = book
        self._planned_only = planned_only
        self._disk_at_s = float("-inf")

    def all(self, seconds_s: float) -> list[Timed]:
        """Return what goes wrong in a run of so many seconds; each at its time."""
        drawn = []
        at_s = 0.5
        while at_s < seconds_s:
            drawn.append(self._one(at_s))
            at_s += self._chance.expovariate(1 / _GAP_S)
        if not math.isinf(self._site.link_bytes_per_s):
            drawn += self._narrow(seconds_s)
        return drawn + self._listed(seconds_s)

    def _listed(self, seconds_s: float) -> list[Timed]:
        """Return what happens to the list, and restarts that only the list tells of."""
        chance = self._list_chance
        drawn = []
        at_s = chance.expovariate(1 / _LIST_GAP_S)
        while at_s < seconds_s:
            spoils = tuple(chance.choices(list(fleet.Spoil), k=chance.randint(1, 4)))
            trouble: Trouble = SpoiltList(self._site, spoils)
            if not self._planned_only and chance.random() < 0.6:
                back_ms = chance.choice((0, 0, _CLOCK_BACK_MS))
                trouble = Reborn(self._site, chance.choice(self._site.served), back_ms)
            drawn.append(Timed(at_s, chance.uniform(RESTART_S, LONGEST_S), trouble))
            at_s += chance.expovariate(1 / _LIST_GAP_S)
        return drawn

    def _narrow(self, seconds_s: float) -> list[Timed]:
        chance = self._narrow_chance
        drawn = []
        at_s = chance.expovariate(1 / _NARROW_GAP_S)
        while at_s < seconds_s:
            trouble = Narrow(chance.choice(self._site.lanes), self._site.link_bytes_per_s)
            drawn.append(Timed(at_s, chance.uniform(RESTART_S, LONGEST_S), trouble))
            at_s += chance.expovariate(1 / _NARROW_GAP_S)
        return drawn

    def _one(self, at_s: float) -> Timed:
        chance = self._chance
        kinds = [self._stopped, self._reloaded, self._replaced]
        if not self._planned_only:
            kinds += [self._killed, self._paused, self._harmed, self._faulty] * 2
            kinds += [self._many_killed]
        trouble = chance.choice(kinds)(at_s)
        for_s = chance.uniform(RESTART_S, LONGEST_S)
        return Timed(at_s, _LEAVING_S if isinstance(trouble, Replaced) else for_s, trouble)

    def _stopped(self, _at_s: float) -> Trouble:
        return Stopped(self._site, self._chance.choice(self._site.routers), self._book)

    def _reloaded(self, _at_s: float) -> Trouble:
        return Reloaded(self._chance.choice(self._site.programs))

    def _replaced(self, _at_s: float) -> Trouble:
        planned = self._planned_only or self._chance.random() < 0.5
        return Replaced(self._site, self._chance.choice(self._site.served), planned)

    def _killed(self, at_s: float) -> Trouble:
        program = self._chance.choice(self._site.programs)
        garbage = self._chance.randbytes(self._chance.choice((0, 3, 20)))
        loses_disk = (
            program in self._site.control
            and self._chance.random() < 0.4
            and at_s - self._disk_at_s > _DISK_GAP_S
        )
        if loses_disk:
            self._disk_at_s = at_s
        return Killed(self._site, (program,), garbage, loses_disk)

    def _many_killed(self, _at_s: float) -> Trouble:
        site = self._site
        return Killed(site, tuple(self._chance.choice((site.control, site.routers, site.programs))))

    def _paused(self, _at_s: float) -> Trouble:
        return Paused(self._chance.choice(self._site.programs))

    def _harmed(self, _at_s: float) -> Trouble:
        harms = [each for each in proxy.Harm if each is not proxy.Harm.NONE]
        way = self._chance.choice(self._site.ways)
        return Harmed(way, self._chance.choice(harms), resets=self._chance.random() < 0.3)

    def _faulty(self, _at_s: float) -> Trouble:
        queue = self._chance.choices(_ENDPOINT_FAULTS, k=self._chance.randint(1, 6))
        return Faulty(self._chance.choice(self._site.served), tuple(queue))


def play(timed: list[Timed], seconds_s: float) -> None:
    """Have all troubles happen at their times; each runs in a thread of its own."""
    began_s = time.monotonic()
    threads = [
        threading.Thread(target=_play_one, args=(each, began_s), daemon=True) for each in timed
    ]
    for each in threads:
        each.start()
    time.sleep(seconds_s)
    for each in threads:
        each.join()


def _play_one(timed: Timed, began_s: float) -> None:
    time.sleep(max(0.0, began_s + timed.at_s - time.monotonic()))
    timed.trouble.begin()
    time.sleep(timed.for_s)
    timed.trouble.end()
