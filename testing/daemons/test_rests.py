"""Endpoints that ask a router for rest, or say that they leave, judged by what they see.

What users saw: an endpoint had asked a box for 3 s of rest and got up to seven requests from it in
that time; callers were refused meanwhile though other endpoints were free. What happened, in order:
an endpoint answered 503 with Retry-After; the router took that for one request turned away and
chose the endpoint for the next one too, all the sooner since whoever turns everything away has
nothing in flight; each such request was then sent elsewhere, until the shared budget of repeats was
spent. The cause: what an endpoint said of itself in an answer was read by nobody.

The evidence: with `rest_asked` (event 324) in the log, `endpoint_chosen` names the same endpoint
with a ``withdrawn_for_s`` above 0, for first attempts, while others of the pool are idle.
"""

from __future__ import annotations

import itertools
import json
import time
from concurrent import futures

import pytest
import urllib3.connection
from click import testing as click_testing

import rests
from conftest import wait_until
from croftpulley import codes
from croftpulley.cli import ctl
from croftpulley.core import withdrawal

ROUTERS = 3
REST_S = 60.0
RESTING = str(int(codes.ResultCode.ENDPOINTS_RESTING))
_NUMBERS = itertools.count()


@pytest.fixture
def site(make_site):
    return make_site(routers=ROUTERS, engines=2, workers=2)


def send(site, router, path="/cancel/x"):
    """Send a request whose id names its router; return the answer."""
    name = router._settings.box
    return site.ask(
        "GET", path, address=router.caller_address, request_id=f"{name}/{next(_NUMBERS)}"
    )


def router_of(request_id):
    return request_id.partition("/")[0]


def turn_away(*endpoints, rest_s=REST_S):
    """Have endpoints turn every request away and ask for rest."""
    for each in endpoints:
        each.most_at_once = 0
        each.rest_s = rest_s


def send_until(site, is_over, path="/cancel/x"):
    """Send to every router in turn, at least once each; return the answers."""
    answers = []

    def step():
        answers.extend(send(site, router, path) for router in site.routers)
        return is_over()

    wait_until(step, "enough is sent")
    return answers


def have_all_asked(endpoint):
    """Tell whether the endpoint asked each router for rest, the last one more than a grace ago."""
    asked_at_s = {}
    for each in endpoint.rests:
        asked_at_s.setdefault(router_of(each.request_id), each.at_s)
    is_late = time.monotonic() > max(asked_at_s.values(), default=0.0) + rests.GRACE_S
    return len(asked_at_s) == ROUTERS and is_late


def test_an_endpoint_gets_no_requests_from_a_router_that_it_asked_for_rest(site):
    worker = site.workers[0]
    turn_away(worker)
    answers = send_until(site, lambda: have_all_asked(worker))
    answers += [send(site, router) for router in site.routers for _ in range(20)]
    assert rests.broken(worker, router_of) == []
    assert {each.status for each in answers} == {200}


def test_with_a_whole_pool_at_rest_callers_are_refused_at_once_and_nobody_is_asked(site):
    router = site.routers[0]
    turn_away(*site.workers)
    send(site, router)
    send(site, router)
    before = [len(each.arrivals) for each in site.workers]
    answers = [send(site, router) for _ in range(10)]
    assert [len(each.arrivals) for each in site.workers] == before
    assert {each.headers["x-result-code"] for each in answers} == {RESTING}
    assert all(50 < float(each.headers["retry-after"]) <= 75 for each in answers)


def test_an_endpoint_that_turns_all_away_without_a_word_on_when_is_asked_seldom(site):
    router, worker = site.routers[0], site.workers[0]
    turn_away(worker, rest_s=0.0)
    answers = [send(site, router) for _ in range(40)]
    assert {each.status for each in answers} == {200}
    assert 0 < len(worker.arrivals) <= 6


def test_after_a_rest_an_endpoint_is_not_filled_at_once_again(site):
    """Callers beyond what it should get are refused at once, not queued and not sent."""
    router, worker = site.routers[0], site.workers[0]
    turn_away(*site.workers, rest_s=0.2)
    wait_until(lambda: send(site, router).headers["x-result-code"] == RESTING, "all rest")
    for each in site.workers:
        each.most_at_once = 100
        each.pause_s = 3.0
    wait_until(lambda: not router._traffic.withdrawn(), "no rest binds")
    before = sum(len(each.arrivals) for each in site.workers)
    with futures.ThreadPoolExecutor(2) as pool:
        served = [pool.submit(send, site, router) for _ in range(2)]
        wait_until(lambda: worker.running + site.workers[1].running == 2, "each has one")
        answer = send(site, router)
    assert answer.headers["x-result-code"] == str(int(codes.ResultCode.NO_CAPACITY))
    assert 0.1 <= float(answer.headers["retry-after"]) <= 0.2
    assert [each.result().status for each in served] == [200, 200]
    assert sum(len(each.arrivals) for each in site.workers) == before + 2


