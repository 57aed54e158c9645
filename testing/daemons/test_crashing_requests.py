"""A request that ends each endpoint that begins to run it, counted at the endpoints.

What users saw: one request ended ten language-model endpoints within fourteen seconds; most chats
broke off, again and again, and only one to three of six endpoints were up. What happened, in order:
an endpoint began to run the request and ended, with all that it ran; the caller was told that the
answer had broken off and sent the same request again, under another id, to another router; that
chose a sound endpoint, which ended too; endpoints came back after some seconds and were ended
again. The cause: every bound on sending (sends of one request, attempts of its route, repeats of a
pool) was counted for one exchange, and what was learned of the request ended with that.

The evidence: the lines of attempts carry the request's fingerprint (`core.fingerprints`). At each
end the same one is among those in flight, under ids that are all different, at one router after the
other; no id is met at two ends.
"""

from __future__ import annotations

import collections
import itertools
from concurrent import futures

import pytest
from click import testing as click_testing

import crashed_endpoints
import site_of_routers as sites
from conftest import wait_until
from croftpulley import errors
from croftpulley.cli import ctl
from croftpulley.core import suspect_messages, suspect_rules
from croftpulley.fakes import faults, forwarded
from croftpulley.platform import names

CRASHES = 3
"""After so many ends the fleet knows."""
MOST_SENDS_AFTER = 3
"""What users allow after that, for as long as the request comes again."""
ROUNDS = 10
CRASHING = forwarded.CRASH_MARK
AFTER_HEAD = CRASHING + forwarded.CRASH_AFTER_HEAD_MARK
UNFRAMED = AFTER_HEAD + forwarded.CRASH_UNFRAMED_MARK
_NUMBERS = itertools.count()


@pytest.fixture
def site(make_site):
    return make_site(control=3, routers=3, engines=3, workers=3)


def send(site, router, path="/confirm/x", body=CRASHING):
    """Send a request under an id of its own; return the answer."""
    return site.ask(
        "POST",
        path,
        address=router.caller_address,
        body=body,
        request_id=f"crash-{next(_NUMBERS)}",
    )


def send_in_turn(site, rounds=ROUNDS, path="/confirm/x", body=CRASHING):
    """Send the same request to one router after the other; return the answers."""
    answers = []
    for router in itertools.islice(itertools.cycle(site.routers), rounds):
        answers.append(send(site, router, path, body))
        crashed_endpoints.replace(site)
    return answers


def sends(site):
    """Return how often each request reached an endpoint, by what stays the same of it."""
    return collections.Counter(
        arrival.content for each in site.endpoints for arrival in each.arrivals
    )


def crashes(site):
    return sum(each.has_crashed for each in site.endpoints)


def runs_of(site, body):
    """Return the endpoints that began to run a request with this body."""
    return [each for each in site.endpoints for run in each.runs if run.body == body]


def suspected(router):
    """Return the requests that a router knows as suspects."""
    return set(router._suspicion._published)


def most_sends(site):
    return max(sends(site).values())


@pytest.mark.parametrize("path", ["/stream/chat/x", "/stream/note/x", "/confirm/x", "/cancel/x"])
def test_a_request_that_ends_endpoints_is_not_sent_on_and_on(site, path):
    send_in_turn(site, path=path)
    assert most_sends(site) <= CRASHES + MOST_SENDS_AFTER


@pytest.mark.parametrize("path", ["/stream/chat/x", "/stream/note/x", "/confirm/x", "/cancel/x"])
@pytest.mark.parametrize("ends", [AFTER_HEAD, UNFRAMED], ids=["framed", "unframed"])
def test_nor_one_that_ends_them_once_its_answer_has_begun(site, path, ends):
    send_in_turn(site, path=path, body=ends)
    assert most_sends(site) <= CRASHES + MOST_SENDS_AFTER


def test_it_is_not_sent_on_after_all_processes_have_started_again(site):
    send_in_turn(site, rounds=4)
    site.stop_all_processes()
    site.start_all_processes()
    wait_until(site.is_ready, "every router is ready")
    send_in_turn(site)
    assert most_sends(site) <= CRASHES + MOST_SENDS_AFTER


def test_it_is_not_sent_on_when_the_leader_ends_just_after_the_third(site):
    send_in_turn(site, rounds=3)
    site.stop_control(crashed_endpoints.leader(site))
    send_in_turn(site)
    assert most_sends(site) <= CRASHES + MOST_SENDS_AFTER


def test_routers_that_meet_an_end_at_one_moment_come_to_the_same(site):
    later = []
    for _ in range(ROUNDS):
        known = crashes(site) >= CRASHES
        before = most_sends(site) if known else 0
        with futures.ThreadPoolExecutor(len(site.routers)) as pool:
            list(pool.map(lambda router: send(site, router), site.routers))
        crashed_endpoints.replace(site)
        if known:
            later.append(most_sends(site) - before)
    assert crashes(site) >= CRASHES
    assert sum(later) <= MOST_SENDS_AFTER


def test_a_failure_that_an_endpoint_answers_clears_nothing(site):
    # An endpoint that fails requests may do so before it begins to run them.
    path = "/confirm/x"
    routers = itertools.islice(itertools.cycle(site.routers), 2 * ROUNDS)
    for round_number, router in enumerate(routers):
        if round_number % 2:
            for each in site.workers:
                each.faults.add(faults.Fault.ERROR_UNRUN)
        send(site, router, path)
        for each in site.workers:
            each.faults.clear()
        crashed_endpoints.replace(site)
    assert crashes(site) <= CRASHES + MOST_SENDS_AFTER


