"""Acknowledged orders are applied by every box with a valid lease.

Simulates leader changes, restarts and lost messages in virtual time with the real sessions, leases
and halls. The log is reduced to one state that each leader sees at once.
"""

from __future__ import annotations

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from croftpulley.core import halls, leases, listed_counts, membership, sessions

LEASE_S = 2.8
MARGIN_S = 0.1
BOXES = ("a", "b", "c")


@attrs.define
class SimulatedRouter:
    """A box's own view: its lease and the evacuated halls that it applies."""

    lease: leases.HeldLease = attrs.field(factory=lambda: leases.HeldLease(MARGIN_S))
    evacuated: halls.EvacuatedHalls = attrs.field(factory=halls.EvacuatedHalls)


class Fleet:
    """Three registered boxes, one leader at a time, and an operator who orders evacuations."""

    def __init__(self, *, waits_for_unheard_boxes=True, sends_state_with_lease=True):
        self.now_s = 100.0
        self.evacuated = halls.EvacuatedHalls()
        self.waits_for_unheard_boxes = waits_for_unheard_boxes
        self.sends_state_with_lease = sends_state_with_lease
        self.routers = {name: SimulatedRouter() for name in BOXES}
        self.waiting = []
        self.acknowledged = halls.EvacuatedHalls()
        self.lead()

    def lead(self):
        """Change the leader: operators waiting at the previous one get no answer."""
        self.leader = sessions.Sessions(LEASE_S, MARGIN_S)
        self.leader.begin(BOXES if self.waits_for_unheard_boxes else (), self.now_s)
        self.waiting = []

    def order(self, evacuate):
        change = self.evacuated.with_hall if evacuate else self.evacuated.without_hall
        self.evacuated = change("hall")
        self.waiting.append(self.evacuated)

    def renew(self, name, report_arrives, answer_arrives, took_s):
        """Renew the lease of a box; the report or the answer may be lost, and both take time."""
        router = self.routers[name]
        sent_s = self.now_s
        known = sessions.AppliedVersions(halls_revision=router.evacuated.revision)
        if report_arrives:
            box = membership.Box(name, "h", "", "")
            self.leader.renew(box, known, listed_counts.EndpointLoads(), self.now_s)
        answered = self.evacuated
        self.acknowledge_in_force()
        self.pass_time(took_s)
        if report_arrives and answer_arrives:
            if self.sends_state_with_lease:
                router.evacuated = answered
            router.lease.record_renewal(sent_s, LEASE_S)

    def restart(self, name):
        self.routers[name] = SimulatedRouter()

    def pass_time(self, seconds_s):
        self.now_s += seconds_s
        self.leader.remove_expired(self.now_s)
        self.acknowledge_in_force()

    def acknowledge_in_force(self):
        """Acknowledge orders that all boxes with a lease apply."""
        for each in list(self.waiting):
            wanted = sessions.AppliedVersions(halls_revision=each.revision)
            if not self.leader.waiting_for(wanted, self.now_s):
                self.waiting.remove(each)
                if each.revision > self.acknowledged.revision:
                    self.acknowledged = each

    def stale_boxes(self):
        """Return the boxes with a valid lease that apply an older revision than acknowledged."""
        return [
            name
            for name, router in self.routers.items()
            if router.lease.is_valid(self.now_s)
            and router.evacuated.revision < self.acknowledged.revision
        ]


STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just("renew"),
            st.sampled_from(BOXES),
            st.booleans(),
            st.booleans(),
            st.sampled_from((0.0, 0.1, 0.4)),
        ),
        st.tuples(st.just("order"), st.booleans()),
        st.tuples(st.just("lead")),
        st.tuples(st.just("restart"), st.sampled_from(BOXES)),
        st.tuples(st.just("pass_time"), st.sampled_from((0.1, 0.5, 1.5, 3.1))),
    ),
    max_size=40,
)


def first_stale_boxes(fleet, steps):
    for name, *arguments in steps:
        getattr(fleet, name)(*arguments)
        if fleet.stale_boxes():
            return fleet.stale_boxes()
    return []


@settings(max_examples=1000, deadline=None)
@given(STEPS)
def test_every_box_with_a_valid_lease_applies_acknowledged_orders(steps):
    assert first_stale_boxes(Fleet(), steps) == []


EVACUATED = [("renew", "a", True, True, 0.0), ("order", True)]


@pytest.mark.parametrize(
    ("mutation", "steps"),
    [
        # A new leader does not wait for boxes that have not renewed with it yet.
        (
            {"waits_for_unheard_boxes": False},
            [*EVACUATED, ("lead",), ("order", True), ("pass_time", 0.1)],
        ),
        # A box renews its lease without applying the state in the answer.
        (
            {"sends_state_with_lease": False},
            [("order", True), ("pass_time", 3.1), ("renew", "a", True, True, 0.0)],
        ),
    ],
)
def test_without_either_rule_a_box_applies_an_outdated_revision(mutation, steps):
    assert first_stale_boxes(Fleet(**mutation), steps)
    assert first_stale_boxes(Fleet(), steps) == []


@pytest.mark.parametrize("renewing_boxes", [(), ("a",), BOXES])
def test_an_order_is_acknowledged_within_one_lease_whichever_boxes_renew(renewing_boxes):
    fleet = Fleet()
    fleet.order(True)
    for _ in range(31):
        for name in renewing_boxes:
            fleet.renew(name, True, True, 0.0)
        fleet.pass_time(0.1)
    assert fleet.acknowledged.names == ("hall",)
