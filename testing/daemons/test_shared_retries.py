"""The budget of repeats that all routers share, counted at the endpoints.

What users saw: a service got more repeats within a window than a share of its requests and a fixed
extra allow, on real processes, while endpoints failed, the leading control box changed and routers
were killed. What happened, in order: endpoints turned requests away; each router spent its part of
the extra on sending them elsewhere; it was killed and started again within the window, with its
part whole again (a router in four lives sent 24 repeats where its part was 6.44); meanwhile the
others had been told of fewer boxes, one by a new leader of two boxes, and divided the whole extra
by those. The cause: the part that a router might spend, and the number that it was divided by, were
kept in one process's memory, and nobody else's budget depended on what that had given away.
"""

from __future__ import annotations

import itertools

import orjson
import pytest
import urllib3

from conftest import wait_until
from croftpulley.fakes import faults

EXTRA = 6
WINDOW_S = 60.0
"""Longer than a test: all that it sends falls into one window."""
ROUTERS = 3
REQUESTS = 6
"""At each router: all of them turned away would need more repeats than all may send together."""


@pytest.fixture
def make_failing_site(make_site):
    """Make a site whose workers turn every request away; nothing is earned by requests."""

    def make(**wanted):
        site = make_site(routers=ROUTERS, workers=3, retry_ratio=0.0, **wanted)
        for each in site.workers:
            each.faults.add(*[faults.Fault.DECLINE] * 1000)
        return site

    return make


@pytest.fixture
def site(make_failing_site):
    return make_failing_site(retry_extra=float(EXTRA), retry_window_s=WINDOW_S)


_NUMBERS = itertools.count()


def send_requests(site, router, count=REQUESTS):
    """Send requests to one router, each under an id of its own."""
    for _ in range(count):
        request_id = f"shared-{next(_NUMBERS)}"
        site.ask("GET", "/cancel/x", address=router.caller_address, request_id=request_id)


def repeats(site):
    """Return how many arrivals there were beyond the first of each request."""
    arrived = [each.request_id for worker in site.workers for each in worker.arrivals]
    return len(arrived) - len(set(arrived))


def status(router):
    """Return what a router tells of itself."""
    return urllib3.request("GET", f"http://{router.metrics_address}/v1/status").json()


def named_addresses(site, router):
    """Return the boxes that a router tells callers of."""
    answer = site.ask("GET", "/resolution?name=x", address=router.directory_address)
    return orjson.loads(answer.body).get("addresses", []) if answer.status == 200 else []


def test_routers_that_start_again_have_not_their_part_of_the_extra_again(site):
    for _ in range(3):
        for router in site.routers:
            send_requests(site, router)
            router.stop()
        site.routers = [site.start_router(f"router-{n}") for n in range(ROUTERS)]
        wait_until(site.is_ready, "every router is ready")
    assert repeats(site) <= EXTRA


def test_a_router_left_alone_has_not_the_part_that_others_have_spent(site):
    last, *others = site.routers
    for router in others:
        send_requests(site, router)
        router.stop()
    site.routers = [last]
    wait_until(lambda: len(named_addresses(site, last)) == 1, "the last router knows of no other")
    send_requests(site, last)
    # A new leader has heard of nobody but this router.
    site.stop_control(0)
    site.start_control(0)
    wait_until(lambda: site.control[0].leads(), "it leads again")
    wait_until(site.is_ready, "the last router has a lease")
    send_requests(site, last)
    assert repeats(site) <= EXTRA


def test_routers_come_to_use_their_share_of_the_extra(make_failing_site):
    site = make_failing_site(retry_extra=float(EXTRA), retry_window_s=0.5)

    def is_shared():
        return {status(each)["retry_share"] for each in site.routers} == {1 / ROUTERS}

    wait_until(is_shared, "every router has its share")

    def is_repeated():
        send_requests(site, site.routers[0], 1)
        return repeats(site) > 0

    wait_until(is_repeated, "a request is repeated")
