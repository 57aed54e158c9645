from __future__ import annotations

import attrs
import pytest

from croftpulley import clock as clocks
from croftpulley import codes
from croftpulley.controllers import gate, state
from croftpulley.core import membership
from croftpulley.observe import metrics

LEASE_UNTIL_S = 10.0
NO_LEASE = codes.ResultCode.NO_LEASE
NOT_OWNER = codes.ResultCode.NOT_OWNER


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def gained(clock):
    """Return a gate that has just gained an engine and has no load report of it yet."""
    engine_gate = gate.EngineGate("me", clock, metrics.Metrics())
    engine_gate.apply_fleet_state(fleet_state(epoch=3), ())
    return engine_gate


@pytest.fixture
def owned(gained):
    report_load(gained, running=0)
    return gained


def report_load(engine_gate, running):
    engine_gate.begin_load_query("e")
    engine_gate.store_load_report("e", running, slots=0)


def fleet_state(epoch, box="me", leaving=False, incarnation="1"):
    kind = membership.EndpointKind.ENGINE
    engine = membership.Endpoint("e", kind, "llm", "127.0.0.1:1", "a", incarnation, leaving)
    directory = membership.Directory(
        engines=(engine,), owners=(membership.Ownership("e", box, epoch),)
    )
    return state.FleetState(lease_until_s=LEASE_UNTIL_S, directory=directory)


def code_of(answer):
    return answer.code if isinstance(answer, gate.NotAdmitted) else codes.ResultCode.OK


def test_nothing_is_admitted_after_the_lease_has_expired(owned, clock):
    clock.advance(LEASE_UNTIL_S)
    assert code_of(owned.admit("e", 3)) is NO_LEASE


@pytest.mark.parametrize(("engine", "epoch"), [("e", 2), ("e", 4), ("other", 3)])
def test_requests_for_another_epoch_or_engine_are_not_admitted(owned, engine, epoch):
    assert code_of(owned.admit(engine, epoch)) is NOT_OWNER


def test_a_released_engine_is_not_admitted_to_until_it_is_granted_again(owned):
    assert owned.release(("e",)) == (membership.Ownership("e", "me", 3),)
    owned.apply_fleet_state(fleet_state(epoch=3), ())
    assert code_of(owned.admit("e", 3)) is NOT_OWNER
    owned.apply_fleet_state(fleet_state(epoch=4), ())
    assert code_of(owned.admit("e", 4)) is codes.ResultCode.LOAD_UNKNOWN
    report_load(owned, running=0)
    assert code_of(owned.admit("e", 4)) is codes.ResultCode.OK
    assert owned.release(()) == ()


def test_the_count_is_exact_and_ignores_requests_of_an_earlier_epoch_that_end_late(owned):
    owned.admit("e", 3)
    assert owned.pool_loads() == (membership.PoolLoad("llm", 1, 1),)
    owned.apply_fleet_state(fleet_state(epoch=4, box="other"), ())
    owned.apply_fleet_state(fleet_state(epoch=5), ())
    owned.remove_request("e", 3)
    assert owned.pool_loads() == (membership.PoolLoad("llm", 0, 1),)


def test_requests_to_a_leaving_engine_are_refused_with_its_load(owned):
    owned.apply_fleet_state(fleet_state(epoch=3, leaving=True), ())
    refused = owned.admit("e", 3)
    assert attrs.asdict(refused) == {"code": codes.ResultCode.ENGINE_LEAVING, "load": 0}


def test_a_new_owner_admits_nothing_before_the_first_load_report(gained):
    """Guards against an engine that gets more requests than its cap when its owner changes.

    An owner that had stopped left streams at its engine, and the next one counted from 0 until the
    next load report, up to a second later. ``test_surge.py`` counts the same at the engine.
    """
    refused = gained.admit("e", 3)
    assert attrs.asdict(refused) == {"code": codes.ResultCode.LOAD_UNKNOWN, "load": -1}
    report_load(gained, running=5)
    assert code_of(gained.admit("e", 3)) is codes.ResultCode.OK
    assert gained.pool_loads() == (membership.PoolLoad("llm", 6, 1),)


def test_a_missing_load_report_delays_a_new_owner_for_a_limited_time_only(gained, clock):
    gained.begin_load_query("e")
    clock.advance(gate.MAX_LOAD_WAIT_S)
    assert code_of(gained.admit("e", 3)) is codes.ResultCode.OK


def test_gaining_an_engine_triggers_a_load_query_at_once(gained):
    asked = []
    gained.on_gained = lambda: asked.append(gained.unheard())
    gained.apply_fleet_state(fleet_state(epoch=3), ())
    assert asked == []
    gained.apply_fleet_state(fleet_state(epoch=4), ())
    assert [[each.name for each in engines] for engines in asked] == [["e"]]
    report_load(gained, running=0)
    assert gained.unheard() == ()


def test_an_engine_that_restarts_under_its_owner_needs_no_new_load_report(owned):
    """Requests of the previous incarnation ended with it; this owner counted all later ones."""
    owned.apply_fleet_state(fleet_state(epoch=3, incarnation="2"), ())
    assert code_of(owned.admit("e", 3)) is codes.ResultCode.OK


def test_a_load_report_requested_under_an_earlier_ownership_is_ignored(gained):
    gained.begin_load_query("e")
    gained.apply_fleet_state(fleet_state(epoch=4), ())
    gained.store_load_report("e", running=0, slots=0)
    assert code_of(gained.admit("e", 4)) is codes.ResultCode.LOAD_UNKNOWN
