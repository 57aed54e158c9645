"""Endpoints that send bytes without end, at real programs: none may be ended for its memory."""

from __future__ import annotations

import threading

import attrs
import pytest

import client_crowds
import crowd_site
from conftest import wait_until
from croftpulley.fakes import faults

CALLERS = 24


@pytest.fixture
def site(tmp_path):
    site = crowd_site.Site(tmp_path)
    yield site
    site.stop()


@pytest.mark.parametrize(
    "fault", [faults.Fault.ENDLESS_CHUNK_SIZE, faults.Fault.ENDLESS_CHUNK_EXTENSION]
)
def test_a_line_before_a_chunk_that_never_ends_does_not_end_a_router(site, fault):
    place = site.router()
    wait_until(place.ordinary.is_answered, "the router serves", crowd_site.START_LIMIT_S)
    site.endpoints["faulty"].faults.add(*[fault] * CALLERS)
    failing = attrs.evolve(place.ordinary, path="/faulty/x", status=502)
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
    assert place.program.runs
    assert client_crowds.peak_memory_bytes(place.program.pid) <= client_crowds.MACHINE_MEMORY_BYTES
    assert results == [True] * CALLERS
    assert is_answered_beside
    assert place.ordinary.is_answered()
