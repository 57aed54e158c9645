"""Runs the soak: ``python -m soak.run --seeds 1-50`` in ``testing/`` (``make soak``).

Real programs as processes of their own, on 127.0.0.1, are harmed from outside while callers and an
operator go on; then the promises are checked on what all of them saw.
"""

from __future__ import annotations

import collections
import enum
import math
import pathlib
import random
import sys
import tempfile
import threading
import time

import attrs
import click

from soak import (
    callers,
    crashing,
    cuts,
    endless,
    fleet,
    memory,
    parts,
    places,
    promises,
    proxy,
    records,
    rests,
    room,
    seeds,
    storms,
    troubles,
    versions,
)

RECOVERY_LIMIT_S = 60.0
"""After the last trouble. Far more than is promised: the time it took is printed, not judged."""
ACCEPTED_LIMIT_S = 30.0
"""For a configuration that is submitted after all troubles. Most of it is for the
reading of a large one, which takes a control box and then the routers seconds each."""
_ROUND_S = 0.1
_SELDOM_KILLED_S = 4.0
"""Mean time between two kills where routers should remember."""


class Kind(enum.Enum):
    """What a run is made of."""

    MIXED = "mixed"
    """A third of the seeds has planned work only; in another third the links of control boxes have
    a rate, and configurations may be large."""
    STORM = "storm"
    """Endpoints go on failing as well while routers and leaders are killed in series, and few
    repeats are allowed; every other seed has all else too."""
    CRASHES = "crashes"
    """Some requests end each endpoint that begins to run them, while routers and leaders are killed
    in series; every other seed has all else too. The configuration stays."""
    PARTS = "parts"
    """Requests with one part in common end each endpoint that begins to run them, and sound ones
    share their other parts, while routers and leaders are killed in series; every other seed has
    all else too, and is not judged by who is served. The configuration stays."""
    PLACES = "places"
    """A hall is evacuated and returned in turns, while routers and leaders are killed in series;
    every other seed has all else too. It ends evacuated."""
    ROOM = "room"
    """Many callers, some of whom do not read, compete for few slots, while routers and leaders are
    killed in series; every other seed has all else too."""
    CUTS = "cuts"
    """The links of one router or two to all endpoints are cut, in series; every other seed has all
    else too, and is not judged by who is served."""
    RESTS = "rests"
    """Endpoints ask for rest, some or all of a pool, and say that they leave, while routers and
    leaders are killed in series; every other seed has all else too."""
    VERSIONS = "versions"
    """Engines are rolled to other versions and back while callers break streams off and take them
    up at other routers, and routers and leaders are killed; every other seed has all else too."""
    ENDLESS = "endless"
    """Endpoints send bytes without end, or fall silent within an answer without a length, while
    routers and leaders are killed; every other seed has all else too."""
    ENDLESS_PARTS = "endless_parts"
    """Endpoints send any part of an answer without end, while routers and leaders are killed; every
    other seed has all else too."""
    SPOILT = "spoilt"
    """Endpoints spoil the heads of their answers, while routers and leaders are killed; every other
    seed has all else too."""
    SEEDS = "seeds"
    """Settings name other seeds, without a disk or mixed, while disks are lost one after the other,
    routers are stopped as planned and all programs are killed."""


@attrs.frozen
class Outcome:
    """What came of one seed."""

    seed: int
    broken: list[str]
    requests: int
    repeats: dict[str, int]
    """Arrivals beyond the first of their request, by pool."""
    ends: dict[str, int]
    """How many requests ended how, by the status or by what the caller met instead."""
    rests: int
    """How often endpoints asked for rest."""
    most_running: dict[str, int]
    """How many requests the endpoints of a pool ran at once, where that was watched."""
    most_bytes: int
    """The most memory that a process has had."""
    taken_up: str
    """How many streams were taken up, and how many of those went on."""
    crashes: list[int]
    """How many endpoints ended under each of the requests that end them."""
    evacuations: int
    accepted_version: int
    recovery_s: float
    accepted_s: float | None
    """How long the configuration took that was submitted last; ``None`` if it was given up."""


