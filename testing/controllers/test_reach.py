"""A router's paths to pools: when one is lost or back, and what a cut must not be taken for."""

from __future__ import annotations

import pytest

import cut_links
from croftpulley import clock as clocks
from croftpulley.controllers import (
    actors,
    reach,
    router_state,
    suspicion,
    suspicion_reports,
    traffic,
)
from croftpulley.core import attempts, crash_candidates, membership, retry_budget, selection
from croftpulley.core import reach as core
from croftpulley.endpoints import dialing
from croftpulley.observe import metrics

ALLOWANCE = retry_budget.Allowance(ratio=0.2, extra=10, window_s=10)


def worker(name, pool="desk", address="127.0.0.1:1"):
    return membership.Endpoint(name, membership.EndpointKind.WORKER, pool, address, "hall-a", name)


class Nobody(dialing.Dialer):
    """A dialer that reaches only the given addresses."""

    def __init__(self, *reached):
        self.reached = reached

    def dial(self, connection):
        raise NotImplementedError

    def is_listening(self, address, timeout_s):
        return address in self.reached


CUT = Nobody()
WORKERS = tuple(worker(f"w{n}", address=f"127.0.0.1:{n}") for n in (1, 2, 3))


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def counts(clock):
    return traffic.Traffic(ALLOWANCE, selection.CostRates(), clock)


@pytest.fixture
def known(counts, clock):
    view = actors.View(router_state.RouterState(endpoints=WORKERS))
    return reach.Reach(view, counts, metrics.Metrics(()), clock)


def lose(known):
    for each in WORKERS[:2]:
        known.unreached(each, CUT)
        known.failed(each)


def test_a_pool_is_lost_once_two_of_its_endpoints_in_a_row_cannot_be_reached(known):
    known.unreached(WORKERS[0], CUT)
    assert known.lost == frozenset()
    known.unreached(WORKERS[0], CUT)
    assert known.lost == frozenset()
    known.unreached(WORKERS[1], CUT)
    assert known.lost == {"desk"}


def test_a_pool_is_not_lost_while_another_of_its_endpoints_can_be_reached(known):
    for _ in range(3):
        known.unreached(WORKERS[0], Nobody(WORKERS[2].address))
        known.unreached(WORKERS[1], Nobody(WORKERS[2].address))
    assert known.lost == frozenset()


def test_a_path_that_was_lost_twice_is_back_after_two_connections(known, clock):
    lose(known)
    known.connected(WORKERS[0])
    clock.advance(core.PROBE_VALID_S)
    lose(known)
    known.connected(WORKERS[0])
    assert known.lost == {"desk"}
    known.connected(WORKERS[0])
    assert known.lost == frozenset()


def test_a_connection_between_two_failures_keeps_the_pool_from_being_lost(known):
    known.unreached(WORKERS[0], CUT)
    known.connected(WORKERS[2])
    known.unreached(WORKERS[1], CUT)
    assert known.lost == frozenset()


def test_the_first_connection_that_is_made_shows_that_the_path_is_back(known):
    lose(known)
    known.connected(WORKERS[2])
    assert known.lost == frozenset()


def test_failures_while_the_path_is_lost_are_not_counted_for_any_endpoint(known, counts):
    lose(known)
    known.failed(WORKERS[2])
    known.connected(WORKERS[0])
    known.connected(WORKERS[1])
    known.answered(WORKERS[2])
    assert counts.take_outcomes() == {}


def test_a_failure_is_reported_once_another_endpoint_of_the_pool_has_answered(known, counts):
    known.unreached(WORKERS[0], CUT)
    known.failed(WORKERS[0])
    assert counts.take_outcomes() == {}
    known.answered(WORKERS[0])
    assert counts.take_outcomes() == {}
    known.answered(WORKERS[1])
    assert counts.take_outcomes() == {"w1": (0, 1)}


def test_a_path_that_is_back_ends_the_back_offs_of_its_pool(known, counts, clock):
    lose(known)
    known.connected(WORKERS[0])
    known.connected(WORKERS[1])
    state = router_state.RouterState(endpoints=WORKERS)
    members = {each.key: each for each in WORKERS}
    avoided = [each.avoid_until_s for each in counts.candidates(members, state, {})]
    assert max(avoided) <= clock.monotonic_s()


def test_a_refused_connection_shows_a_crash_only_while_another_endpoint_is_reached(clock):
    links = cut_links.Links()
    listed = [worker(f"w{n}", address=f"127.0.0.1:{n}") for n in range(1, 7)]
    suspected = suspicion.Suspicion(clock, metrics.Metrics(()))
    request = crash_candidates.RequestIdentity("a-fingerprint", "clinic")
    attempt = attempts.Attempt(1, "w1", attempts.Phase.SENT, is_end_ambiguous=True)
    suspected.end(listed[0], request, attempt, crash_candidates.Ending.BROKE)
    links.cut = cut_links.Cut.REFUSED
    suspicion_reports.probe(suspected, listed[0], listed, 0.1, links)
    assert suspected.status("a-fingerprint").crashes == 0
    links.answers = {listed[5].address}
    suspicion_reports.probe(suspected, listed[0], listed, 0.1, links)
    assert suspected.status("a-fingerprint").crashes == 1
    links.stop()
