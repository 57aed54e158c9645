"""Short calls of many boxes before few endpoints, whose loads are heard late."""

from __future__ import annotations

import heapq
import random

import pytest

from croftpulley.core import selection

BOXES = 80
SLOTS = 6
WORK_S = 0.06
TOLD_EVERY_S = 0.25
OBJECTIVE_S = 0.3


def play(choose, endpoints, calls_per_s, seed, seconds_s=8.0):
    """Return which part of the calls is answered within the objective.

    Every box knows what it has itself at each endpoint, and of the others' what was told last.
    """
    chance = random.Random(seed)
    names = [f"e{number}" for number in range(endpoints)]
    free_at_s = {name: [0.0] * SLOTS for name in names}
    present = dict.fromkeys(names, 0)
    own = {(box, name): 0 for box in range(BOXES) for name in names}
    told, told_own, told_at_s = dict(present), dict(own), 0.0
    ends: list[tuple[float, int, str]] = []
    at_s = in_time = calls = 0.0
    while at_s < seconds_s:
        at_s += chance.expovariate(calls_per_s)
        while ends and ends[0][0] <= at_s:
            _, box, name = heapq.heappop(ends)
            present[name] -= 1
            own[box, name] -= 1
        if at_s >= told_at_s + TOLD_EVERY_S:
            told, told_own, told_at_s = dict(present), dict(own), at_s
        box = chance.randrange(BOXES)
        candidates = [
            selection.Candidate(
                name=name,
                hall="a",
                load=told[name] - told_own[box, name] + own[box, name],
                own_load=own[box, name],
            )
            for name in names
        ]
        name = choose(str(chance.random()), candidates, at_s - told_at_s).name
        slots = free_at_s[name]
        began_s = max(at_s, heapq.heappop(slots))
        ended_s = began_s + chance.expovariate(1 / WORK_S)
        heapq.heappush(slots, ended_s)
        heapq.heappush(ends, (ended_s, box, name))
        present[name] += 1
        own[box, name] += 1
        calls += 1
        in_time += ended_s - at_s <= OBJECTIVE_S
    return in_time / calls


def evenly(key, candidates, age_s):
    return selection.evenly(key, candidates, selection.kept_since(age_s, WORK_S))


def least_busy(key, candidates, age_s):
    return selection.least_busy(key, candidates, "a")


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("endpoints", [4, 12])
def test_boxes_do_not_all_choose_the_endpoint_that_was_idle(endpoints, seed):
    half_of_all = endpoints * SLOTS / WORK_S / 2
    herded = play(least_busy, endpoints, half_of_all, seed)
    even = play(evenly, endpoints, half_of_all, seed)
    assert even >= 0.97
    assert even > herded


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_most_calls_are_in_time_with_four_fifths_of_all_slots_busy(seed):
    assert play(evenly, 4, 0.8 * 4 * SLOTS / WORK_S, seed) >= 0.9


def test_an_endpoint_that_lasts_in_being_busy_gets_less():
    heard = [
        selection.Candidate(name="idle", hall="a", load=2),
        selection.Candidate(name="busy", hall="a", load=40),
    ]
    kept = selection.kept_since(0.1, 0.5)
    assert {selection.evenly(str(key), heard, kept).name for key in range(50)} == {"idle"}


def test_what_a_box_has_itself_at_an_endpoint_counts_whole():
    heard = [
        selection.Candidate(name="own", hall="a", load=2, own_load=2),
        selection.Candidate(name="free", hall="a", load=2),
    ]
    assert {selection.evenly(str(key), heard, 0.0).name for key in range(50)} == {"free"}
