"""Quotas of cold endpoints: all boxes together never exceed the rate that an endpoint takes."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from croftpulley.core import send_quotas

BOXES = tuple(f"box-{number}" for number in range(6))
TAKES_PER_S = 4.0
STEP_S = 0.05


class Fleet:
    """Leaders that allocate quotas and boxes that send as much as allowed, in virtual time."""

    def __init__(self, takes_per_s=TAKES_PER_S):
        self.takes_per_s = takes_per_s
        self.now_s = 100.0
        self.leader = send_quotas.QuotaAllocator()
        self.leader.begin(self.now_s - 10.0)
        self.live = BOXES
        self.limiters = {box: send_quotas.SendLimiter() for box in BOXES}
        self.quotas = {box: (0, 0.0) for box in BOXES}
        self.unsent = []
        self.sent_s = []

    def renew(self, box, delay_s=0.0):
        """Renew the quota of a box; the request for it was sent ``delay_s`` earlier."""
        count = self.leader.renew_quota("e", self.takes_per_s, box, self.live, self.now_s)
        self.quotas[box] = (count, self.now_s - delay_s + send_quotas.QUOTA_TTL_S)

    def send(self, box, send_delay_s=0.0):
        """Send all that a box may send; each request leaves ``send_delay_s`` after its check."""
        count, until_s = self.quotas[box]
        while self.now_s < until_s:
            departure = self.limiters[box].try_reserve("e", count, self.now_s)
            if departure is None:
                return
            self.unsent.append((self.now_s + send_delay_s, departure))

    def advance(self, steps):
        for _ in range(steps):
            self.now_s += STEP_S
            due = [each for each in self.unsent if each[0] <= self.now_s]
            self.unsent = [each for each in self.unsent if each[0] > self.now_s]
            for _, departure in due:
                departure.sent_at_s = self.now_s
                self.sent_s.append(self.now_s)

    def restart(self, box):
        """Restart a box, which loses its quota and the record of what it sent."""
        self.limiters[box] = send_quotas.SendLimiter.after_restart(self.now_s)
        self.quotas[box] = (0, 0.0)

    def change_leader(self):
        self.leader = send_quotas.QuotaAllocator()
        self.leader.begin(self.now_s)

    def max_in_any_second(self):
        window_s = send_quotas.WINDOW_S
        return max(
            (sum(at_s <= x < at_s + window_s for x in self.sent_s) for at_s in self.sent_s),
            default=0,
        )


EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just("renew"), st.sampled_from(BOXES), st.floats(0, 0.4)),
        st.tuples(st.just("send"), st.sampled_from(BOXES), st.sampled_from((0.0, 0.0, 0.04))),
        st.tuples(st.just("pass"), st.integers(1, 30)),
        st.tuples(st.just("change leader")),
        st.tuples(st.just("restart"), st.sampled_from(BOXES)),
        st.tuples(st.just("live"), st.sets(st.sampled_from(BOXES), min_size=1)),
    ),
    max_size=120,
)


@settings(max_examples=400, deadline=None)
@given(EVENTS, st.sampled_from((0.3, 1.0, 4.0, 9.6, 25.0)))
def test_no_sequence_of_events_exceeds_the_rate_that_the_endpoint_takes(events, takes_per_s):
    fleet = Fleet(takes_per_s)
    for name, *arguments in events:
        match name:
            case "renew":
                fleet.renew(*arguments)
            case "send":
                fleet.send(*arguments)
            case "pass":
                fleet.advance(*arguments)
            case "change leader":
                fleet.change_leader()
            case "restart":
                fleet.restart(*arguments)
            case "live":
                fleet.live = tuple(sorted(arguments[0]))
    fleet.advance(5)
    assert fleet.max_in_any_second() <= max(1, int(takes_per_s))


@pytest.mark.parametrize("takes_per_s", [1.0, 4.0, 9.6, 25.0])
def test_boxes_with_enough_demand_use_most_of_the_rate(takes_per_s):
    fleet = Fleet(takes_per_s)
    for _ in range(200):
        for box in BOXES:
            fleet.renew(box)
            fleet.send(box)
        fleet.advance(1)
    seconds = 200 * STEP_S
    # A request counts for 0.1 s longer than the window, and quotas are whole numbers.
    assert len(fleet.sent_s) >= 0.75 * int(takes_per_s) * seconds


def test_cold_endpoints_are_open_to_different_boxes():
    leader = send_quotas.QuotaAllocator()
    boxes = tuple(f"box-{number}" for number in range(40))
    open_to = {
        endpoint: frozenset(
            box for box in boxes if leader.renew_quota(endpoint, 4.0, box, boxes, 0.0)
        )
        for endpoint in ("e", "f", "g")
    }
    assert all(len(each) == 4 for each in open_to.values())
    assert len(frozenset().union(*open_to.values())) > 4


def test_expired_quotas_are_dropped():
    leader = send_quotas.QuotaAllocator()
    leader.renew_quota("e", 4.0, "box-1", BOXES, 0.0)
    for box in BOXES:
        leader.renew_quota("e", 4.0, box, BOXES, 0.0)
    leader.drop_unused(1.0)
    assert leader._by_endpoint
    leader.drop_unused(9.0)
    assert not leader._by_endpoint
