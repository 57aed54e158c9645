"""Endpoints that end when they have to turn away many requests, under more demand than they take.

The users' bound: in one time in which endpoints say so, they fall over no more often than two and a
tenth of their number, over all boxes.
"""

from __future__ import annotations

import itertools
import time
from concurrent import futures

import pytest

from conftest import wait_until

_NUMBERS = itertools.count()
SLOTS = 2
WORKERS = 4
MOST_FALLS = 2 + WORKERS / 10
CALLERS = 36
"""Several times what all slots take."""
PLAYED_S = 3.0


@pytest.fixture
def site(make_site):
    made = make_site(routers=3, engines=1, workers=WORKERS)
    made.slots = SLOTS
    made.list_endpoints()
    for each in made.workers:
        each.most_at_once = SLOTS
        each.pause_s = 0.05
        each.brittle = 4
    for router in made.routers:
        wait_until(lambda router=router: _slots(router) == {SLOTS}, "the slots are known")
    return made


def _slots(router):
    return {each.slots for each in router._view.get().endpoints if each.pool == "desk"}


def send(site, path="/cancel/x"):
    number = next(_NUMBERS)
    router = site.routers[number % len(site.routers)]
    return site.ask("GET", path, address=router.caller_address, request_id=f"brittle/{number}")


def play(site, callers=CALLERS):
    """Have callers come again and again, without a pause; return their answers."""
    ends_at_s = time.monotonic() + PLAYED_S

    def come():
        answers = []
        while time.monotonic() < ends_at_s:
            answers.append(send(site))
        return answers

    with futures.ThreadPoolExecutor(callers) as pool:
        made = [pool.submit(come) for _ in range(callers)]
        return [answer for each in made for answer in each.result()]


def falls(site):
    return sum(each.has_crashed for each in site.workers)


def test_brittle_endpoints_do_not_fall_under_more_demand_than_they_take(site):
    # All have said so before the demand comes.
    for _ in range(40):
        send(site)
    answers = play(site)
    assert falls(site) <= MOST_FALLS
    assert {each.status for each in answers} <= {200, 503}
    assert sum(each.status == 200 for each in answers) > PLAYED_S / 0.05 * SLOTS


def test_what_they_run_when_they_fall_is_no_suspect(site):
    for _ in range(40):
        send(site)
    for each in site.workers:
        each.pause_s = 2.0
    with futures.ThreadPoolExecutor(2) as pool:
        under_way = [pool.submit(send, site) for _ in range(2)]
        wait_until(lambda: sum(each.running for each in site.workers) == 2, "both run")
        for each in site.workers:
            each._loop.call_soon_threadsafe(each.crash)
        assert {each.result().status for each in under_way} <= {502, 503, 504}
    for router in site.routers:
        assert router._suspicion.pending_report().crashes == ()
        assert not router._suspicion._published


def test_once_they_say_so_no_more_boxes_send_as_before(site):
    for _ in range(40):
        send(site)
    router = site.routers[0]
    assert router._traffic.needs_permit("desk")
    for each in site.workers:
        each.brittle = None
    wait_until(lambda: send(site) and not router._traffic.needs_permit("desk"), "none is brittle")
