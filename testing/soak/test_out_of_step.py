"""Streams taken up at a real router that stood still and is cut off while a new version joins.

Guards against streams that two versions wrote.
"""

from __future__ import annotations

import concurrent.futures
import signal
import time

import pytest

import held_streams
from soak import fleet, records, run, versions
from soak.test_rejoined import STREAMS, add_engines, begin

_WAIT_S = 10.0


@pytest.fixture
def site(tmp_path):
    made = fleet.Fleet(tmp_path)
    versions.begin_with_one(made)
    yield made
    for each in made.programs:
        each.signal(signal.SIGCONT)
    made.stop()


def begin_at_new_version(address):
    """Begin streams until enough of them are of the new version; return those."""
    until_s = time.monotonic() + _WAIT_S
    found = []
    while len(found) < STREAMS and time.monotonic() < until_s:
        names = [f"s-{time.monotonic_ns()}-{n}" for n in range(STREAMS)]
        with concurrent.futures.ThreadPoolExecutor(STREAMS) as callers:
            begun = list(callers.map(lambda name: begin(address, name), names))
        found += [each for each in begun if each.writers == {"v2"}]
    return found


def take_up(address, stream):
    headers = {
        "X-Request-Id": f"{stream.first_id}-again",
        "X-Key": fleet.key_of(1),
        "Last-Event-Id": str(stream.numbers[-1]),
        "X-Resumes": stream.first_id,
    }
    return versions.read_on(address, stream, headers, held_streams.forwarded.EVENTS)


def test_no_stream_is_mixed_at_a_router_that_stood_still_and_is_alone_then(site):
    site.start()
    run.until_served(site, records.Book(), seed=1)
    late, others = site.routers[0], [*site.routers[1:], *site.control]
    late.signal(signal.SIGSTOP)
    add_engines(site, "v2")
    streams = begin_at_new_version(site.router_ways[1].address)
    assert len(streams) >= STREAMS
    for each in others:
        each.signal(signal.SIGSTOP)
    late.signal(signal.SIGCONT)
    address = site.router_ways[0].address
    with concurrent.futures.ThreadPoolExecutor(len(streams)) as callers:
        statuses = list(callers.map(lambda each: take_up(address, each), streams))
    assert [each for each in streams if len(each.writers) > 1] == []
    assert set(statuses) <= {502, 503}
