"""The shared retry budget of a whole fleet, in virtual time: a limit that no box can check alone.

Leaders, the registry in the log, leases and budgets are the production code; the network, callers
and endpoints are simulated. Boxes are killed and restart, pause, lose their connection, or join
late; leaders change; callers move from box to box; answers and repeats are delayed. Every box sends
all the repeats that it may.
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
RATIO_AND_EXTRA = retry_budget.Allowance(ratio=0.2, extra=12.0, window_s=WINDOW_S)
EXTRA_ONLY = attrs.evolve(RATIO_AND_EXTRA, ratio=0.0)
RATIO_ONLY = attrs.evolve(RATIO_AND_EXTRA, extra=0.0)
LEASE_S = 0.6
MARGIN_S = 0.05
RENEW_S = 0.1
COMMIT_S = 0.05
CONNECT_S = 0.1
ARRIVAL_S = 0.4
"""How late a repeat may arrive: by then its connection has been closed."""
RUN_S = 60.0
MEAN_FAULT_GAP_S = 1.5
"""Mean time between two faults; a box waits three seconds before it uses its share."""
FIRST_BOXES = 4
SEEDS = range(6)
POOL = "desk"
FAR_FUTURE_S = 1e9


class Log(agreement.CommandLog):
    """A log that commits each proposal after `COMMIT_S`."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.state = replicated_state.ReplicatedState(submissions=submissions.HighestNumber())

    def propose(self, command):
        self._fleet.after(COMMIT_S, lambda: self.state.apply(command))

    def read(self):
        return self.state


