"""Endpoints of a pool that are down for all routers, whose links are whole.

What users saw: as half of a pool crashed, routers took their way there for lost 44 to 113 times in
a day without a cut link, each for 1 to 5 s, and handed requests over to others that had done the
same: 564 to 1,925 hand-overs in vain, 50 to 80 in a thousand more refused. The cause: two endpoints
in a row that could not be reached counted as the end of the way, though others answered.
"""

from __future__ import annotations

import itertools
from concurrent import futures

import pytest

import cut_links
from conftest import wait_until
from croftpulley.observe import events

_NUMBERS = itertools.count()
ROUNDS = 6
AT_ONCE = 8
DOWN = (cut_links.Cut.REFUSED, cut_links.Cut.HANGING)


@pytest.fixture
def make_pool(make_site, links):
    """Make a site whose pool of workers has some of them down, for every router."""

    def make(workers, share, how):
        site = make_site(
            routers=3, engines=1, workers=workers, dialers=links, connect_timeout_s=0.1
        )
        for router in site.routers:
            wait_until(lambda router=router: len(router._view.get().boxes) == 3, "all are known")
        for each in site.workers[: int(workers * share)]:
            for of_router in links:
                of_router.down[each.address] = how
        return site

    return make


def send_to(site, routers, rounds=ROUNDS):
    """Have callers of each router send at once, some rounds; return the statuses."""

    def send(router):
        return site.ask(
            "GET",
            "/cancel/x",
            address=router.caller_address,
            request_id=f"request/{next(_NUMBERS)}",
        ).status

    statuses = []
    with futures.ThreadPoolExecutor(AT_ONCE * len(routers)) as pool:
        for _ in range(rounds):
            under_way = [pool.submit(send, router) for router in routers for _ in range(AT_ONCE)]
            statuses += [each.result() for each in under_way]
    return statuses


def told(caplog, event):
    return [each for each in caplog.records if getattr(each, "event", 0) == event.value]


@pytest.mark.parametrize("how", DOWN)
@pytest.mark.parametrize("share", [0.25, 0.5, 0.75])
@pytest.mark.parametrize("workers", [4, 24])
def test_a_pool_of_which_a_part_is_down_is_not_out_of_reach(make_pool, caplog, workers, share, how):
    site = make_pool(workers, share, how)
    statuses = send_to(site, site.routers)
    assert told(caplog, events.Event.POOL_OUT_OF_REACH) == []
    assert told(caplog, events.Event.REQUEST_HOPPED) == []
    assert told(caplog, events.Event.HOP_FAILED) == []
    assert statuses.count(200) >= 0.9 * len(statuses)


@pytest.mark.parametrize("how", DOWN)
def test_a_router_that_is_cut_while_half_of_a_pool_is_down_hands_requests_over(
    make_pool, links, how
):
    site = make_pool(4, 0.5, how)
    links[0].cut = how
    statuses = send_to(site, site.routers[:1])
    assert "desk" in site.routers[0]._reach.lost
    assert statuses.count(200) >= 0.9 * len(statuses)
