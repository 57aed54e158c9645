"""Streams taken up at a router that is out of step while endpoints of a new version join.

Guards against streams of two versions: the router asks whoever may know where a stream began, gets
no answer, and goes by a word of the leading control box from before the new version came.
"""

from __future__ import annotations

import concurrent.futures

import attrs
import pytest
from test_versions import STREAMS, begin, is_mixed, plain_site, take_up, wait_until_settled

from conftest import wait_until
from croftpulley import clock as clocks
from croftpulley.controllers import renewal, stream_origins
from croftpulley.transport import links

__all__ = ["plain_site"]
LATE = "router-0"


@attrs.define
class OutOfStep:
    """What becomes of the messages of one router, and of its clock."""

    is_cut_from_control: bool = False
    is_cut_from_peers: bool = False
    stands_at_s: float | None = None
    behind_s: float = 0.0
    """For how long its clock has stood still."""


class _OwnClock(clocks.SystemClock):
    """The clock of a router whose machine may stand still with its clock."""

    def __init__(self, late):
        self._late = late

    def monotonic_s(self):
        stands_at_s = self._late.stands_at_s
        if stands_at_s is not None:
            return stands_at_s
        return super().monotonic_s() - self._late.behind_s


@pytest.fixture
def late(monkeypatch):
    made = OutOfStep()
    send_report = renewal.RenewalController._send_report
    post = stream_origins.StreamOrigins._post

    def send_report_unless_cut(controller, address, own_loads):
        if controller._box.name == LATE and made.is_cut_from_control:
            raise links.unreachable_error(address, "cut")
        return send_report(controller, address, own_loads)

    def post_unless_cut(known, box, path, body):
        if LATE in (known._box, box.name) and made.is_cut_from_peers:
            raise links.unreachable_error(box.peer_address, "cut")
        return post(known, box, path, body)

    monkeypatch.setattr(renewal.RenewalController, "_send_report", send_report_unless_cut)
    monkeypatch.setattr(stream_origins.StreamOrigins, "_post", post_unless_cut)
    return made


@pytest.fixture
def site(plain_site, late):
    """Three routers, of which the first may be out of step; a pool of one version until then."""
    plain_site.routers[0].stop()
    plain_site.routers[0] = plain_site.start_router(LATE, _OwnClock(late))
    wait_until(plain_site.is_ready, "every router is ready")
    wait_until_settled(plain_site)
    return plain_site


def add_version(site):
    """Have an engine of a new version join, and wait until the others know."""
    newer = site.start_engine("engine-newer")
    newer.version = "v2"
    site.engines.append(newer)
    site.list_endpoints()

    def know():
        views = [router._view.get() for router in site.routers[1:]]
        return all("v2" in {each.version for each in state.endpoints} for state in views)

    wait_until(know, "the routers in step know the new version")


def begin_at_new_version(site):
    """Begin streams at the new version at another router."""
    found = []
    while len(found) < STREAMS:
        stream = begin(site, site.routers[1])
        if stream.writers == {"v2"}:
            found.append(stream)
    return found


def take_all_up(site, streams):
    with concurrent.futures.ThreadPoolExecutor(STREAMS) as callers:
        list(callers.map(lambda each: take_up(site, site.routers[0], each), streams))


def stand_still(site, late):
    late.stands_at_s = site.routers[0]._clock.monotonic_s()


def go_on(late):
    late.behind_s = clocks.SystemClock().monotonic_s() - late.stands_at_s
    late.stands_at_s = None


def test_a_stream_is_not_mixed_at_a_router_without_peers_and_control(site, late):
    stand_still(site, late)
    late.is_cut_from_control = late.is_cut_from_peers = True
    add_version(site)
    streams = begin_at_new_version(site)
    take_all_up(site, streams)
    assert [each for each in streams if is_mixed(each)] == []
    assert [each.refused for each in streams] == [1] * STREAMS


@pytest.mark.parametrize("has_control", [False, True])
def test_a_stream_is_not_mixed_at_a_router_that_goes_on_when_those_who_knew_are_gone(
    site, late, has_control
):
    stand_still(site, late)
    late.is_cut_from_control = late.is_cut_from_peers = True
    add_version(site)
    streams = begin_at_new_version(site)
    for each in site.routers[1:]:
        each.stop()
    go_on(late)
    late.is_cut_from_control = not has_control
    late.is_cut_from_peers = False
    take_all_up(site, streams)
    assert [each for each in streams if is_mixed(each)] == []
    assert [each.refused for each in streams] == [1] * STREAMS


def test_a_stream_is_not_mixed_at_a_router_without_peers(site, late):
    late.is_cut_from_peers = True
    add_version(site)
    streams = begin_at_new_version(site)
    take_all_up(site, streams)
    assert [each for each in streams if is_mixed(each)] == []
    assert [each.refused for each in streams] == [1] * STREAMS


def test_a_stream_is_taken_up_at_a_router_without_control(site, late):
    stand_still(site, late)
    late.is_cut_from_control = True
    add_version(site)
    streams = begin_at_new_version(site)
    take_all_up(site, streams)
    assert [each for each in streams if is_mixed(each)] == []
