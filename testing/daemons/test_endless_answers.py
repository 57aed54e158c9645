"""Endpoints that send bytes without end, at real programs: none may be ended for its memory."""

from __future__ import annotations

import threading

import attrs
import pytest

import client_crowds
import crowd_site
from conftest import wait_until
from croftpulley.fakes import endless, faults

CALLERS = 24
BURSTS = 5
LINES_BEFORE_CHUNKS = (faults.Fault.ENDLESS_CHUNK_SIZE, faults.Fault.ENDLESS_CHUNK_EXTENSION)


@pytest.fixture
def site(tmp_path):
    site = crowd_site.Site(tmp_path)
    yield site
    site.stop()


@pytest.fixture(scope="module")
def shared_site(tmp_path_factory):
    """Return a site with a router that all tests use; its peak of memory is that of all so far."""
    site = crowd_site.Site(tmp_path_factory.mktemp("endless"))
    place = site.router()
    wait_until(place.ordinary.is_answered, "the router serves", crowd_site.START_LIMIT_S)
    yield site, place
    site.stop()


def ask_at_once(site, place, fault, failing):
    """Send requests whose endpoint meets a fault; return whether each ended as it should."""
    site.endpoints["faulty"].faults.add(*[fault] * CALLERS)
    results = []
    threads = [
        threading.Thread(target=lambda: results.append(failing.is_answered()))
        for _ in range(CALLERS)
    ]
    for each in threads:
        each.start()
    is_answered_beside = place.ordinary.is_answered()
    for each in threads:
        each.join()
    site.endpoints["faulty"].faults.clear()
    assert place.program.runs
    assert client_crowds.peak_memory_bytes(place.program.pid) <= client_crowds.MACHINE_MEMORY_BYTES
    assert is_answered_beside
    assert place.ordinary.is_answered()
    return results


@pytest.mark.parametrize("fault", LINES_BEFORE_CHUNKS)
def test_a_line_before_a_chunk_that_never_ends_does_not_end_a_router(site, fault):
    place = site.router()
    wait_until(place.ordinary.is_answered, "the router serves", crowd_site.START_LIMIT_S)
    failing = attrs.evolve(place.ordinary, path="/faulty/x", status=502)
    assert ask_at_once(site, place, fault, failing) == [True] * CALLERS


@pytest.mark.parametrize("path", ["/faulty/x", "/stream/x"])
@pytest.mark.parametrize("fault", endless.PARTS)
def test_no_part_of_an_answer_that_never_ends_ends_a_router(shared_site, fault, path):
    site, place = shared_site
    ask_at_once(site, place, fault, attrs.evolve(place.ordinary, path=path, status=502))


def test_bursts_of_answers_that_never_end_do_not_make_a_router_grow(site):
    place = site.router()
    wait_until(place.ordinary.is_answered, "the router serves", crowd_site.START_LIMIT_S)
    failing = attrs.evolve(place.ordinary, path="/faulty/x", status=502)
    for _ in range(BURSTS):
        ask_at_once(site, place, faults.Fault.ENDLESS_CHUNKS, failing)


# Both begin together; the one that waits has twice the time of the others.
@pytest.mark.parametrize("path", ["/faulty/x", "/stream/x"])
def test_callers_of_tiny_chunks_without_end_are_told_before_one_with_twice_their_time(site, path):
    place = site.router()
    wait_until(place.ordinary.is_answered, "the router serves", crowd_site.START_LIMIT_S)
    site.endpoints["faulty"].faults.add(*[faults.Fault.ENDLESS_SMALL_CHUNKS] * CALLERS)
    limit_ms = str(int(2000 * crowd_site.FAULTY_LIMIT_S))
    waiting = attrs.evolve(
        place.ordinary,
        path="/held/x",
        headers={**place.ordinary.headers, "X-Deadline-Ms": limit_ms},
    )
    told = []
    threads = [threading.Thread(target=lambda: (waiting.is_answered(), told.append("waiting")))]
    failing = attrs.evolve(place.ordinary, path=path)
    threads += [
        threading.Thread(target=lambda: (failing.is_answered(), told.append("failing")))
        for _ in range(CALLERS)
    ]
    for each in threads:
        each.start()
    for each in threads:
        each.join()
    assert told == ["failing"] * CALLERS + ["waiting"]
