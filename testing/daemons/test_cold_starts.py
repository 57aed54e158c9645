"""Endpoints that have just started, which take few requests a second from all routers together.

What the list tells of it was checked and thrown away, so a cold endpoint got what a warm one gets.
"""

from __future__ import annotations

import copy
import threading
import time

import pytest

import site_of_routers as sites
from conftest import wait_until
from croftpulley import codes

COLD_PER_S = 4.0
MOST_IN_A_SECOND = 1.5 * COLD_PER_S + 5
"""What users count as too many: half again as many as a cold endpoint takes, and five."""
SERVED = (200, "")
COLD = (503, str(int(codes.ResultCode.ENDPOINTS_COLD)))


@pytest.fixture
def site(make_site):
    """Return a fleet of four routers with two workers, of which nobody is cold."""
    # Short leases end in a starved process, and callers are refused for that.
    made = make_site(control=3, routers=4, **sites.default_terms())
    document = copy.deepcopy(sites.DOCUMENT)
    document["version"] = 5
    document["services"] = [{"name": "llm"}, {"name": "desk", "coldPerS": COLD_PER_S}]
    wait_until(lambda: made.operator.submit(document).status == 200, "it is accepted")
    return made


def make_cold(site, *names, cold_ms=60_000):
    site.instances.cold_ms = {
        each.incarnation: cold_ms for each in site.workers if each.settings.name in names
    }


def send_for(site, pause_s, rounds):
    """Have callers of each router send one request after the other.

    Return the statuses, those of a router's own with their result codes.
    """
    statuses = []

    def call(router, number):
        for count in range(rounds):
            answer = site.ask(
                "GET",
                "/cancel/x",
                address=router.caller_address,
                request_id=f"{number}-{count}",
            )
            statuses.append((answer.status, answer.headers.get("x-result-code", "")))
            time.sleep(pause_s)

    callers = [
        threading.Thread(target=call, args=(router, f"{position}-{caller}"))
        for position, router in enumerate(site.routers)
        for caller in range(2)
    ]
    for each in callers:
        each.start()
    for each in callers:
        each.join()
    return statuses


def most_in_a_second(worker, since=0):
    times_s = sorted(each.at_s for each in worker.arrivals[since:])
    return max((sum(at_s <= x < at_s + 1 for x in times_s) for at_s in times_s), default=0)


def is_spared(site, worker):
    """Tell whether requests go by a worker now: it is known as cold."""
    before = len(worker.arrivals)
    send_for(site, 0.0, 8)
    return len(worker.arrivals) - before < 20


def is_used(site, worker):
    before = len(worker.arrivals)
    send_for(site, 0.0, 8)
    return len(worker.arrivals) > before


def test_all_routers_together_send_a_cold_endpoint_no_more_than_it_takes(site):
    worker = site.workers[1]
    make_cold(site, "worker-1")
    wait_until(lambda: is_spared(site, worker), "it is known as cold")
    since = len(worker.arrivals)
    statuses = send_for(site, 0.02, 100)
    assert set(statuses) == {SERVED}
    assert most_in_a_second(worker, since) <= MOST_IN_A_SECOND
    wait_until(lambda: is_used(site, worker), "some of the requests go there")
    assert most_in_a_second(worker, since) <= MOST_IN_A_SECOND


def test_with_all_endpoints_cold_callers_are_refused_at_once_rather_than_overrun_them(site):
    make_cold(site, "worker-0", "worker-1")
    wait_until(lambda: COLD in send_for(site, 0.0, 8), "they are known as cold")
    wait_until(lambda: SERVED in send_for(site, 0.0, 1), "the leader allots them")
    since = [len(each.arrivals) for each in site.workers]
    statuses = send_for(site, 0.02, 100)
    assert set(statuses) == {SERVED, COLD}
    for worker in site.workers:
        wait_until(lambda worker=worker: is_used(site, worker), "some of the requests go there")
    for worker, begin in zip(site.workers, since, strict=True):
        assert most_in_a_second(worker, begin) <= MOST_IN_A_SECOND


def test_an_endpoint_that_is_warm_again_gets_its_share(site):
    worker = site.workers[1]
    make_cold(site, "worker-1")
    wait_until(lambda: is_spared(site, worker), "it is known as cold")
    make_cold(site)
    wait_until(lambda: not is_spared(site, worker), "it is known as warm")


def test_a_hall_just_returned_is_taken_for_cold_until_the_list_can_say(site):
    worker = site.workers[1]
    site.halls = {"worker-1": "hall-b"}
    site.list_endpoints()
    wait_until(lambda: site.operator.evacuate("hall-b").status == 200, "it is evacuated")
    since = len(worker.arrivals)
    assert site.operator.return_hall("hall-b").status == 200
    send_for(site, 0.0, 8)
    assert most_in_a_second(worker, since) <= MOST_IN_A_SECOND
