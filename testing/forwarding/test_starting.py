"""Requests that come to a box that has just started."""

from __future__ import annotations

import threading

import attrs
import hypothesis
import pytest
from hypothesis import strategies

from conftest import wait_until
from croftpulley import clock as clocks
from croftpulley.controllers import actors, router_state
from croftpulley.core import calls, membership, starting, tables
from croftpulley.forwarding import base
from croftpulley.forwarding import starting as step
from croftpulley.settings import fleet

FAR_S = 1e9
SERVES = router_state.RouterState(
    lease_until_s=FAR_S,
    tables=tables.Tables(fleet.FleetConfiguration(version=1)),
    endpoints=(membership.Endpoint("e", membership.EndpointKind.ENGINE, "p", "a:1", "h", "e"),),
)
REPLY = base.ForwardReply(200, (), b"")


class WatchedView(actors.View):
    """Tells when somebody waits, and for how long at most."""

    def __init__(self, value):
        super().__init__(value)
        self.waits_s = []

    def wait_for(self, holds, timeout_s):
        self.waits_s.append(timeout_s)
        return super().wait_for(holds, timeout_s)


@pytest.fixture
def view():
    return WatchedView(router_state.RouterState())


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def ask(view, clock):
    """Return what sends a request through the step and returns what the next one is told."""
    await_start = step.AwaitStart(view, clock)

    def send(budget_s=None):
        told = []
        request = base.ForwardRequest(
            method="GET", target="/", headers={}, body=b"", arrived_s=clock.monotonic_s()
        )
        facts = calls.CallFacts(request_id="r", budget_s=budget_s)
        exchange = base.Exchange(request=request, facts=facts, state=view.get())
        await_start.handle(exchange, lambda passed: told.append(passed.state) or REPLY)
        return told[0]

    return send


def test_a_request_waits_until_the_box_may_serve(view, ask, monkeypatch):
    # The wait itself must not end this test on a slow machine.
    monkeypatch.setattr(starting, "START_S", 30.0)
    told = []
    caller = threading.Thread(target=lambda: told.append(ask()))
    caller.start()
    wait_until(lambda: view.waits_s, "the request waits")
    assert not told
    view.publish(SERVES)
    caller.join()
    assert told == [SERVES]


def test_it_goes_on_when_the_start_takes_too_long(view, ask, monkeypatch):
    monkeypatch.setattr(starting, "START_S", 0.001)
    assert not ask().has_had_lease
    assert view.waits_s == [0.001]


def test_nobody_waits_once_the_start_is_over(view, ask, clock):
    clock.advance(starting.START_S)
    ask()
    assert not view.waits_s


def test_nobody_waits_at_a_box_that_has_lost_its_lease(view, ask):
    view.publish(attrs.evolve(SERVES, lease_until_s=-1.0))
    ask()
    assert not view.waits_s


@hypothesis.given(
    age_s=strategies.floats(0, 1e6), budget_s=strategies.none() | strategies.floats(0, 1e6)
)
def test_no_request_waits_beyond_the_start_or_for_most_of_its_time(age_s, budget_s):
    held_s = starting.hold_s(age_s, budget_s)
    assert 0 <= held_s <= max(0.0, starting.START_S - age_s)
    assert budget_s is None or held_s <= starting.LARGEST_PART * budget_s
