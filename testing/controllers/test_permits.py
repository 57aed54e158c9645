"""Permits under threads: who waits is woken, and whoever leaves takes nothing along."""

from __future__ import annotations

import threading

import attrs
import pytest

from conftest import wait_until
from croftpulley import cancel, codes, errors
from croftpulley import clock as clocks
from croftpulley.controllers import actors, permits, router_state, traffic
from croftpulley.core import halls, membership, retry_budget, selection

SLOTS = 4
MOST = 5
"""So many permits has a box alone before one endpoint: its slots, and a quarter more."""


def endpoint(name="e", **changes):
    kind = membership.EndpointKind.ENGINE
    plain = membership.Endpoint(name, kind, "llm", "127.0.0.1:1", "hall-a", name, slots=SLOTS)
    return attrs.evolve(plain, **changes)


class Box:
    """One box and what it knows."""

    def __init__(self):
        self.clock = clocks.SystemClock()
        self.counts = traffic.Traffic(
            retry_budget.Allowance(), selection.CostRates(), self.clock, shares_room=True
        )
        self.view = actors.View(router_state.RouterState())
        self.permits = permits.Permits("box", self.view, self.counts, self.clock)
        self.know(endpoints=(endpoint(),), registered_boxes=1)

    def know(self, **changes):
        """Have it hear of a change now."""
        now_s = self.clock.monotonic_s()
        self.view.publish(attrs.evolve(self.view.get(), loads_at_s=now_s, **changes))

    def request(self, urgency=0, objective_s=30.0, workspace="w"):
        return permits.Request(
            pool="llm",
            workspace=workspace,
            urgency=urgency,
            objective_s=objective_s,
            deadline_s=self.clock.monotonic_s() + 100.0,
            token=cancel.CancelToken(),
        )

    def take(self, count):
        return [self.permits.take(self.request()) for _ in range(count)]

    def waits(self, request, ended):
        """Have a thread take a permit; it notes what it got."""

        def run():
            try:
                ended.append((request, self.permits.take(request)))
            except errors.CroftpulleyError as failure:
                ended.append((request, failure))

        waiting = self.permits.waiting().get("llm", 0)
        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        wait_until(lambda: self.permits.waiting().get("llm", 0) > waiting or ended, "it waits")
        return thread


@pytest.fixture
def box():
    return Box()


def test_a_box_alone_has_permits_for_all_the_room(box):
    box.take(MOST)
    with pytest.raises(permits.NoPermitError) as refused:
        box.permits.take(box.request(objective_s=0.01))
    assert refused.value.code is codes.ResultCode.NO_CAPACITY
    assert box.permits.in_use() == {"llm": MOST}
    assert box.permits.waiting() == {}


def test_what_is_given_back_goes_to_the_most_urgent_that_waits(box):
    held = box.take(MOST)
    ended = []
    for urgency in (5, 0, 2):
        box.waits(box.request(urgency), ended)
    for count, urgency in enumerate((0, 2, 5), 1):
        box.permits.give_back(held.pop())
        wait_until(lambda count=count: len(ended) == count, "it has a permit")
        assert ended[-1][0].urgency == urgency
        assert ended[-1][1].waited_s > 0


def test_a_caller_that_leaves_gets_no_permit_and_takes_none_along(box):
    held = box.take(MOST)
    ended = []
    request = box.request()
    box.waits(request, ended)
    request.token.cancel(codes.ResultCode.CALLER_GONE)
    wait_until(lambda: ended, "it has left")
    assert ended[0][1].code is codes.ResultCode.CALLER_GONE
    for each in held:
        box.permits.give_back(each)
    assert box.permits.in_use() == {}
    assert len(box.take(MOST)) == MOST


def test_room_that_a_renewal_brings_goes_to_who_waits(box):
    box.take(MOST)
    ended = []
    box.waits(box.request(), ended)
    box.know(endpoints=(endpoint(), endpoint("f")))
    wait_until(lambda: ended, "it has a permit")
    assert isinstance(ended[0][1], permits.Permit)


@pytest.mark.parametrize(
    "change",
    [
        {"endpoints": (endpoint(), endpoint("f", leaving=True))},
        {"endpoints": (endpoint(), endpoint("f")), "held_off": frozenset({"f"})},
        {
            "endpoints": (endpoint(), endpoint("f", hall="hall-b")),
            "evacuated": halls.EvacuatedHalls(names=frozenset({"hall-b"})),
        },
    ],
)
def test_endpoints_that_may_not_be_asked_are_no_room(box, change):
    box.know(**change)
    box.take(MOST)
    with pytest.raises(permits.NoPermitError):
        box.permits.take(box.request(objective_s=0.01))


def test_an_endpoint_that_this_box_alone_suspects_is_room_all_the_same(box):
    box.counts.failed("e")
    assert len(box.take(MOST)) == MOST


def test_without_loads_for_long_a_box_has_its_even_part(box):
    box.know(registered_boxes=5, loads={"e": 50}, own_loads={"e": 40}, endpoints=(endpoint(),) * 1)
    old_s = box.clock.monotonic_s() - 60.0
    box.view.publish(attrs.evolve(box.view.get(), loads_at_s=old_s))
    box.take(1)
    with pytest.raises(permits.NoPermitError):
        box.permits.take(box.request(objective_s=0.01))


def test_a_pool_without_an_endpoint_to_ask_is_not_waited_for(box):
    box.know(endpoints=())
    assert len(box.take(3 * MOST)) == 3 * MOST


def test_boxes_that_have_lost_a_pool_leave_their_part_to_the_others(box):
    box.know(registered_boxes=2, unreached={"llm": 1})
    assert len(box.take(MOST)) == MOST


def test_brittle_endpoints_have_no_queue(box):
    box.counts.hear_brittle(endpoint(), 3)
    box.know()
    assert len(box.take(SLOTS)) == SLOTS
    with pytest.raises(permits.NoPermitError):
        box.permits.take(box.request(objective_s=0.01))