def test_different_ones_at_once_are_each_stopped(site):
    bodies = [CRASHING + b" %d" % number for number in range(4)]
    for router in itertools.islice(itertools.cycle(site.routers), ROUNDS):
        for body in bodies:
            send(site, router, body=body)
            crashed_endpoints.replace(site)
    assert len(sends(site)) == len(bodies)
    assert most_sends(site) <= CRASHES + MOST_SENDS_AFTER


def test_what_is_told_of_it_is_true_and_comes_at_once(site):
    *_, last = send_in_turn(site)
    assert last.status == 503
    assert last.headers["x-run-state"] == "not_run"
    assert 0 < float(last.headers["retry-after"]) <= suspect_rules.TRIAL_COOLDOWN_S


def test_one_that_was_unlucky_three_times_is_served(site):
    for _ in range(CRASHES):
        with futures.ThreadPoolExecutor(1) as pool:
            for each in site.workers:
                each.pause_s = 60.0
            count = len(runs_of(site, b"harmless"))
            answer = pool.submit(send, site, site.routers[0], "/confirm/x", b"harmless")
            wait_until(lambda n=count: len(runs_of(site, b"harmless")) > n, "it runs")
            (running,) = [each for each in runs_of(site, b"harmless") if not each.has_crashed]
            running.kill()
            assert answer.result().status == 502
        crashed_endpoints.replace(site)
    for each in site.workers:
        each.pause_s = 0.0
    for router in site.routers:
        wait_until(lambda router=router: suspected(router), "every router suspects it")
    assert send(site, site.routers[1], "/confirm/x", b"harmless").status == 200
    for router in site.routers:
        wait_until(lambda router=router: not suspected(router), "it is cleared everywhere")
    assert {send(site, each, "/confirm/x", b"harmless").status for each in site.routers} == {200}


def test_connections_that_break_off_while_endpoints_live_speak_against_nobody(site):
    for _ in range(2 * CRASHES):
        for each in site.workers:
            each.faults.add(faults.Fault.RESET_AFTER_RUN)
        assert send(site, site.routers[0], "/confirm/x", b"harmless").status == 502
        for each in site.workers:
            each.faults.clear()
    assert send(site, site.routers[0], "/confirm/x", b"harmless").status == 200
    assert all(box._log.read().suspects.all() == () for box in site.control)


def test_a_callers_request_says_nothing_against_that_of_another(site):
    send_in_turn(site)
    document = sites.DOCUMENT | {
        "version": 2,
        "tenants": [*sites.DOCUMENT["tenants"], {"name": "shop", "apiKeys": ["b-key"]}],
    }
    wait_until(lambda: site.operator.submit(document).status == 200, "it is accepted")
    before = most_sends(site)
    headers = {names.VOCABULARY.key: "b-key"}
    address = site.routers[0].caller_address
    site.ask("POST", "/confirm/x", address=address, body=CRASHING, request_id="b", headers=headers)
    assert most_sends(site) == before + 1


def test_an_operator_lists_what_is_refused_and_clears_it(site):
    send_in_turn(site, rounds=suspect_messages.SUSPECTED_CRASHES)
    for router in site.routers:
        wait_until(lambda router=router: suspected(router), "every router has heard of both ends")
    send_in_turn(site)

    def run(*arguments):
        command = [
            "--control",
            site.operators[crashed_endpoints.leader(site)],
            "suspects",
            *arguments,
        ]
        return click_testing.CliRunner().invoke(ctl.ctl, command, catch_exceptions=False).output

    row = run("list")
    fingerprint, _, workspace = row.split()[:3]
    assert workspace == "clinic"
    assert "crashes 4  trials 2  refused until 2" in row
    before = most_sends(site)
    assert run("clear", fingerprint) == f"cleared {fingerprint}\n"
    assert run("list") == "no suspects\n"
    with pytest.raises(errors.CroftpulleyError, match="NOT_FOUND"):
        run("clear", fingerprint)
    for router in site.routers:
        wait_until(lambda router=router: not suspected(router), "it is cleared everywhere")
    send(site, site.routers[0])
    assert most_sends(site) == before + 1


def test_a_request_that_crashes_nobody_is_served_whatever_ended_beside_it(site):
    for round_number, router in enumerate(itertools.islice(itertools.cycle(site.routers), 6)):
        for each in site.workers:
            each.pause_s = 0.05
        beside = site.connect(router.caller_address)
        request_id = f"beside-{round_number}"
        beside.request("POST", "/cancel/beside", b"harmless", site.headers(request_id))
        send(site, router)
        beside.getresponse().read()
        beside.close()
        crashed_endpoints.replace(site)
    for router in site.routers:
        assert send(site, router, "/cancel/beside", b"harmless").status == 200


def test_each_try_of_a_request_is_logged_with_the_same_fingerprint(site, caplog):
    caplog.set_level("INFO")
    send_in_turn(site, rounds=3)
    chosen = [
        each for each in caplog.records if getattr(each, "event_name", "") == "endpoint_chosen"
    ]
    assert len({each.request_id for each in chosen}) == len(chosen) == 3
    assert len({each.fingerprint for each in chosen}) == 1
