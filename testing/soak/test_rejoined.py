"""Streams that callers take up after real programs were killed all at once, while versions change.

Guards against streams that two versions wrote, and against callers who are sent away though the
only version there ever was still serves.
"""

from __future__ import annotations

import concurrent.futures
import enum
import signal
import time

import pytest

import held_streams
from croftpulley.fakes import forwarded
from soak import fleet, records, run, versions

STREAMS = 24
ASKED_S = 5.0
"""For how long callers ask after the programs were started again, from the first moment on."""
_PAUSE_S = 0.05


class Change(enum.Enum):
    """When the engines' version changes."""

    NONE = "never"
    BOTH_SERVE = "a new one came before"
    OLD_LEFT = "the old one left before"
    NEW_COMES = "a new one comes while all programs are down"
    REPLACED = "one for the other while all programs are down"


@pytest.fixture
def site(tmp_path):
    made = fleet.Fleet(tmp_path)
    versions.begin_with_one(made)
    yield made
    made.stop()


def engines(site):
    return [each for each in site.served if each.pool == fleet.ENGINE_POOL]


def add_engines(site, version):
    for _ in range(fleet.ENDPOINTS):
        site.add_endpoint(fleet.ENGINE_POOL, version)


def remove_engines(site, version):
    for each in engines(site):
        if each.stand_in.version == version:
            site.remove_endpoint(each)


def until_listed(site):
    """Wait until each router has sent a stream to each version."""
    wanted = {each.stand_in.version for each in engines(site)}
    for way in site.router_ways:
        seen = set()
        while seen < wanted:
            seen |= begin(way.address, f"probe-{time.monotonic_ns()}").writers


def begin(address, first_id):
    """Begin a stream and leave behind its second event."""
    stream = held_streams.Stream(first_id, fleet.path_of(1, "note", first_id))
    versions.read_on(address, stream, {"X-Request-Id": first_id, "X-Key": fleet.key_of(1)}, 2)
    return stream


def take_up(site, number, stream, until_s):
    """Take a stream up at one router after the other until it goes on or time is over."""
    tries = 0
    while time.monotonic() < until_s and len(stream.numbers) < forwarded.EVENTS:
        tries += 1
        headers = {
            "X-Request-Id": f"{stream.first_id}-{tries}",
            "X-Key": fleet.key_of(1),
            "Last-Event-Id": str(stream.numbers[-1]),
            "X-Resumes": stream.first_id,
        }
        way = site.router_ways[(number + tries) % fleet.ROUTERS]
        versions.read_on(way.address, stream, headers, forwarded.EVENTS)
        time.sleep(_PAUSE_S)


def kill_all(site):
    for each in site.programs:
        each.signal(signal.SIGKILL)
    for each in site.programs:
        each.kill()


@pytest.mark.parametrize("change", Change)
def test_no_stream_is_joined_from_two_versions_over_the_loss_of_all(site, change):
    site.start()
    run.until_served(site, records.Book(), seed=1)
    if change in (Change.BOTH_SERVE, Change.OLD_LEFT):
        add_engines(site, "v2")
        until_listed(site)
    ways = [each.address for each in site.router_ways]
    streams = [begin(ways[n % fleet.ROUTERS], f"s-{n}") for n in range(STREAMS)]
    assert all(each.numbers == [1, 2] for each in streams)
    if change is Change.OLD_LEFT:
        remove_engines(site, "v1")
    kill_all(site)
    if change in (Change.NEW_COMES, Change.REPLACED):
        add_engines(site, "v2")
    if change is Change.REPLACED:
        remove_engines(site, "v1")
    for each in site.programs:
        site.start_again(each)
    until_s = time.monotonic() + ASKED_S
    with concurrent.futures.ThreadPoolExecutor(STREAMS) as callers:
        for n, each in enumerate(streams):
            callers.submit(take_up, site, n, each, until_s)
    assert [each for each in streams if len(each.writers) > 1] == []
    if change is Change.NONE:
        assert [each for each in streams if not each.is_whole] == []
