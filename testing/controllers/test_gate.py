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
def owned(clock):
    made = gate.EngineGate("me", clock, metrics.Metrics())
    made.follow(fleet_state(epoch=3), ())
    return made


def fleet_state(epoch, box="me", leaving=False):
    kind = membership.EndpointKind.ENGINE
    engine = membership.Endpoint("e", kind, "llm", "127.0.0.1:1", "a", "1", leaving)
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
