"""Routers that have lost their links to endpoints while callers and other boxes reach them.

What users saw: callers of boxes that were cut off from all endpoints were refused after up to 2 s,
8 of 152 served at the first attempt, while all callers of the other boxes were served. Each attempt
of a cut box ended unsent, one endpoint after another, though other boxes reached every one of them.
The cause: a box had no way to an endpoint but its own link.
"""

from __future__ import annotations

import itertools
from concurrent import futures

import pytest

import cut_links
import site_of_routers as sites
from conftest import wait_until
from croftpulley.fakes import faults
from croftpulley.forwarding import hops

_NUMBERS = itertools.count()
PATHS = ("/cancel/x", "/confirm/x", "/stream/note/x", "/stream/chat/x")
UNSENT_CUTS = (cut_links.Cut.REFUSED, cut_links.Cut.HANGING)


@pytest.fixture
def site(make_site, links):
    made = make_site(routers=3, engines=3, workers=3, dialers=links, silence_s=1.0)
    for router in made.routers:
        wait_until(lambda router=router: len(router._view.get().boxes) == 3, "all are known")
    return made


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


def test_where_connections_are_made_and_stay_mute_requests_go_by_way_of_another(site, links):
    links[0].cut = cut_links.Cut.MUTE
    with futures.ThreadPoolExecutor(8) as pool:
        # What is under way when the links fall silent is lost, or late, as with any endpoint.
        under_way = [pool.submit(send, site, site.routers[0]) for _ in range(4)]
        wait_until(lambda: bool(answered_elsewhere(site)), "others have answers")
        wait_until(lambda: "desk" in site.routers[0]._reach.lost, "the pool is out of reach")
        assert set(statuses(site, site.routers[0], paths=("/cancel/x", "/confirm/x"))) == {200}
        futures.wait(under_way)


def answered_elsewhere(site):
    """Have another router be answered, and return what the cut one was told of that."""
    assert send(site, site.routers[1]).status == 200
    return site.routers[0]._view.get().answering


def test_a_pool_that_is_mute_for_all_is_nobodys_lost_link(site, links):
    for each in links:
        each.cut = cut_links.Cut.MUTE
    answers = [send(site, router) for router in site.routers for _ in range(2)]
    assert {each.status for each in answers} <= {502, 504}
    assert {router._reach.lost for router in site.routers} == {frozenset()}


def hand_over(site, router, path="/cancel/x", **headers):
    """Send a request to where a router takes those of other boxes."""
    told = {hops.BOX_HEADER: "router-9", hops.CONFIGURATION_HEADER: "0", **headers}
    return site.ask(
        "GET",
        path,
        address=router._peer_http.address,
        request_id=f"hop/{next(_NUMBERS)}",
        headers=told,
    )


def test_whoever_hands_a_request_over_may_do_no_more_than_a_caller(site):
    router = site.routers[0]
    assert hand_over(site, router).status == 200
    assert hand_over(site, router, **{sites.names.VOCABULARY.key: "no-key"}).status == 401
    assert hand_over(site, router, path="/nowhere").status == 404


def test_an_endpoint_is_told_nothing_of_a_hop(site, links):
    links[0].cut = cut_links.Cut.REFUSED
    send(site, site.routers[0])
    (_, run), *_ = site.runs()
    assert not [name for name in run.headers if name.startswith("x-hop")]


def test_a_router_that_was_handed_a_request_hands_it_to_nobody(site, links):
    links[1].cut = cut_links.Cut.REFUSED
    statuses(site, site.routers[1], count=1, paths=("/cancel/x",))
    before = len(site.runs())
    answer = hand_over(site, site.routers[1])
    assert answer.status == 503
    assert answer.headers[hops.REFUSED_HEADER] == "OUT_OF_REACH"
    assert len(site.runs()) == before


def test_a_router_with_an_older_configuration_takes_no_request(site):
    answer = hand_over(site, site.routers[0], **{hops.CONFIGURATION_HEADER: "99"})
    assert answer.status == 503
    assert answer.headers[hops.REFUSED_HEADER] == "NO_CONFIGURATION"


@pytest.mark.parametrize("cut", UNSENT_CUTS)
def test_where_no_router_reaches_an_endpoint_callers_are_refused_and_nothing_has_run(
    site, links, cut
):
    for each in links:
        each.cut = cut
    for router in site.routers:
        statuses(site, router, count=2, paths=("/cancel/x",))
    answer = send(site, site.routers[0])
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert site.runs() == []


def test_a_caller_that_leaves_ends_the_work_at_an_endpoint_behind_another_router(site, links):
    links[0].cut = cut_links.Cut.REFUSED
    statuses(site, site.routers[0], count=1, paths=("/cancel/x",))
    for each in site.workers:
        each.faults.add(faults.Fault.SILENT)
    connection = site.connect(site.routers[0].caller_address)
    connection.request("GET", "/confirm/x", None, site.headers("leaves"))
    wait_until(lambda: any(each.running for each in site.workers), "it runs")
    connection.close()
    wait_until(lambda: any("leaves" in each.cancelled for each in site.workers), "it is cancelled")


def test_a_stream_by_way_of_another_router_passes_on_each_event_as_it_comes(site, links):
    links[0].cut = cut_links.Cut.REFUSED
    statuses(site, site.routers[0], count=1, paths=("/stream/chat/x",))
    for each in site.engines:
        each.may_go_on.clear()
    connection = site.connect(site.routers[0].caller_address)
    connection.request("GET", "/stream/chat/y", None, site.headers("paused"))
    for each in site.engines:
        each._loop.call_soon_threadsafe(each.may_go_on.set)
    assert sites.read(connection.getresponse()).body.count(b"data:") == 5
    connection.close()


def test_a_router_that_was_handed_a_request_tries_one_endpoint_and_gives_it_back(site, links):
    """It may be cut as well and not know yet: each endpoint more would cost a whole timeout."""
    links[1].cut = cut_links.Cut.HANGING
    links[1].dialled.clear()
    answer = hand_over(site, site.routers[1])
    assert answer.headers[hops.REFUSED_HEADER] == "OUT_OF_REACH"
    assert (
        len([each for each in links[1].dialled if each in {w.address for w in site.workers}]) == 1
    )