def run_seed(seed: int, seconds_s: float, folder: pathlib.Path, kind: Kind = Kind.MIXED) -> Outcome:
    """Run one seed."""
    has_rate = seed % 3 == 2 and kind not in (Kind.CRASHES, Kind.PARTS)
    planned_only = seed % 3 == 0 and kind is Kind.MIXED
    link_bytes_per_s = fleet.LINK_BYTES_PER_S if has_rate else math.inf
    site = fleet.Fleet(
        folder,
        link_bytes_per_s,
        fleet.TIGHT if kind is Kind.STORM else None,
        room.SLOTS if kind is Kind.ROOM else 0,
        cuts=kind is Kind.CUTS,
        redirectors=seeds.REDIRECTORS if kind is Kind.SEEDS else 0,
    )
    book = records.Book()
    crowd = callers.Crowd(
        site,
        book,
        seed,
        changes=kind not in (Kind.CRASHES, Kind.PARTS),
        count=room.CALLERS if kind is Kind.ROOM else callers.CALLERS,
        unread_share=room.UNREAD_SHARE if kind is Kind.ROOM else 0.0,
    )
    watch = room.Watch(site, runs=kind is Kind.ROOM)
    sizes = memory.Watch(site)
    crashers = crashing.Senders(site, book, seed, runs=kind is Kind.CRASHES)
    takers = versions.Takers(site, seed, runs=kind is Kind.VERSIONS)
    part_senders = parts.Senders(site, book, seed, runs=kind is Kind.PARTS)
    operator = places.Operator(site, seed, runs=kind is Kind.PLACES)
    try:
        if kind is Kind.VERSIONS:
            versions.begin_with_one(site)
        site.start()
        sizes.start()
        until_served(site, book, seed)
        crowd.start()
        crashers.start()
        part_senders.start()
        operator.start()
        takers.start(book)
        watch.start()
        played = _drawn(seed, seconds_s, site, book, kind, planned_only)
        troubles.play(played, seconds_s)
        part_senders.stop()
        crashers.stop()
        takers.stop()
        operator.stop()
        watch.stop()
        if kind is Kind.ROOM:
            # While callers compete for too little room not all of them are served.
            crowd.stop()
        recovery_s = _recover(site, book, seed)
        crowd.stop()
        spare_routes = fleet.LARGE_ROUTES if has_rate else 0
        chance = random.Random(seed)
        accepted = callers.timed_submission(site, book, chance, ACCEPTED_LIMIT_S, spare_routes)
        book.acceptances.append(accepted)
        until_served(site, book, seed)
        runs = site.runs()
        arrivals = site.arrivals()
        crashes = site.crashes()
        misplaced = [
            *places.sent_there(site, operator.evacuations, _slack_s(seed)),
            *places.lost(site, operator.evacuations),
        ]
        rested = sum(len(each.stand_in.rests) for each in (*site.served, *site.past))
        # Where endpoints ask for no rest, requests are sent of which the book has no router.
        unrested = [] if kind is Kind.VERSIONS else list(rests.broken(site, book))
    finally:
        sizes.stop()
        site.stop()
    broken = promises.broken(book, runs)
    broken += promises.repeats_beyond_the_budget(book, arrivals, site.allowance)
    broken += crashing.sent_on(crashers.requests, arrivals, crashes, crashing.InTouch(site, book))
    broken += parts.broken(
        part_senders.sound,
        arrivals,
        crashes,
        crashing.InTouch(site, book),
        judges_served=seed % 2 == 0,
    )
    broken += misplaced
    broken += unrested
    broken += watch.broken()
    broken += sizes.broken()
    broken += takers.broken(share=versions.LEAST_SHARE if seed % 2 == 0 else 0.0)
    if kind is Kind.CUTS and seed % 2 == 0:
        broken += cuts.unserved(book, played)
    if planned_only:
        broken += promises.lost(book, runs)
    if recovery_s > RECOVERY_LIMIT_S:
        broken.append(f"not all was served {RECOVERY_LIMIT_S} s after the last trouble")
    return Outcome(
        seed=seed,
        broken=broken,
        requests=len(book.asked),
        repeats={
            pool: len(promises.beyond_the_first(each)) for pool, each in sorted(arrivals.items())
        },
        ends=dict(collections.Counter(_end(each) for each in book.asked).most_common()),
        evacuations=len(operator.evacuations),
        rests=rested,
        most_running=dict(watch.most),
        most_bytes=max(sizes.most_bytes.values(), default=0),
        taken_up=takers.summary(),
        crashes=sorted(collections.Counter(each.content for each in crashes).values()),
        accepted_version=book.accepted_version,
        recovery_s=recovery_s,
        accepted_s=accepted.took_s,
    )


def _drawn(
    seed: int,
    seconds_s: float,
    site: fleet.Fleet,
    book: records.Book,
    kind: Kind,
    planned_only: bool,
) -> list[troubles.Timed]:
    """Return what goes wrong in a run."""
    drawn = []
    if kind is Kind.MIXED or (seed % 2 and kind is not Kind.SEEDS):
        drawn += troubles.Draw(seed, site, book, planned_only=planned_only).all(seconds_s)
    if kind is Kind.STORM:
        drawn += storms.Storm(seed, site).all(seconds_s)
    if kind is Kind.RESTS:
        drawn += rests.Draw(seed, site).all(seconds_s)
        # Seldom enough that routers often live as long as rests do.
        drawn += storms.Storm(seed, site).kills(0.0, seconds_s, _SELDOM_KILLED_S)
    if kind is Kind.CUTS:
        drawn += cuts.drawn(seed, site, seconds_s)
    if kind is Kind.VERSIONS:
        drawn += versions.rolls(seed, site, seconds_s)
        drawn += storms.Storm(seed, site).kills(0.0, seconds_s, _SELDOM_KILLED_S)
    if kind is Kind.SEEDS:
        drawn += seeds.drawn(seed, site, book, seconds_s)
    if kind is Kind.ENDLESS:
        drawn += endless.drawn(seed, site, seconds_s)
    if kind is Kind.ENDLESS_PARTS:
        drawn += endless.parts(seed, site, seconds_s)
    if kind is Kind.SPOILT:
        drawn += endless.spoilt(seed, site, seconds_s)
    if kind in (Kind.PARTS, Kind.ENDLESS, Kind.ENDLESS_PARTS, Kind.SPOILT):
        drawn += storms.Storm(seed, site).kills(0.0, seconds_s, _SELDOM_KILLED_S)
    if kind in (Kind.CRASHES, Kind.PLACES, Kind.ROOM):
        drawn += storms.Storm(seed, site).kills(0.0, seconds_s)
    return drawn


