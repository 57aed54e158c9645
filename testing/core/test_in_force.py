"""What is acknowledged is obeyed by every box that may act, over leaders and lost answers.

The real sessions, leases and halls, in virtual time; the log is one that leaders apply at once.
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
class Router:
    """A box as it sees itself."""

    lease: leases.HeldLease = attrs.field(factory=lambda: leases.HeldLease(MARGIN_S))
    obeys: halls.Evacuated = attrs.field(factory=halls.Evacuated)


class Fleet:
    """One leader at a time and three boxes that are registered."""

    def __init__(self, *, waits_for_unheard=True, tells_with_lease=True):
        self.now_s = 100.0
        self.evacuated = halls.Evacuated()
        self.waits_for_unheard = waits_for_unheard
        self.tells_with_lease = tells_with_lease
        self.routers = {name: Router() for name in BOXES}
        self.waiting = []
        self.acknowledged = halls.Evacuated()
        self.lead()

    def lead(self):
        """Another box leads: whoever waited at the one before is told nothing."""
        self.leader = sessions.Sessions(LEASE_S, MARGIN_S)
        self.leader.begin(BOXES if self.waits_for_unheard else (), self.now_s)
        self.waiting = []

    def order(self, evacuate):
        change = self.evacuated.with_hall if evacuate else self.evacuated.without_hall
        self.evacuated = change("hall")
        self.waiting.append(self.evacuated)

    def renew(self, name, reaches, comes_back, took_s):
        """A box renews; its report or the answer may be lost, and both take time."""
        router = self.routers[name]
        sent_s = self.now_s
        known = sessions.Known(halls_revision=router.obeys.revision)
        if reaches:
            box = membership.Box(name, "h", "", "")
            self.leader.renew(box, known, listed_counts.Load(), self.now_s)
        told = self.evacuated
        self.settle()
        self.pass_time(took_s)
        if reaches and comes_back:
            if self.tells_with_lease:
                router.obeys = told
            router.lease.renewed(sent_s, LEASE_S)

    def restart(self, name):
        self.routers[name] = Router()

    def pass_time(self, seconds_s):
        self.now_s += seconds_s
        self.leader.expire(self.now_s)
        self.settle()

    def settle(self):
        """Acknowledge what is in force."""
        for each in list(self.waiting):
            wanted = sessions.Known(halls_revision=each.revision)
            if not self.leader.waiting_for(wanted, self.now_s):
                self.waiting.remove(each)
                if each.revision > self.acknowledged.revision:
                    self.acknowledged = each

    def disobedient(self):
        """Return the boxes that may act and obey something older than what is acknowledged."""
        return [
            name
            for name, router in self.routers.items()
            if router.lease.holds(self.now_s) and router.obeys.revision < self.acknowledged.revision
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


def first_disobedient(fleet, steps):
    for name, *arguments in steps:
        getattr(fleet, name)(*arguments)
        if fleet.disobedient():
            return fleet.disobedient()
    return []


@settings(max_examples=1000, deadline=None)
@given(STEPS)
def test_no_box_that_may_act_obeys_less_than_what_is_acknowledged(steps):
    assert first_disobedient(Fleet(), steps) == []


EVACUATED = [("renew", "a", True, True, 0.0), ("order", True)]


@pytest.mark.parametrize(
    ("mutation", "steps"),
    [
        # A new leader must wait for those that it has not heard.
        (
            {"waits_for_unheard": False},
            [*EVACUATED, ("lead",), ("order", True), ("pass_time", 0.1)],
        ),
        # A lease without what it came with.
        (
            {"tells_with_lease": False},
            [("order", True), ("pass_time", 3.1), ("renew", "a", True, True, 0.0)],
        ),
    ],
)
def test_each_rule_is_needed(mutation, steps):
    assert first_disobedient(Fleet(**mutation), steps)
    assert first_disobedient(Fleet(), steps) == []


@pytest.mark.parametrize("boxes_heard", [(), ("a",), BOXES])
def test_an_order_is_acknowledged_within_a_lease_whoever_is_heard(boxes_heard):
    fleet = Fleet()
    fleet.order(True)
    for _ in range(31):
        for name in boxes_heard:
            fleet.renew(name, True, True, 0.0)
        fleet.pass_time(0.1)
    assert fleet.acknowledged.names == ("hall",)
