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
    """Return a gate that has just gained an engine and was not told yet what runs there."""
    made = gate.EngineGate("me", clock, metrics.Metrics())
    made.follow(fleet_state(epoch=3), ())
    return made


@pytest.fixture
def owned(gained):
    tell(gained, running=0)
    return gained


def tell(engine_gate, running):
    engine_gate.ask("e")
    engine_gate.report("e", running, slots=0)


def fleet_state(epoch, box="me", leaving=False, incarnation="1"):
    kind = membership.EndpointKind.ENGINE
    engine = membership.Endpoint("e", kind, "llm", "127.0.0.1:1", "a", incarnation, leaving)
    directory = membership.Directory(
        engines=(engine,), owners=(membership.Ownership("e", box, epoch),)
    )
    return state.FleetState(lease_until_s=LEASE_UNTIL_S, directory=directory)


def code_of(answer):
    return answer.code if isinstance(answer, gate.NotAdmitted) else codes.ResultCode.OK


def test_nothing_is_admitted_once_the_lease_has_ended(owned, clock):
    clock.advance(LEASE_UNTIL_S)
    assert code_of(owned.admit("e", 3)) is NO_LEASE


@pytest.mark.parametrize(("engine", "epoch"), [("e", 2), ("e", 4), ("other", 3)])
def test_another_epoch_or_engine_is_not_admitted(owned, engine, epoch):
    assert code_of(owned.admit(engine, epoch)) is NOT_OWNER


def test_an_engine_given_up_stays_given_up_until_it_is_granted_anew(owned):
    assert owned.give_up(("e",)) == (membership.Ownership("e", "me", 3),)
    owned.follow(fleet_state(epoch=3), ())
    assert code_of(owned.admit("e", 3)) is NOT_OWNER
    owned.follow(fleet_state(epoch=4), ())
    assert code_of(owned.admit("e", 4)) is codes.ResultCode.LOAD_UNKNOWN
    tell(owned, running=0)
    assert code_of(owned.admit("e", 4)) is codes.ResultCode.OK
    assert owned.give_up(()) == ()


def test_the_count_is_exact_and_late_ends_of_an_earlier_epoch_do_not_count(owned):
    owned.admit("e", 3)
    assert owned.pool_loads() == (membership.PoolLoad("llm", 1, 1),)
    owned.follow(fleet_state(epoch=4, box="other"), ())
    owned.follow(fleet_state(epoch=5), ())
    owned.leave("e", 3)
    assert owned.pool_loads() == (membership.PoolLoad("llm", 0, 1),)


def test_a_leaving_engine_is_refused_with_its_load(owned):
    owned.follow(fleet_state(epoch=3, leaving=True), ())
    refused = owned.admit("e", 3)
    assert attrs.asdict(refused) == {"code": codes.ResultCode.ENGINE_LEAVING, "load": 0}


def test_a_new_owner_admits_nothing_before_the_engine_has_told_what_runs_there(gained):
    """An owner that stopped had left streams at its engine; the next one counted from 0.

    What it admitted until the engine's next load report, up to a second later, came on top of
    them: an engine held more than the cap allows. Evidence: the same over sockets in
    ``test_surge.py``, counted at the engine.
    """
    refused = gained.admit("e", 3)
    assert attrs.asdict(refused) == {"code": codes.ResultCode.LOAD_UNKNOWN, "load": -1}
    tell(gained, running=5)
    assert code_of(gained.admit("e", 3)) is codes.ResultCode.OK
    assert gained.pool_loads() == (membership.PoolLoad("llm", 6, 1),)


def test_an_engine_that_does_not_tell_holds_its_new_owner_up_for_a_moment_only(gained, clock):
    gained.ask("e")
    clock.advance(gate.LOAD_WAIT_S)
    assert code_of(gained.admit("e", 3)) is codes.ResultCode.OK


def test_whoever_gains_an_engine_has_it_asked_at_once(gained):
    asked = []
    gained.on_gained = lambda: asked.append(gained.unheard())
    gained.follow(fleet_state(epoch=3), ())
    assert asked == []
    gained.follow(fleet_state(epoch=4), ())
    assert [[each.name for each in engines] for engines in asked] == [["e"]]
    tell(gained, running=0)
    assert gained.unheard() == ()


def test_an_engine_that_started_anew_under_its_owner_needs_not_tell(owned):
    """The requests of the life before ended with it, and what came since passed this owner."""
    owned.follow(fleet_state(epoch=3, incarnation="2"), ())
    assert code_of(owned.admit("e", 3)) is codes.ResultCode.OK


def test_what_an_engine_told_under_an_earlier_ownership_does_not_count(gained):
    gained.ask("e")
    gained.follow(fleet_state(epoch=4), ())
    gained.report("e", running=0, slots=0)
    assert code_of(gained.admit("e", 4)) is codes.ResultCode.LOAD_UNKNOWN
