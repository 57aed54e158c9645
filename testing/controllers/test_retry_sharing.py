"""The shared budget of repeats in a whole fleet, in virtual time: what no box can see alone.

Leaders, the registry in the log, leases and budgets are the ones that daemons run; only the way
between them, the callers and the endpoints are made here. Boxes are killed and start again, stand
still, lose touch and come back, join late; leaders change; callers move from box to box; answers
and repeats are late. Every box sends all the repeats that it may.
"""

from __future__ import annotations

import heapq
import itertools
import random

import attrs
import pytest

import shared_budget
from croftpulley import clock as clocks
from croftpulley.controllers import actors, agreement, listing, replica_standing, sessions, traffic
from croftpulley.core import (
    leases,
    membership,
    replicated_state,
    retry_budget,
    selection,
    submissions,
)
from croftpulley.core.replication import state as states
from croftpulley.transport import box_messages

WINDOW_S = 2.0
BOTH = retry_budget.Allowance(ratio=0.2, extra=12.0, window_s=WINDOW_S)
EXTRA = attrs.evolve(BOTH, ratio=0.0)
RATIO = attrs.evolve(BOTH, extra=0.0)
LEASE_S = 0.6
MARGIN_S = 0.05
RENEW_S = 0.1
COMMIT_S = 0.05
CONNECT_S = 0.1
ARRIVAL_S = 0.4
"""How late a repeat may arrive: by then its connection has been ended."""
RUN_S = 60.0
TROUBLE_GAP_S = 1.5
"""Mean time between two troubles; a box waits three seconds before it uses its share."""
FIRST_BOXES = 4
SEEDS = range(6)
POOL = "desk"
FAR_S = 1e9


class Log(agreement.CommandLog):
    """A log that commits what is proposed a little later."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.state = replicated_state.ReplicatedState(submissions=submissions.HighestNumber())

    def propose(self, command):
        self._fleet.after(COMMIT_S, lambda: self.state.apply(command))

    def read(self):
        return self.state


class Box:
    """A router that goes on under its name through several lives."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.member = membership.Box(name, "hall-a", f"{name}:1", f"{name}:2")
        self.life = 0
        self.is_up = True
        self.stands_until_s = 0.0
        self.cut_until_s = 0.0
        self.begin_life()

    def begin_life(self):
        self.life += 1
        self.is_up = True
        self.lease = leases.HeldLease(MARGIN_S)
        self.counts = traffic.Traffic(self.fleet.allowance, selection.CostRates(), self.fleet.clock)

    def when_awake(self, act):
        """Act in this life: once the box stands still no more, never if it has been killed."""
        life = self.life
        wait_s = max(0.0, self.stands_until_s - self.fleet.now_s)
        self.fleet.after(wait_s, lambda: act() if self.is_up and self.life == life else None)

    def renew(self):
        sent_s = self.fleet.now_s
        if self.is_up and sent_s >= max(self.stands_until_s, self.cut_until_s):
            report = box_messages.BoxReport(
                box=self.member,
                configuration_version=0,
                holds_lease=self.lease.is_valid(sent_s),
                boxes_version=0,
                endpoints_version=0,
                in_flight={},
            )
            answer = self.fleet.leader.handle(report)
            late_s = self.fleet.chance.uniform(0, RENEW_S)
            life = self.life
            self.fleet.after(late_s, lambda: self.take(answer, sent_s, life))
        self.fleet.after(RENEW_S, self.renew)

    def take(self, answer, sent_s, life):
        if not self.is_up or self.life != life or not answer.lease_s:
            return
        self.lease.record_renewal(sent_s, answer.lease_s)
        grant = retry_budget.Grant(
            lease_s=answer.lease_s,
            until_s=self.lease.until_s,
            boxes=answer.registered_boxes,
            kept_s=answer.kept_s,
        )
        self.counts.renew_extra_share(grant)

    def spend(self):
        """Send every repeat that the budget grants; each may leave and arrive late."""
        while (decision := self.counts.take_repeat(POOL)).is_granted:
            repeat = decision.repeat
            connecting_s = self.fleet.chance.uniform(0, CONNECT_S)
            self.fleet.after(connecting_s, lambda one=repeat: self.leave(one))

    def leave(self, repeat):
        self.when_awake(lambda: self.left(repeat))

    def left(self, repeat):
        self.counts.repeat_leaves(repeat)
        late_s = self.fleet.chance.choice((0.0, ARRIVAL_S)) * self.fleet.chance.random()
        self.fleet.repeats_s.append(self.fleet.now_s + late_s)


