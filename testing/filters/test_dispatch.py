from __future__ import annotations

import pytest

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.controllers import actors, state
from croftpulley.core import membership
from croftpulley.dispatch import local
from croftpulley.filters import base, dispatch
from croftpulley.settings import fleet

FULL = codes.ResultCode.NO_CAPACITY
MOVED = codes.ResultCode.NOT_OWNER


class ScriptedDispatcher:
    """Refuses with the (code, load) pairs scripted per engine, then admits; records the calls."""

    def __init__(self, clock, **refusals):
        self._clock = clock
        self._refusals = refusals
        self.asked = []

    def start(self, order, attempt, token):
        self.asked.append((order.engine, order.mean_evidence))
        self._clock.advance(0.01)
        script = self._refusals.get(order.engine, [])
        if script:
            raise local.NotAdmittedError(*script.pop(0))
        return "stream"


def engine(name):
    kind = membership.EndpointKind.ENGINE
    return membership.Endpoint(name, kind, "llm", name, "hall-a", "1")


def run(clock, dispatcher, wait_s=2.0):
    names = ("a", "b", "c")
    box = membership.Box("me", "hall-a", "callers", "peers")
    directory = membership.Directory(
        version=1,
        boxes=(box,),
        engines=tuple(map(engine, names)),
        owners=tuple(membership.Ownership(name, "me", 1) for name in names),
    )
    view = actors.View(state.FleetState(directory=directory))
    request = base.CallerRequest(
        request_id="r", headers={}, content_type="", body=b"", arrived_s=0.0
    )
    exchange = base.Exchange(
        request=request, configuration=fleet.FleetConfiguration(), directory=directory
    )
    exchange.candidates = list(directory.engines)
    chosen = dispatch.Dispatch("me", dispatcher, None, 8, view, wait_s, clock, retry_interval_s=0.0)
    return chosen.handle(exchange, None).attempt.endpoint


@pytest.fixture
def clock():
    return clocks.ManualClock()


def test_the_first_candidate_that_admits_gets_the_request(clock):
    dispatcher = ScriptedDispatcher(clock, a=[(FULL, 5)])
    assert run(clock, dispatcher) == "b"
    assert dispatcher.asked == [("a", 0.0), ("b", 0.0)]


def test_the_least_loaded_engine_is_asked_again_with_the_mean_of_the_refusals(clock):
    dispatcher = ScriptedDispatcher(clock, a=[(FULL, 5)], b=[(FULL, 1)], c=[(FULL, 3)])
    assert run(clock, dispatcher) == "b"
    assert dispatcher.asked[-1] == ("b", 3.0)


def test_losing_a_race_for_the_last_slot_does_not_reject_the_request(clock):
    # Other requests filled the least loaded engine between its refusal and the second try.
    dispatcher = ScriptedDispatcher(
        clock, a=[(FULL, 1)], b=[(FULL, 1)], c=[(FULL, 0), (FULL, 2), (FULL, 2)]
    )
    assert run(clock, dispatcher) in ("a", "b")


def test_a_request_waits_while_engines_change_owners(clock):
    dispatcher = ScriptedDispatcher(
        clock, a=[(MOVED, -1)] * 3, b=[(MOVED, -1)] * 3, c=[(MOVED, -1)] * 3
    )
    assert run(clock, dispatcher) == "a"


@pytest.mark.parametrize(("code", "load"), [(MOVED, -1), (FULL, 9)])
def test_waiting_ends_after_the_admission_wait_with_the_transient_refusal(clock, code, load):
    script = {name: [(code, load)] * 1000 for name in "abc"}
    with pytest.raises(errors.CroftpulleyError) as caught:
        run(clock, ScriptedDispatcher(clock, **script))
    assert caught.value.code is code
    assert caught.value.retry_after_s is not None
    assert 2.0 <= clock.monotonic_s() < 2.5
