"""Permit queue: order by urgency, then by workspace; no wait for hopeless requests."""

from __future__ import annotations

import collections
import heapq
import random

import attrs
import pytest

from croftpulley.core import waiting_line

PERMITS = 8.0
HOLD_S = 0.2
"""Mean time that a permit is held. Eight permits serve 40 requests per second."""
OBJECTIVE_S = 0.5
TIME_S = 4.0


@attrs.define
class Results:
    """Results of a simulated load, counted by workspace and by urgency."""

    asked: collections.Counter = attrs.field(factory=collections.Counter)
    begun: collections.Counter = attrs.field(factory=collections.Counter)
    waits_s: list = attrs.field(factory=list)
    waited_in_vain: int = 0
    """Requests that waited and then were refused or timed out."""

    def share(self, name):
        return self.begun[name] / self.asked[name]


def simulate(rates, seconds_s=20.0, seed=1):
    """Simulate requests at rates per second by workspace and urgency; each takes about HOLD_S."""
    line = waiting_line.PermitQueue()
    results = Results()
    events = []
    for number, ((workspace, urgency), rate) in enumerate(sorted(rates.items())):
        # A separate generator per source: its requests don't depend on the other sources.
        rng = random.Random(f"{seed} {workspace} {urgency}")
        at_s = rng.expovariate(rate)
        while at_s < seconds_s:
            events.append((at_s, len(events), "asks", (workspace, urgency, number)))
            at_s += rng.expovariate(rate)
    heapq.heapify(events)
    rng = random.Random(seed)
    joined_at_s = {}

    def begin(waiter, at_s):
        results.begun[waiter.workspace] += 1
        results.begun[waiter.urgency] += 1
        results.waits_s.append(at_s - joined_at_s.pop(waiter))
        held_s = HOLD_S * rng.uniform(0.5, 1.5)
        heapq.heappush(events, (at_s + held_s, len(events) + 10**9, "ends", held_s))

    while events:
        at_s, _, what, facts = heapq.heappop(events)
        for each in [each for each in joined_at_s if each.until_s <= at_s]:
            line.remove(each)
            del joined_at_s[each]
            results.waited_in_vain += 1
        if what == "ends":
            line.release(facts)
        else:
            workspace, urgency, _ = facts
            patience_s = waiting_line.patience_s(OBJECTIVE_S, TIME_S)
            waiter = waiting_line.Waiter(
                workspace=workspace,
                urgency=urgency,
                deadline_s=at_s + TIME_S,
                until_s=at_s + patience_s,
            )
            results.asked[workspace] += 1
            results.asked[urgency] += 1
            asked = line.request_permit(waiter, PERMITS, at_s)
            joined_at_s[waiter] = at_s
            if asked.outcome is waiting_line.Outcome.GRANTED:
                begin(waiter, at_s)
            elif asked.outcome is waiting_line.Outcome.REFUSED:
                del joined_at_s[waiter]
            for each in asked.evicted:
                del joined_at_s[each]
                results.waited_in_vain += 1
        for each in line.grant(PERMITS, at_s):
            begin(each, at_s)
        assert line.in_use <= PERMITS
    return results


USUAL = {(f"w-{number}", 1): 3.0 for number in range(10)}


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_workspace_at_nine_times_its_usual_rate_hardly_affects_the_others(seed):
    without = simulate(USUAL, seed=seed)
    greedy = simulate({**USUAL, ("w-0", 1): 27.0}, seed=seed)
    for workspace, _ in list(USUAL)[1:]:
        assert greedy.share(workspace) >= 0.95 * without.share(workspace)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_workspace_with_high_demand_gets_permits_that_no_other_requests(seed):
    greedy = simulate({("w-0", 1): 60.0, ("w-1", 1): 4.0}, seed=seed)
    assert sum(greedy.begun[each] for each in ("w-0", "w-1")) >= 0.9 * 40 * 20
    assert greedy.share("w-1") >= 0.97


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_more_urgent_requests_are_served_first(seed):
    results = simulate({("w", urgency): 20.0 for urgency in (0, 2, 4, 6)}, seed=seed)
    shares = [results.share(urgency) for urgency in (0, 2, 4, 6)]
    assert shares[0] >= 0.97
    assert shares == sorted(shares, reverse=True)


@pytest.mark.parametrize("times", [1, 2, 5])
def test_no_request_waits_longer_than_its_patience(times):
    results = simulate({key: times * rate for key, rate in USUAL.items()})
    assert max(results.waits_s) <= waiting_line.patience_s(OBJECTIVE_S, TIME_S)
    assert sum(results.begun[f"w-{n}"] for n in range(10)) >= 0.9 * min(40, 30 * times) * 20


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_few_requests_are_refused_after_waiting(seed):
    results = simulate({("w", urgency): 40.0 for urgency in (0, 3, 6)}, seed=seed)
    refused = sum(results.asked[urgency] - results.begun[urgency] for urgency in (0, 3, 6))
    # Demand is three times the capacity: the two less urgent ranks are refused, 90 % at once.
    assert refused > 0.5 * sum(results.asked[urgency] for urgency in (0, 3, 6))
    assert results.waited_in_vain <= 0.1 * refused


def waiter(urgency=0, workspace="w", deadline_s=9.0, until_s=1.0):
    return waiting_line.Waiter(
        workspace=workspace, urgency=urgency, deadline_s=deadline_s, until_s=until_s
    )


def full_queue(hold_s):
    """Return a queue whose only permit is in use, with mean hold time ``hold_s``."""
    line = waiting_line.PermitQueue()
    line.request_permit(waiter(), 1.0, 0.0)
    line.release(hold_s)
    line.request_permit(waiter(), 1.0, 0.0)
    return line


def test_request_that_cannot_start_in_time_is_refused_at_once():
    asked = full_queue(hold_s=2.0).request_permit(waiter(until_s=1.0), 1.0, 0.0)
    assert asked.outcome is waiting_line.Outcome.REFUSED
    assert asked.figures.starts_in_s == 2.0


def test_waiting_request_is_evicted_when_it_can_no_longer_start_in_time():
    line = full_queue(hold_s=0.5)
    last = waiter(urgency=5)
    assert line.request_permit(last, 1.0, 0.0).outcome is waiting_line.Outcome.WAITS
    assert line.request_permit(waiter(urgency=0), 1.0, 0.0).evicted == [last]
    assert len(line) == 1


def test_among_equals_the_earliest_deadline_goes_first():
    line = full_queue(hold_s=0.1)
    late, soon = waiter(deadline_s=9.0), waiter(deadline_s=5.0)
    for each in (late, soon):
        line.request_permit(attrs.evolve(each), 1.0, 0.0)
    line.release(0.1)
    assert [each.deadline_s for each in line.grant(1.0, 0.1)] == [5.0]


def test_removed_request_gets_no_permit():
    line = full_queue(hold_s=0.1)
    gone = waiter()
    line.request_permit(gone, 1.0, 0.0)
    line.remove(gone)
    line.release(0.1)
    assert line.grant(1.0, 0.1) == []


def test_received_permits_decay():
    received = waiting_line.DecayingCounts(waiting_line.PERMIT_HALF_LIFE_S)
    for _ in range(100):
        received.add("greedy", 0.0)
    assert received.value("greedy", 10 * waiting_line.PERMIT_HALF_LIFE_S) < 0.2