class Box:
    """A router that keeps its name across restarts."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.member = membership.Box(name, "hall-a", f"{name}:1", f"{name}:2")
        self.incarnation = 0
        self.is_up = True
        self.paused_until_s = 0.0
        self.disconnected_until_s = 0.0
        self.begin_incarnation()

    def begin_incarnation(self):
        self.incarnation += 1
        self.is_up = True
        self.lease = leases.HeldLease(MARGIN_S)
        self.counts = traffic.Traffic(self.fleet.allowance, selection.CostRates(), self.fleet.clock)

    def when_running(self, act):
        """Run ``act`` once the box is not paused; never if it has been killed since."""
        incarnation = self.incarnation
        wait_s = max(0.0, self.paused_until_s - self.fleet.now_s)
        self.fleet.after(
            wait_s, lambda: act() if self.is_up and self.incarnation == incarnation else None
        )

    def renew(self):
        sent_at_s = self.fleet.now_s
        if self.is_up and sent_at_s >= max(self.paused_until_s, self.disconnected_until_s):
            report = box_messages.BoxReport(
                box=self.member,
                configuration_version=0,
                holds_lease=self.lease.is_valid(sent_at_s),
                boxes_version=0,
                endpoints_version=0,
                in_flight={},
            )
            answer = self.fleet.leader.handle(report)
            late_s = self.fleet.rng.uniform(0, RENEW_S)
            incarnation = self.incarnation
            self.fleet.after(late_s, lambda: self.apply_answer(answer, sent_at_s, incarnation))
        self.fleet.after(RENEW_S, self.renew)

    def apply_answer(self, answer, sent_at_s, incarnation):
        if not self.is_up or self.incarnation != incarnation or not answer.lease_s:
            return
        self.lease.record_renewal(sent_at_s, answer.lease_s)
        grant = retry_budget.Grant(
            lease_s=answer.lease_s,
            until_s=self.lease.until_s,
            boxes=answer.registered_boxes,
            kept_s=answer.kept_s,
        )
        self.counts.renew_extra_share(grant)

    def spend(self):
        """Send every repeat that the budget grants; each may be sent and arrive late."""
        while (decision := self.counts.acquire_repeat(POOL)).is_granted:
            repeat = decision.repeat
            connecting_s = self.fleet.rng.uniform(0, CONNECT_S)
            self.fleet.after(connecting_s, lambda one=repeat: self.schedule_send(one))

    def schedule_send(self, repeat):
        self.when_running(lambda: self.send(repeat))

    def send(self, repeat):
        self.counts.mark_repeat_sent(repeat)
        late_s = self.fleet.rng.choice((0.0, ARRIVAL_S)) * self.fleet.rng.random()
        self.fleet.repeats_s.append(self.fleet.now_s + late_s)


class Fleet:
    """Boxes, their leader, and the times of requests and repeats."""

    def __init__(self, seed, allowance):
        self.rng = random.Random(seed)
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
        end_s = self.now_s + seconds_s
        while self._queue and self._queue[0][0] < end_s:
            at_s, _, act = heapq.heappop(self._queue)
            self.clock.advance(max(0.0, at_s - self.now_s))
            act()

    def join(self):
        box = Box(self, f"router-{len(self.boxes)}")
        self.boxes.append(box)
        self.after(self.rng.uniform(0, RENEW_S), box.renew)

    def new_leader(self):
        status = replica_standing.ReplicaStatus(
            states.Role.LEADER, next(self.terms), "c:1", FAR_FUTURE_S
        )
        self.leader = sessions.SessionController(
            self.log,
            actors.View(status),
            actors.View(listing.Listing()),
            dict,
            lambda keys: None,
            LEASE_S,
            MARGIN_S,
            self.allowance.counted_s,
            actors.View(()),
            self.clock,
        )

    def begin(self):
        """Start the recurring events."""
        self._tick_leader()
        self._send_request()
        self._spend_repeats()
        self._inject_fault()

    def _tick_leader(self):
        self.leader.handle(actors.Tick())
        self.after(COMMIT_S, self._tick_leader)

    def _send_request(self):
        """Send requests, most of them to one box for a while."""
        up = [each for each in self.boxes if each.is_up]
        if up:
            favourite = up[int(self.now_s / 0.9) % len(up)]
            box = favourite if self.rng.random() < 0.8 else self.rng.choice(up)
            self.requests_s.append(self.now_s)
            box.when_running(lambda: box.counts.request(POOL))
        self.after(self.rng.expovariate(40), self._send_request)

    def _spend_repeats(self):
        for box in self.rng.sample(self.boxes, self.rng.randint(1, len(self.boxes))):
            box.when_running(box.spend)
        # Sometimes all boxes wait and then spend their saved repeats together.
        self.after(self.rng.choice((0.05, 0.05, 1.5)), self._spend_repeats)

    def _inject_fault(self):
        box = self.rng.choice(self.boxes)
        match self.rng.choice(
            ("kill", "kill", "pause", "disconnect", "disconnect_long", "leader", "join")
        ):
            case "kill":
                box.is_up = False
                self.after(self.rng.choice((0.05, 0.3, 5.0)), box.begin_incarnation)
            case "pause":
                box.paused_until_s = self.now_s + self.rng.uniform(0.1, 3.0)
            case "disconnect":
                box.disconnected_until_s = self.now_s + self.rng.uniform(0.1, 2.0)
            case "disconnect_long":
                box.disconnected_until_s = self.now_s + 6.0
            case "leader":
                self.new_leader()
            case "join" if len(self.boxes) < 2 * FIRST_BOXES:
                self.join()
        self.after(self.rng.expovariate(1 / MEAN_FAULT_GAP_S), self._inject_fault)


@attrs.frozen
class RunResult:
    """The result of a run."""

    excess: shared_budget.Excess | None
    requests: int
    repeats: int


def run_fleet(seed, allowance):
    fleet = Fleet(seed, allowance)
    fleet.begin()
    fleet.run(RUN_S)
    excess = shared_budget.worst_excess(allowance, fleet.requests_s, fleet.repeats_s)
    return RunResult(excess, len(fleet.requests_s), len(fleet.repeats_s))


@pytest.mark.parametrize("allowance", [RATIO_AND_EXTRA, EXTRA_ONLY, RATIO_ONLY])
@pytest.mark.parametrize("seed", SEEDS)
def test_no_window_has_more_repeats_than_the_fleet_may_send(seed, allowance):
    result = run_fleet(seed, allowance)
    assert result.excess is None
    assert result.repeats > allowance.extra + allowance.ratio * result.requests / 6


def skip_wait(monkeypatch):
    """Mutation: a box uses its share as soon as it has a lease."""
    renewed = retry_budget.ExtraShare.renewed

    def at_once(share, grant, now_s, counted_s):
        return attrs.evolve(renewed(share, grant, now_s, counted_s), from_s=now_s)

    monkeypatch.setattr(retry_budget.ExtraShare, "renewed", at_once)


def ignore_lease_end(monkeypatch):
    """Mutation: a box goes on using its share after its lease has expired."""

    def fraction(share, now_s):
        return 1 / share.boxes if share.boxes and now_s >= share.from_s else 0.0

    monkeypatch.setattr(retry_budget.ExtraShare, "fraction", fraction)


def count_only_heard_boxes(monkeypatch):
    """Mutation: a leader counts only boxes that it has heard from, not all registered ones."""
    answered = sessions.SessionController._answer

    def answer(controller, report, state):
        heard = len(controller._sessions.boxes(controller._clock.monotonic_s()))
        return attrs.evolve(answered(controller, report, state), registered_boxes=heard)

    monkeypatch.setattr(sessions.SessionController, "_answer", answer)


def remove_boxes_early(monkeypatch):
    """Mutation: a box is removed from the registry when its lease has expired."""
    made = sessions.SessionController.__init__

    def make(controller, *arguments):
        made(controller, *arguments)
        controller._retention_s = 0.0

    answered = sessions.SessionController._answer

    def answer(controller, report, state):
        return attrs.evolve(answered(controller, report, state), kept_s=RATIO_AND_EXTRA.counted_s)

    monkeypatch.setattr(sessions.SessionController, "__init__", make)
    monkeypatch.setattr(sessions.SessionController, "_answer", answer)


def earn_whole_ratio(monkeypatch):
    """Mutation: requests earn all of the ratio."""
    monkeypatch.setattr(retry_budget, "_EARNING_SHARE", 1.0)


def ignore_arrival_delay(monkeypatch):
    """Mutation: a repeat counts for one window only, as if it arrived as soon as it is sent."""
    monkeypatch.setattr(retry_budget, "_ARRIVAL_SHARE", 0.0)


@pytest.mark.parametrize(
    ("mutation", "seed", "allowance"),
    [
        (skip_wait, 0, EXTRA_ONLY),
        (ignore_lease_end, 15, EXTRA_ONLY),
        (count_only_heard_boxes, 1, EXTRA_ONLY),
        (remove_boxes_early, 1, EXTRA_ONLY),
        (earn_whole_ratio, 0, RATIO_ONLY),
        (ignore_arrival_delay, 11, EXTRA_ONLY),
    ],
)
def test_the_limit_is_exceeded_without_any_one_rule(monkeypatch, mutation, seed, allowance):
    mutation(monkeypatch)
    assert run_fleet(seed, allowance).excess is not None