def _slack_s(seed: int) -> float:
    """Return how long after an acknowledgement a request may still arrive.

    Where routers are paused or their links harmed, one that they chose before may come late.
    """
    return troubles.LONGEST_S + 1.0 if seed % 2 else 0.5


def _end(asked: records.Asked) -> str:
    return str(asked.status) if asked.end is records.End.WHOLE else asked.end.value


def _seconds(time_s: float | None) -> str:
    return "no time" if time_s is None else f"{time_s:.1f} s"


def _recover(site: fleet.Fleet, book: records.Book, seed: int) -> float:
    """Put all right and return how long it takes until all is served."""
    for way in site.ways:
        way.harm = proxy.Harm.NONE
    for each in site.programs:
        each.wake()
        if not each.runs:
            site.start_again(each)
    for each in site.served:
        each.stand_in.faults.clear()
    rests.end_all(site)
    began_s = time.monotonic()
    until_served(site, book, seed)
    return time.monotonic() - began_s


def until_served(site: fleet.Fleet, book: records.Book, seed: int) -> None:
    """Wait until each router answers each kind of request, and what was accepted is read back."""
    chance = random.Random(seed)
    ends_s = time.monotonic() + RECOVERY_LIMIT_S
    round_number = 0
    while time.monotonic() < ends_s:
        round_number += 1
        if not book.accepted_version:
            callers.submit(site, book, chance, threading.Event())
        read = callers.read_back(site, book, chance)
        book.reads.append(read)
        asked = [
            _probe(site, book, f"p{ends_s:.3f}-{round_number}-{router}-{kind}", router, kind)
            for router in range(fleet.ROUTERS)
            for kind in fleet.KINDS
        ]
        book.asked.extend(asked)
        if read.version is not None and all(
            each.end is records.End.WHOLE and each.status == 200 for each in asked
        ):
            return
        time.sleep(_ROUND_S)


def _probe(
    site: fleet.Fleet, book: records.Book, request_id: str, router: int, kind: str
) -> records.Asked:
    kept: dict = {}
    asked = callers.ask(
        site.router_ways[router].address,
        kept,
        book,
        request_id=request_id,
        kind=kind,
        router=router,
        route_version=max(1, book.accepted_version),
        key_version=max(1, book.accepted_version),
    )
    callers.close(kept.pop(router, None))
    return asked


def parse_seeds(text: str) -> list[int]:
    """Read seeds such as ``7`` or ``1-50``."""
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


@click.command()
@click.option("--seeds", default="1-50", show_default=True, help="A seed, or the first and last.")
@click.option("--seconds", default=20.0, show_default=True, help="How long each has troubles.")
@click.option(
    "--kind", type=click.Choice([each.value for each in Kind]), default="mixed", show_default=True
)
@click.option("--keep", type=click.Path(), help="Folder for settings and logs; else a new one.")
def main(seeds: str, seconds: float, kind: str, keep: str | None) -> None:
    """Run seeds one after the other; the logs of one that broke a promise stay."""
    root = pathlib.Path(keep or tempfile.mkdtemp(prefix="soak-"))
    failed = 0
    for seed in parse_seeds(seeds):
        folder = root / f"seed-{seed}"
        folder.mkdir(parents=True)
        outcome = run_seed(seed, seconds, folder, Kind(kind))
        failed += bool(outcome.broken)
        click.echo(
            f"seed {seed}: {len(outcome.broken)} broken, {outcome.requests} requests "
            f"{outcome.ends}, repeats {outcome.repeats}, crashes {outcome.crashes}, "
            f"taken up {outcome.taken_up}, "
            f"evacuations {outcome.evacuations}, rests {outcome.rests}, "
            f"most running {outcome.most_running}, "
            f"largest {outcome.most_bytes / 1e6:.0f} MB, "
            f"version {outcome.accepted_version}, recovered in {outcome.recovery_s:.1f} s, "
            f"accepted in {_seconds(outcome.accepted_s)}"
        )
        for line in outcome.broken[:10]:
            click.echo(f"  broken: {line} (logs in {folder})")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