class Fleet:
    """Boxes, their leader, and what callers and endpoints saw."""

    def __init__(self, seed, allowance):
        self.chance = random.Random(seed)
        self.allowance = allowance
        self.clock = clocks.ManualClock()
        self._queue = []
        self._numbers = itertools.count()
        self.log = Log(self)
        self.terms = itertools.count(1)
        self.requests_s = []
        self.repeats_s = []
        self.boxes = []
        self.new_leader()
        for _ in range(FIRST_BOXES):
            self.join()

    @property
    def now_s(self):
        return self.clock.monotonic_s()

    def after(self, wait_s, act):
        heapq.heappush(self._queue, (self.now_s + wait_s, next(self._numbers), act))

    def run(self, seconds_s):
        ends_s = self.now_s + seconds_s
        while self._queue and self._queue[0][0] < ends_s:
            at_s, _, act = heapq.heappop(self._queue)
            self.clock.advance(max(0.0, at_s - self.now_s))
            act()

    def join(self):
        box = Box(self, f"router-{len(self.boxes)}")
        self.boxes.append(box)
        self.after(self.chance.uniform(0, RENEW_S), box.renew)

    def new_leader(self):
        standing = replica_standing.ReplicaStatus(
            states.Role.LEADER, next(self.terms), "c:1", FAR_S
        )
        self.leader = sessions.SessionController(
            self.log,
            actors.View(standing),
            actors.View(listing.Listing()),
            dict,
            lambda keys: None,
            LEASE_S,
            MARGIN_S,
            self.allowance.counted_s,
            self.clock,
        )

    def begin(self):
        """Have all go on by itself from now."""
        self._tick()
        self._request()
        self._spend()
        self._trouble()

    def _tick(self):
        self.leader.handle(actors.Tick())
        self.after(COMMIT_S, self._tick)

    def _request(self):
        """Have callers come, most of them to one box for a while."""
        up = [each for each in self.boxes if each.is_up]
        if up:
            favourite = up[int(self.now_s / 0.9) % len(up)]
            box = favourite if self.chance.random() < 0.8 else self.chance.choice(up)
            self.requests_s.append(self.now_s)
            box.when_awake(lambda: box.counts.request(POOL))
        self.after(self.chance.expovariate(40), self._request)

    def _spend(self):
        for box in self.chance.sample(self.boxes, self.chance.randint(1, len(self.boxes))):
            box.when_awake(box.spend)
        # Now and then all wait, and send together what they have come to.
        self.after(self.chance.choice((0.05, 0.05, 1.5)), self._spend)

    def _trouble(self):
        box = self.chance.choice(self.boxes)
        match self.chance.choice(("kill", "kill", "stand", "cut", "long", "leader", "join")):
            case "kill":
                box.is_up = False
                self.after(self.chance.choice((0.05, 0.3, 5.0)), box.begin_life)
            case "stand":
                box.stands_until_s = self.now_s + self.chance.uniform(0.1, 3.0)
            case "cut":
                box.cut_until_s = self.now_s + self.chance.uniform(0.1, 2.0)
            case "long":
                box.cut_until_s = self.now_s + 6.0
            case "leader":
                self.new_leader()
            case "join" if len(self.boxes) < 2 * FIRST_BOXES:
                self.join()
        self.after(self.chance.expovariate(1 / TROUBLE_GAP_S), self._trouble)


@attrs.frozen
class Seen:
    """What a run came to."""

    excess: shared_budget.Excess | None
    requests: int
    repeats: int


def play(seed, allowance):
    fleet = Fleet(seed, allowance)
    fleet.begin()
    fleet.run(RUN_S)
    excess = shared_budget.worst_excess(allowance, fleet.requests_s, fleet.repeats_s)
    return Seen(excess, len(fleet.requests_s), len(fleet.repeats_s))


@pytest.mark.parametrize("allowance", [BOTH, EXTRA, RATIO])
@pytest.mark.parametrize("seed", SEEDS)
def test_no_window_has_more_repeats_than_all_may_send(seed, allowance):
    seen = play(seed, allowance)
    assert seen.excess is None
    assert seen.repeats > allowance.extra + allowance.ratio * seen.requests / 6


def no_wait(monkeypatch):
    """A box uses its share as soon as it has a lease."""
    renewed = retry_budget.ExtraShare.renewed

    def at_once(share, grant, now_s, counted_s):
        return attrs.evolve(renewed(share, grant, now_s, counted_s), from_s=now_s)

    monkeypatch.setattr(retry_budget.ExtraShare, "renewed", at_once)


def no_lease(monkeypatch):
    """A box goes on using its part once its lease has ended."""

    def fraction(share, now_s):
        return 1 / share.boxes if share.boxes and now_s >= share.from_s else 0.0

    monkeypatch.setattr(retry_budget.ExtraShare, "fraction", fraction)


def boxes_heard_of(monkeypatch):
    """A leader tells of the boxes that it has heard lately."""
    answered = sessions.SessionController._answer

    def answer(controller, report, state):
        heard = len(controller._sessions.boxes(controller._clock.monotonic_s()))
        return attrs.evolve(answered(controller, report, state), registered_boxes=heard)

    monkeypatch.setattr(sessions.SessionController, "_answer", answer)


def forgotten_early(monkeypatch):
    """A box leaves the registry when its lease has ended."""
    made = sessions.SessionController.__init__

    def make(controller, *arguments):
        made(controller, *arguments)
        controller._kept_s = 0.0

    answered = sessions.SessionController._answer

    def answer(controller, report, state):
        return attrs.evolve(answered(controller, report, state), kept_s=BOTH.counted_s)

    monkeypatch.setattr(sessions.SessionController, "__init__", make)
    monkeypatch.setattr(sessions.SessionController, "_answer", answer)


def whole_ratio(monkeypatch):
    """Requests earn all of the ratio."""
    monkeypatch.setattr(retry_budget, "_EARNING_SHARE", 1.0)


def arrives_at_once(monkeypatch):
    """A repeat counts for a window, as though it were never on its way."""
    monkeypatch.setattr(retry_budget, "_ARRIVAL_SHARE", 0.0)


@pytest.mark.parametrize(
    ("mutation", "seed", "allowance"),
    [
        (no_wait, 0, EXTRA),
        (no_lease, 15, EXTRA),
        (boxes_heard_of, 1, EXTRA),
        (forgotten_early, 1, EXTRA),
        (whole_ratio, 0, RATIO),
        (arrives_at_once, 11, EXTRA),
    ],
)
def test_each_rule_is_needed(monkeypatch, mutation, seed, allowance):
    mutation(monkeypatch)
    assert play(seed, allowance).excess is not None
