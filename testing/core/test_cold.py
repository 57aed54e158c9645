"""Cold endpoints: all boxes together send no more than one takes, whatever comes between them."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from croftpulley.core import cold

BOXES = tuple(f"box-{number}" for number in range(6))
TAKES_PER_S = 4.0
STEP_S = 0.05


class Fleet:
    """Leaders that allot and boxes that send as often as they may, in virtual time."""

    def __init__(self, takes_per_s=TAKES_PER_S):
        self.takes_per_s = takes_per_s
        self.now_s = 100.0
        self.leader = cold.Allotments()
        self.leader.begin(self.now_s - 10.0)
        self.live = BOXES
        self.paces = {box: cold.Pace() for box in BOXES}
        self.allotted = {box: (0, 0.0) for box in BOXES}
        self.leaving = []
        self.sent_s = []

    def renew(self, box, delay_s=0.0):
        """Have a box renew; the answer takes effect though it left ``delay_s`` before."""
        count = self.leader.a_second("e", self.takes_per_s, box, self.live, self.now_s)
        self.allotted[box] = (count, self.now_s - delay_s + cold.ALLOTTED_S)

    def send(self, box, holds_back_s=0.0):
        """Have a box send what it may; each request leaves some time after it was decided on."""
        count, until_s = self.allotted[box]
        while self.now_s < until_s:
            departure = self.paces[box].take("e", count, self.now_s)
            if departure is None:
                return
            self.leaving.append((self.now_s + holds_back_s, departure))

    def pass_time(self, steps):
        for _ in range(steps):
            self.now_s += STEP_S
            due = [each for each in self.leaving if each[0] <= self.now_s]
            self.leaving = [each for each in self.leaving if each[0] > self.now_s]
            for _, departure in due:
                departure.at_s = self.now_s
                self.sent_s.append(self.now_s)

    def restart(self, box):
        """A box forgets what it sent and was allotted."""
        self.paces[box] = cold.Pace.started(self.now_s)
        self.allotted[box] = (0, 0.0)

    def lead_anew(self):
        self.leader = cold.Allotments()
        self.leader.begin(self.now_s)

    def most_in_a_second(self):
        window_s = cold.WINDOW_S
        return max(
            (sum(at_s <= x < at_s + window_s for x in self.sent_s) for at_s in self.sent_s),
            default=0,
        )


EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just("renew"), st.sampled_from(BOXES), st.floats(0, 0.4)),
        st.tuples(st.just("send"), st.sampled_from(BOXES), st.sampled_from((0.0, 0.0, 0.04))),
        st.tuples(st.just("pass"), st.integers(1, 30)),
        st.tuples(st.just("lead anew")),
        st.tuples(st.just("restart"), st.sampled_from(BOXES)),
        st.tuples(st.just("live"), st.sets(st.sampled_from(BOXES), min_size=1)),
    ),
    max_size=120,
)


@settings(max_examples=400, deadline=None)
@given(EVENTS, st.sampled_from((0.3, 1.0, 4.0, 9.6, 25.0)))
def test_no_interleaving_sends_more_in_a_second_than_the_endpoint_takes(events, takes_per_s):
    fleet = Fleet(takes_per_s)
    for name, *arguments in events:
        match name:
            case "renew":
                fleet.renew(*arguments)
            case "send":
                fleet.send(*arguments)
            case "pass":
                fleet.pass_time(*arguments)
            case "lead anew":
                fleet.lead_anew()
            case "restart":
                fleet.restart(*arguments)
            case "live":
                fleet.live = tuple(sorted(arguments[0]))
    fleet.pass_time(5)
    assert fleet.most_in_a_second() <= max(1, int(takes_per_s))


@pytest.mark.parametrize("takes_per_s", [1.0, 4.0, 9.6, 25.0])
def test_boxes_with_enough_to_send_use_all_that_it_takes(takes_per_s):
    fleet = Fleet(takes_per_s)
    for _ in range(200):
        for box in BOXES:
            fleet.renew(box)
            fleet.send(box)
        fleet.pass_time(1)
    seconds = 200 * STEP_S
    # A request counts for a tenth of a second more than it must, and whole ones are divided.
    assert len(fleet.sent_s) >= 0.75 * int(takes_per_s) * seconds


def test_several_cold_endpoints_are_open_to_different_boxes():
    leader = cold.Allotments()
    boxes = tuple(f"box-{number}" for number in range(40))
    open_to = {
        endpoint: frozenset(box for box in boxes if leader.a_second(endpoint, 4.0, box, boxes, 0.0))
        for endpoint in ("e", "f", "g")
    }
    assert all(len(each) == 4 for each in open_to.values())
    assert len(frozenset().union(*open_to.values())) > 4


def test_what_nobody_may_use_any_more_is_forgotten():
    leader = cold.Allotments()
    leader.a_second("e", 4.0, "box-1", BOXES, 0.0)
    for box in BOXES:
        leader.a_second("e", 4.0, box, BOXES, 0.0)
    leader.forget(1.0)
    assert leader._by_endpoint
    leader.forget(9.0)
    assert not leader._by_endpoint
