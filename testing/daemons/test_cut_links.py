"""Routers that have lost their links to endpoints while callers and other boxes reach them.

What users saw: callers of boxes that were cut off from all endpoints were refused after up to 2 s,
8 of 152 served at the first attempt, while all callers of the other boxes were served. Each attempt
of a cut box ended unsent, one endpoint after another, though other boxes reached every one of them.
The cause: a box had no way to an endpoint but its own link.
"""

from __future__ import annotations

import itertools

import pytest

import cut_links
import site_of_routers as sites
from conftest import wait_until

_NUMBERS = itertools.count()
PATHS = ("/cancel/x", "/confirm/x", "/stream/note/x", "/stream/chat/x")
UNSENT_CUTS = (cut_links.Cut.REFUSED, cut_links.Cut.HANGING)


@pytest.fixture
def links():
    """The links of three routers."""
    made = [cut_links.Links() for _ in range(3)]
    yield made
    for each in made:
        each.stop()


@pytest.fixture
def site(make_site, links):
    return make_site(
        routers=3, engines=3, workers=3, dialers=links, connect_timeout_s=0.1, silence_s=1.0
    )


def send(site, router, path="/cancel/x", **wanted):
    return site.ask(
        "POST" if path == "/confirm/x" else "GET",
        path,
        address=router.caller_address,
        request_id=f"request/{next(_NUMBERS)}",
        **wanted,
    )


def statuses(site, router, count=3, paths=PATHS):
    return [send(site, router, path).status for path in paths for _ in range(count)]


@pytest.mark.parametrize("cut", UNSENT_CUTS)
def test_callers_of_a_router_that_reaches_no_endpoint_are_served_by_way_of_another(
    site, links, cut
):
    links[0].cut = cut
    assert set(statuses(site, site.routers[0])) == {200}


@pytest.mark.parametrize("cut", UNSENT_CUTS)
def test_callers_of_most_routers_are_served_by_way_of_the_one_that_is_left(site, links, cut):
    links[0].cut = links[1].cut = cut
    found = [statuses(site, router) for router in site.routers]
    assert {status for each in found for status in each} == {200}


def test_nothing_runs_twice_by_way_of_another_router(site, links):
    links[0].cut = cut_links.Cut.REFUSED
    statuses(site, site.routers[0])
    ran = [run.headers[sites.names.VOCABULARY.request_id] for _, run in site.runs()]
    assert len(ran) == len(set(ran))


def test_failures_of_a_router_that_reaches_no_endpoint_hold_off_no_endpoint(site, links):
    links[0].cut = cut_links.Cut.REFUSED
    statuses(site, site.routers[0], count=8)
    leader = site.control[0]
    assert leader is not None
    renewed = site.routers[1]._view.get().heard_at_s
    wait_until(lambda: site.routers[1]._view.get().heard_at_s > renewed + 0.1, "it has renewed")
    assert [each._view.get().held_off for each in site.routers] == [frozenset()] * 3


def test_a_cut_that_has_ended_leaves_nothing_behind(site, links):
    links[0].cut = cut_links.Cut.REFUSED
    statuses(site, site.routers[0])
    links[0].cut = cut_links.Cut.NONE
    links[0].dialled.clear()

    def goes_direct():
        return (
            send(site, site.routers[0]).status == 200
            and site.routers[0]._view.get()
            and bool({each.address for each in site.workers} <= set(links[0].dialled))
        )

    wait_until(goes_direct, "the router asks every endpoint itself again")
