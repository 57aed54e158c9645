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

import pytest

from conftest import wait_until
from croftpulley.fakes import forwarded

CRASHES = 3
"""After so many ends the fleet knows."""
MOST_SENDS_AFTER = 3
"""What users allow after that, for as long as the request comes again."""
ROUNDS = 10
CRASHING = forwarded.CRASH_MARK
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


def replace(site):
    """Replace the endpoints that have crashed, and wait until every router lists the new ones."""
    site.replace_crashed()
    wanted = {each.incarnation for each in (*site.engines, *site.workers)}
    for router in site.routers:
        wait_until(lambda router=router: listed(router) == wanted, "all endpoints are listed")


def listed(router):
    """Return the endpoints that a router knows."""
    return {each.name for each in router._view.get().endpoints}


def send_in_turn(site, rounds=ROUNDS, path="/confirm/x", body=CRASHING):
    """Send the same request to one router after the other; return the answers."""
    answers = []
    for router in itertools.islice(itertools.cycle(site.routers), rounds):
        answers.append(send(site, router, path, body))
        replace(site)
    return answers


def sends(site):
    """Return how often each request reached an endpoint, by what stays the same of it."""
    return collections.Counter(
        arrival.content for each in site.endpoints for arrival in each.arrivals
    )


def most_sends(site):
    return max(sends(site).values())


@pytest.mark.parametrize("path", ["/stream/chat/x"])
def test_a_request_that_ends_endpoints_is_not_sent_on_and_on(site, path):
    send_in_turn(site, path=path)
    assert most_sends(site) <= CRASHES + MOST_SENDS_AFTER


def test_it_is_not_sent_on_after_all_processes_have_started_again(site):
    send_in_turn(site, rounds=4)
    site.stop_all_processes()
    site.start_all_processes()
    wait_until(site.is_ready, "every router is ready")
    send_in_turn(site)
    assert most_sends(site) <= CRASHES + MOST_SENDS_AFTER


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
        replace(site)
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
