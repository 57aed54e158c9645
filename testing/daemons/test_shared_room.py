"""Callers who compete for too little room, through real routers: who waits, who is refused."""

from __future__ import annotations

import copy
import itertools
import time
from concurrent import futures

import pytest

import site_of_routers as sites
from conftest import wait_until
from croftpulley import codes
from croftpulley.platform import names

SLOTS = 4
MOST = 5
"""Permits of a router alone before one engine."""
NO_CAPACITY = str(int(codes.ResultCode.NO_CAPACITY))
CHAT, NOTE = "/stream/chat/x", "/stream/note/x"
_NUMBERS = itertools.count()


def document(objective_ms=500, **priorities):
    """Return a configuration whose pool has so many slots an engine."""
    made = copy.deepcopy(sites.DOCUMENT)
    made["version"] = 5
    made["services"] = [{"name": "llm", "inferenceEngine": {"slots": SLOTS}}, {"name": "desk"}]
    for route in made["routes"]:
        route["priority"] = priorities.get(route["name"], 0)
        route["targetLatencyMs"] = objective_ms
        route["timeoutMs"] = 100_000
    return made


@pytest.fixture
def start(make_site):
    """Return a function that starts a fleet; its routers share room."""

    def started(routers=1, engines=1, shares_room=True, **terms):
        site = make_site(
            routers=routers, engines=engines, shares_room=shares_room, **sites.default_terms()
        )
        wait_until(lambda: site.operator.submit(document(**terms)).status == 200, "it is accepted")
        return site

    return started


def ask(site, path, **changes):
    patient = {names.VOCABULARY.budget_ms: "100000"}
    number = next(_NUMBERS)
    return site.ask("GET", path, request_id=f"shared-{number}", headers=patient, **changes)


def result(answer):
    return answer.status, answer.headers.get("x-result-code", "")


class Standing:
    """Requests that stand at the engines until they are let go."""

    def __init__(self, site, pool):
        self.site = site
        self._pool = pool
        for engine in site.engines:
            engine.may_go_on.clear()

    @property
    def running(self):
        return sum(engine.running for engine in self.site.engines)

    def ask(self, path, **changes):
        return self._pool.submit(ask, self.site, path, **changes)

    def fill(self, count):
        """Have so many more stand there."""
        for _ in range(count):
            before = self.running
            self.ask(CHAT)
            wait_until(lambda before=before: self.running == before + 1, "it runs at an engine")

    def let_go(self):
        for engine in self.site.engines:
            engine._loop.call_soon_threadsafe(engine.may_go_on.set)


@pytest.fixture
def stand():
    """Return a function that has requests of a site stand at its engines."""
    made = []
    with futures.ThreadPoolExecutor(64) as pool:

        def begin(site):
            made.append(Standing(site, pool))
            return made[-1]

        yield begin
        for each in made:
            each.let_go()


def waiting(site):
    return site.routers[0]._status()["waiting_for_room"].get("llm", 0)


def test_what_has_no_room_is_refused_in_time_to_come_back_and_not_sent(start, stand):
    site = start()
    standing = stand(site)
    standing.fill(MOST)
    before = len(site.engines[0].arrivals)
    began_s = time.monotonic()
    answer = ask(site, CHAT)
    assert result(answer) == (503, NO_CAPACITY)
    assert float(answer.headers["retry-after"]) > 0
    assert len(site.engines[0].arrivals) == before
    # Three quarters of the objective; far less than the ten seconds that the caller has.
    assert time.monotonic() - began_s < 5.0


def test_who_waits_is_served_when_a_caller_leaves(start, stand):
    site = start(objective_ms=20_000, note=2)
    standing = stand(site)
    standing.fill(MOST - 1)
    leaves = site.connect()
    leaves.request("GET", CHAT, headers=site.headers(f"shared-{next(_NUMBERS)}"))
    wait_until(lambda: standing.running == MOST, "it runs at the engine")
    late = standing.ask(NOTE)
    wait_until(lambda: waiting(site) == 1, "the less urgent waits")
    urgent = standing.ask(CHAT)
    wait_until(lambda: waiting(site) == 2, "the urgent waits")
    runs = site.engines[0].runs
    leaves.close()
    wait_until(lambda: len(runs) > MOST, "one that waited runs")
    standing.let_go()
    assert (urgent.result().status, late.result().status) == (200, 200)


def test_routers_together_send_no_more_than_there_is_room_for(start, stand):
    site = start(routers=3, engines=2)
    standing = stand(site)
    most = 0
    asked = []
    for number in range(60):
        router = site.routers[number % 3]
        asked.append(standing.ask(CHAT, address=router.caller_address))
        most = max(most, standing.running)
        time.sleep(0.01)
    wait_until(lambda: waiting(site) == 0, "nobody waits")
    most = max(most, standing.running)
    # All room is used, and what three routers add before they hear of each other is little.
    assert 2 * SLOTS <= most <= 2 * MOST + 3
    assert all(not engine.rests for engine in site.engines)
    standing.let_go()
    ends = {result(each.result()) for each in asked}
    assert ends == {(200, ""), (503, NO_CAPACITY)}


def test_without_control_a_router_goes_on_with_its_part(start, stand):
    site = start()
    standing = stand(site)
    standing.fill(2)
    site.stop_control(0)
    standing.fill(1)
    standing.let_go()
    wait_until(lambda: standing.running == 0, "all have ended")
    assert ask(site, CHAT).status == 200


def test_routers_share_room_once_an_endpoint_tells_how_long_work_takes(start, stand):
    site = start(shares_room=False)
    assert not site.routers[0]._status()["shares_room"]
    site.engines[0].load = "{running},0,4"
    assert ask(site, CHAT).status == 200
    assert not site.routers[0]._status()["shares_room"]
    site.engines[0].load = "{running},0,4,100"
    assert ask(site, CHAT).status == 200
    assert site.routers[0]._status()["shares_room"]


def test_an_endpoint_that_is_full_by_its_own_words_is_not_taken_for_one_that_fails(start):
    site = start(engines=1)
    (engine,) = site.engines
    engine.load = "4,0,4,100"
    engine.most_at_once = 0
    assert ask(site, CHAT).status == 503
    engine.most_at_once = 100
    engine.load = "0,0,4,100"
    record = site.routers[0]._traffic._records.get(engine.incarnation)
    assert record is None or record.backoff.is_blank


def test_what_an_endpoint_tells_that_cannot_be_read_changes_nothing(start):
    site = start()
    for load in ("-1,0,4,100", "9,9", "nan,0,4", "9" * 400 + ",0,4"):
        site.engines[0].load = load
        assert ask(site, CHAT).status == 200
    site.engines[0].load = "1000000,1000000,4,1000000"
    assert ask(site, CHAT).status == 200
    wait_until(lambda: ask(site, CHAT).status == 200, "it is believed for a moment only")