def on_connecting(monkeypatch, address, action):
    """Have something happen once, when a connection to an address has just been made."""
    connect = urllib3.connection.HTTPConnection.connect
    pending = [action]

    def connect_and_act(connection):
        connect(connection)
        if f"{connection.host}:{connection.port}" == address and pending:
            pending.pop()()

    monkeypatch.setattr(urllib3.connection.HTTPConnection, "connect", connect_and_act)


def test_a_request_whose_connection_was_being_made_when_rest_was_asked_goes_elsewhere(
    site, monkeypatch
):
    router = site.routers[0]
    worker, other = site.workers
    notice = withdrawal.Notice(rest_s=REST_S)
    on_connecting(
        monkeypatch, worker.address, lambda: router._traffic.apply_notice("worker-0", notice)
    )
    answers = send_until(site, lambda: router._traffic.is_withdrawn("worker-0"))
    arrived = {router_of(each.request_id) for each in worker.arrivals}
    answers += [send(site, router) for _ in range(10)]
    assert router._settings.box not in arrived
    assert {each.status for each in answers} == {200}
    assert worker.faults.take() is None
    assert len(other.runs) + len(worker.runs) == len(answers)


def test_an_endpoint_that_says_it_leaves_gets_no_more_whatever_the_list_says(site):
    leaving, staying = site.workers
    # What is told of loads last decides from now on.
    wait_until(lambda: not any(each._view.get().loads for each in site.routers), "all is idle")
    site.stop_control(0)
    leaving.leaving = "1"
    routers = {each._settings.box for each in site.routers}
    send_until(
        site, lambda: {router_of(a.request_id) for a in leaving.arrivals} == routers, "/open/x"
    )
    before = len(leaving.arrivals), len(staying.arrivals)
    answers = [send(site, router, "/open/x") for router in site.routers for _ in range(10)]
    assert {each.status for each in answers} == {200}
    assert (len(leaving.arrivals), len(staying.arrivals)) == (before[0], before[1] + 30)


def test_what_one_router_heard_of_leaving_all_are_told_though_the_list_never_says_it(site):
    leaving = site.workers[0]
    leaving.leaving = "1"
    router, *others = site.routers
    wait_until(lambda: send(site, router) and bool(leaving.arrivals), "it says so to one router")
    leaving.leaving = ""
    wait_until(lambda: all(knows_as_leaving(each, "worker-0") for each in others), "all know")
    site.stop_control(0)
    site.start_control(0)
    wait_until(lambda: site.control[0].leads(), "another life of the control box leads")
    wait_until(lambda: site.control[0].listed_at_s() > float("-inf"), "it has read the list")
    before = len(leaving.arrivals)
    answers = [send(site, each, "/open/x") for each in site.routers for _ in range(10)]
    assert {each.status for each in answers} == {200}
    assert len(leaving.arrivals) == before


def knows_as_leaving(router, name):
    """Tell whether a router was told that an endpoint leaves."""
    return any(each.name == name and each.leaving for each in router._view.get().endpoints)


def test_a_pool_that_leaves_whole_is_refused_at_once(site):
    router = site.routers[0]
    for each in site.workers:
        each.leaving = "1"
    wait_until(lambda: send(site, router).status == 503, "both have said so")
    before = [len(each.arrivals) for each in site.workers]
    answer = send(site, router)
    assert answer.headers["x-result-code"] == str(int(codes.ResultCode.NO_ENGINE))
    assert [len(each.arrivals) for each in site.workers] == before


def test_operators_see_who_wants_no_requests_from_how_many_boxes_and_for_how_long(site):
    resting, leaving = site.workers
    turn_away(resting)
    leaving.leaving = "1"
    send_until(site, lambda: have_all_asked(resting))
    wait_until(lambda: "leaving" in listed(site), "the leader was told of both")
    rows = dict(row.split("  ", 1) for row in listed(site).splitlines())
    assert set(rows) == {"worker-0", "worker-1"}
    assert f"asked {ROUTERS} boxes for rest" in rows["worker-0"]
    (described,) = (
        each
        for each in json.loads(listed(site, "--json"))["endpoints"]
        if each["endpoint"] == "worker-0"
    )
    assert set(described["resting_s"]) == {each._settings.box for each in site.routers}
    assert all(30 < left_s <= REST_S for left_s in described["resting_s"].values())


def listed(site, *options):
    """Return what an operator is shown of endpoints that want no requests."""
    arguments = ["--control", site.operators[0], *options, "endpoints", "--withdrawn"]
    return click_testing.CliRunner().invoke(ctl.ctl, arguments).output


def test_routers_tell_of_a_rest_no_longer_than_it_lasts(site):
    resting = site.workers[0]
    turn_away(resting, rest_s=0.3)
    send_until(site, lambda: bool(resting.rests))
    resting.most_at_once = 100
    wait_until(lambda: listed(site) == "no endpoints\n", "nobody rests any more")
