"""Permits with threads: queued requests are woken, and cancelled ones leak no permit."""

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
ALL_PERMITS = 5
"""All permits of a single box for one endpoint: its slots, and a quarter more."""


def endpoint(name="e", **changes):
    kind = membership.EndpointKind.ENGINE
    plain = membership.Endpoint(name, kind, "llm", "127.0.0.1:1", "hall-a", name, slots=SLOTS)
    return attrs.evolve(plain, **changes)


class Box:
    """One box with its permits, traffic counts and state."""

    def __init__(self):
        self.clock = clocks.SystemClock()
        self.counts = traffic.Traffic(
            retry_budget.Allowance(), selection.CostRates(), self.clock, shares_room=True
        )
        self.view = actors.View(router_state.RouterState())
        self.permits = permits.Permits("box", self.view, self.counts, self.clock)
        self.update_state(endpoints=(endpoint(),), registered_boxes=1)

    def update_state(self, **changes):
        """Publish a changed state with loads as of now."""
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

    def take_permits(self, count):
        return [self.permits.acquire(self.request()) for _ in range(count)]

    def start_waiting(self, request, ended):
        """Have a thread ask for a permit; it appends the permit or the error to ``ended``."""

        def run():
            try:
                ended.append((request, self.permits.acquire(request)))
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


def test_a_single_box_has_permits_for_the_whole_capacity(box):
    box.take_permits(ALL_PERMITS)
    with pytest.raises(permits.NoPermitError) as refused:
        box.permits.acquire(box.request(objective_s=0.01))
    assert refused.value.code is codes.ResultCode.NO_CAPACITY
    assert box.permits.in_use() == {"llm": ALL_PERMITS}
    assert box.permits.waiting() == {}


def test_a_released_permit_goes_to_the_most_urgent_queued_request(box):
    held = box.take_permits(ALL_PERMITS)
    ended = []
    for urgency in (5, 0, 2):
        box.start_waiting(box.request(urgency), ended)
    for count, urgency in enumerate((0, 2, 5), 1):
        box.permits.release(held.pop())
        wait_until(lambda count=count: len(ended) == count, "it has a permit")
        assert ended[-1][0].urgency == urgency
        assert ended[-1][1].waited_s > 0


def test_a_cancelled_request_gets_no_permit_and_leaks_none(box):
    held = box.take_permits(ALL_PERMITS)
    ended = []
    request = box.request()
    box.start_waiting(request, ended)
    request.token.cancel(codes.ResultCode.CALLER_GONE)
    wait_until(lambda: ended, "it has been cancelled")
    assert ended[0][1].code is codes.ResultCode.CALLER_GONE
    for each in held:
        box.permits.release(each)
    assert box.permits.in_use() == {}
    assert len(box.take_permits(ALL_PERMITS)) == ALL_PERMITS


def test_capacity_added_by_a_renewal_goes_to_queued_requests(box):
    box.take_permits(ALL_PERMITS)
    ended = []
    box.start_waiting(box.request(), ended)
    box.update_state(endpoints=(endpoint(), endpoint("f")))
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
def test_unavailable_endpoints_do_not_count_as_capacity(box, change):
    box.update_state(**change)
    box.take_permits(ALL_PERMITS)
    with pytest.raises(permits.NoPermitError):
        box.permits.acquire(box.request(objective_s=0.01))


def test_an_endpoint_that_only_this_box_avoids_still_counts_as_capacity(box):
    box.counts.failed("e")
    assert len(box.take_permits(ALL_PERMITS)) == ALL_PERMITS


def test_a_box_with_outdated_loads_has_an_even_share(box):
    box.update_state(
        registered_boxes=5, loads={"e": 50}, own_loads={"e": 40}, endpoints=(endpoint(),) * 1
    )
    old_s = box.clock.monotonic_s() - 60.0
    box.view.publish(attrs.evolve(box.view.get(), loads_at_s=old_s))
    box.take_permits(1)
    with pytest.raises(permits.NoPermitError):
        box.permits.acquire(box.request(objective_s=0.01))


def test_requests_do_not_wait_for_a_pool_without_endpoints(box):
    box.update_state(endpoints=())
    assert len(box.take_permits(3 * ALL_PERMITS)) == 3 * ALL_PERMITS


def test_boxes_that_cannot_reach_a_pool_leave_their_share_to_the_others(box):
    box.update_state(registered_boxes=2, unreached={"llm": 1})
    assert len(box.take_permits(ALL_PERMITS)) == ALL_PERMITS


def test_brittle_endpoints_have_no_queue(box):
    box.counts.note_rejection_limit(endpoint(), 3)
    box.update_state()
    assert len(box.take_permits(SLOTS)) == SLOTS
    with pytest.raises(permits.NoPermitError):
        box.permits.acquire(box.request(objective_s=0.01))
