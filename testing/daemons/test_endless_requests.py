"""Clients that send bytes without end, at real programs: none may be ended for its memory."""

from __future__ import annotations

import pytest

import client_crowds
import crowd_site
import endless_requests
from conftest import wait_until


@pytest.fixture(scope="module", params=["router", "replica", "redirector"])
def place(request, tmp_path_factory):
    """Return a program that all tests use; its peak of memory is that of all so far."""
    site = crowd_site.Site(tmp_path_factory.mktemp(request.param))
    made = getattr(site, request.param)()
    wait_until(made.ordinary.is_answered, "the program serves", crowd_site.START_LIMIT_S)
    yield made
    site.stop()


@pytest.mark.parametrize("part", endless_requests.PARTS.values(), ids=endless_requests.PARTS)
def test_no_part_of_a_request_that_never_ends_ends_a_process(place, part):
    crowd = client_crowds.EndlessCrowd(part, place.addresses)
    try:
        crowd.send_all()
        is_answered_beside = place.ordinary.is_answered()
    finally:
        crowd.close()
    assert place.program.runs
    peak_bytes = client_crowds.peak_memory_bytes(place.program.pid)
    assert peak_bytes <= client_crowds.MACHINE_MEMORY_BYTES
    assert is_answered_beside
    assert place.ordinary.is_answered()
