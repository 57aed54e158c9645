"""Data halls whose endpoints are to get nothing, until they are returned.

An operator's order was answered 404 by every control box: on a day with an evacuation alone it had
no acknowledgement within 5 s of steady state.
"""

from __future__ import annotations

import itertools
import threading

import orjson
import pytest

import site_of_routers as sites
from conftest import wait_until
from croftpulley.platform import names

NAMES = names.VOCABULARY
NUMBERS = itertools.count()
HALL = "hall-b"


@pytest.fixture
def site(make_site):
    """Return a fleet of two routers in one hall, with an engine and a worker there and elsewhere.

    Calls without a prompt go to the near one of two idle workers.
    """
    near = {"engine-1": HALL, "worker-1": HALL}
    # Short leases end in a starved process, which then serves nothing.
    made = make_site(control=3, routers=2, hall=HALL, halls=near, **sites.default_terms())
    wait_until(lambda: all("worker-1" in served(made, each) for each in made.routers), "both serve")
    return made


def served(site, router, count=4):
    """Return the names of the endpoints that new requests to a router run at."""
    ids = {f"{router.caller_address}-{next(NUMBERS)}" for _ in range(count)}
    for request_id in ids:
        site.ask("GET", "/cancel/x", address=router.caller_address, request_id=request_id)
    return {name for name, run in site.runs() if run.headers[NAMES.request_id] in ids}


def runs_in_hall(site):
    return sum(site.halls.get(name) == HALL for name, _ in site.runs())


def leader(site):
    return next((n for n, each in enumerate(site.control) if each and each.leads()), None)


def evacuate(site, first=0):
    wait_until(lambda: site.operator.evacuate(HALL, first).status == 200, "it is acknowledged")


@pytest.mark.parametrize("first", range(3))
def test_once_acknowledged_no_router_sends_there_until_the_hall_is_returned(site, first):
    assert site.operator.evacuate(HALL, first).status == 200
    for each in site.routers:
        assert served(site, each) == {"worker-0"}
    assert site.operator.return_hall(HALL, first).status == 200
    for each in site.routers:
        wait_until(lambda each=each: "worker-1" in served(site, each), "the hall serves again")


def test_an_order_that_is_sent_again_is_acknowledged_again(site):
    answers = [site.operator.evacuate(HALL, first).status for first in (0, 1, 2, 0)]
    answers += [site.operator.return_hall(HALL, first).status for first in (0, 1, 2)]
    assert set(answers) == {200}


def test_orders_of_two_operators_at_once_are_both_acknowledged(site):
    answers = []

    def order(call):
        answers.append(call(HALL).status)

    calls = [site.operator.evacuate, site.operator.return_hall] * 4
    threads = [threading.Thread(target=order, args=(call,)) for call in calls]
    for each in threads:
        each.start()
    for each in threads:
        each.join()
    assert answers == [200] * 8


def test_an_evacuation_outlives_its_leader_and_the_restart_of_everything(site):
    evacuate(site)
    gone = leader(site)
    site.stop_control(gone)
    wait_until(lambda: leader(site) is not None, "another leads")
    before = runs_in_hall(site)
    for each in site.routers:
        wait_until(lambda each=each: served(site, each), "it serves")
    site.stop_all_processes()
    site.start_all_processes()
    for each in site.routers:
        wait_until(lambda each=each: served(site, each), "it serves")
    assert runs_in_hall(site) == before


def test_a_router_that_starts_later_sends_nothing_there(site):
    evacuate(site)
    later = site.start_router("router-9")
    site.routers.append(later)
    wait_until(site.is_ready, "it is ready")
    assert served(site, later) == {"worker-0"}


def test_with_all_halls_evacuated_callers_are_refused_at_once_and_told_when_to_come_back(site):
    for hall in ("hall-a", HALL):
        assert site.operator.evacuate(hall).status == 200
    answer = site.ask("GET", "/cancel/x")
    assert answer.status == 503
    assert answer.headers["x-run-state"] == "not_run"
    assert float(answer.headers["retry-after"]) > 0


def test_without_a_quorum_nothing_is_acknowledged(site):
    leading = leader(site)
    for number in range(3):
        if number != leading:
            site.stop_control(number)
    wait_until(lambda: not site.control[leading].leads(), "its authority has ended")
    operator = type(site.operator)((site.operators[leading],))
    assert operator.evacuate(HALL).status == 503


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("GET", f"/Evacuation.Begin/{HALL}", None, 405),
        ("POST", "/Evacuation.Begin/nowhere", None, 404),
        ("POST", "/Evacuation.Begin/", None, 404),
        ("POST", f"/Evacuation.Begin/{HALL}/more", None, 404),
        ("POST", "/Evacuation.Begin/" + 10_000 * "x", None, 404),
        ("POST", "/Evacuation.Finish/%ff%fe", None, 404),
        ("POST", f"/Evacuation.Begin/{HALL}", b"{}", 400),
    ],
)
def test_what_is_no_order_is_refused_with_its_reason_and_changes_nothing(
    site, method, path, body, status
):
    address = site.operators[leader(site)]
    answer = site.ask(method, path, address=address, body=body)
    assert answer.status == status
    assert b'"message"' in answer.body
    listed = site.ask("GET", "/v1/halls", address=address)
    assert orjson.loads(listed.body)["revision"] == 0
    for each in site.routers:
        wait_until(lambda each=each: "worker-1" in served(site, each), "the hall serves")
