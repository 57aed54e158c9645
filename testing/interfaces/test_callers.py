"""Which boxes callers are told to use."""

from __future__ import annotations

import attrs
import pytest

from croftpulley import codes, errors
from croftpulley.controllers import router_state
from croftpulley.core import halls, membership, tables
from croftpulley.interfaces import callers
from croftpulley.settings import fleet

NEAR = membership.Box("near", "hall-a", "127.0.0.1:1", "")
FAR = membership.Box("far", "hall-b", "127.0.0.1:2", "")
LEAVING = membership.Box("leaving", "hall-a", "127.0.0.1:3", "", draining=True)
KEYED = (fleet.Workspace(name="clinic", keys=("a-key",)),)


def state(*, routes=(), workspaces=KEYED):
    configuration = fleet.FleetConfiguration(version=1, routes=routes, workspaces=workspaces)
    return router_state.RouterState(
        lease_until_s=10.0, tables=tables.LookupTables(configuration), boxes=(FAR, LEAVING, NEAR)
    )


def named(known, now_s):
    return callers.named_boxes(known, halls.CallerLocation("hall-a"), halls.HallRegions(), now_s)


def open_route():
    return fleet.Route(
        name="r",
        host="h",
        path_prefix="/",
        kind=fleet.RouteKind.ONCE,
        shares=(),
        time_limit_ms=1.0,
        open=True,
    )


def test_boxes_of_the_hall_come_first_and_those_that_leave_not_at_all():
    assert named(state(), 9.0) == [NEAR, FAR]


def test_a_box_whose_lease_has_ended_sends_callers_to_another_for_an_answer():
    # Recorded day dfc6 of Shifa: five routers, cut off from control for six seconds, went on naming
    # themselves, and 98 requests that came for it were refused.
    with pytest.raises(errors.CroftpulleyError) as raised:
        named(state(), 10.0)
    assert raised.value.code is codes.ResultCode.NO_LEASE


@pytest.mark.parametrize("changes", [{"routes": (open_route(),)}, {"workspaces": ()}])
def test_a_box_without_a_lease_that_may_serve_some_requests_still_answers(changes):
    assert named(state(**changes), 10.0) == [NEAR, FAR]


@pytest.mark.parametrize("changes", [{"routes": (open_route(),)}, {"workspaces": ()}])
def test_a_box_that_has_long_been_out_of_touch_names_itself_alone(changes):
    # Others that it has on its list may have ended since: nobody tells it.
    known = attrs.evolve(state(**changes), box_name="near")
    assert named(known, 11.0) == [NEAR, FAR]
    assert named(known, 11.6) == [NEAR]


def test_a_box_out_of_touch_that_is_stopping_names_nobody():
    known = attrs.evolve(state(routes=(open_route(),)), box_name="leaving")
    with pytest.raises(errors.CroftpulleyError, match="NO_LEASE"):
        named(known, 60.0)
