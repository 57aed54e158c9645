"""Endpoints that fail more than their peers are held off, and only those."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from croftpulley.core import outcomes

POOL = ("a", "b", "c")


def judged(board, now_s, pool=POOL):
    return [each.endpoint for each in board.judge([pool], now_s)]


def traffic(board, chance, now_s, shares, requests=9):
    """Report one second of requests to each endpoint; ``shares`` of them fail."""
    for name, share in shares.items():
        failed = sum(chance.random() < share for _ in range(requests))
        board.add({name: (requests - failed, failed)}, now_s)


def test_an_endpoint_that_fails_two_of_five_is_held_off_within_two_seconds():
    found = 0
    for seed in range(50):
        board, chance = outcomes.Outcomes(), random.Random(seed)
        for second in range(2):
            traffic(board, chance, float(second), {"a": 0.4, "b": 0.05, "c": 0.05})
            found += "a" in judged(board, float(second))
    assert found >= 40, f"got {found} of 50"


def test_endpoints_that_fail_alike_are_left_alone():
    held = []
    for seed in range(50):
        board, chance = outcomes.Outcomes(), random.Random(seed)
        for second in range(30):
            traffic(board, chance, float(second), dict.fromkeys(POOL, 0.05))
            held += judged(board, float(second))
    # A wrong judgement costs one endpoint of three for three seconds.
    assert len(held) <= 2, f"got {held}"


def test_a_pool_that_fails_as_a_whole_is_left_alone():
    board, chance = outcomes.Outcomes(), random.Random(1)
    for second in range(20):
        traffic(board, chance, float(second), dict.fromkeys(POOL, 0.5))
        assert judged(board, float(second)) == []


def test_after_a_hold_it_is_judged_by_new_requests_and_held_longer():
    board = outcomes.Outcomes()
    board.add({"a": (0, 5), "b": (9, 0)}, 0.0)
    (first,) = board.judge([POOL], 0.0)
    after_s = first.hold_s + 0.1
    assert judged(board, after_s) == []
    assert board.held(after_s) == ()
    board.add({"a": (0, 5), "b": (9, 0)}, after_s)
    (second,) = board.judge([POOL], after_s)
    assert second.hold_s == 2 * first.hold_s


def test_one_that_did_well_for_long_begins_anew():
    board = outcomes.Outcomes()
    board.add({"a": (0, 5)}, 0.0)
    (first,) = board.judge([POOL], 0.0)
    later_s = first.hold_s + outcomes.FORGET_S + 1.0
    board.add({"a": (0, 5)}, later_s)
    (second,) = board.judge([POOL], later_s)
    assert second.hold_s == first.hold_s


def test_what_is_listed_no_more_is_forgotten():
    board = outcomes.Outcomes()
    board.add({"a": (0, 5)}, 0.0)
    board.judge([POOL], 0.0)
    board.keep({"b"})
    assert board.held(0.1) == ()


reports = st.lists(
    st.tuples(st.sampled_from(POOL), st.integers(0, 20), st.integers(0, 20), st.floats(0.0, 2.0)),
    max_size=40,
)


@given(reports)
def test_never_more_than_half_of_a_pool_is_held_off(made):
    board = outcomes.Outcomes()
    now_s = 0.0
    for endpoint, ended_well, failed, pause_s in made:
        now_s += pause_s
        board.add({endpoint: (ended_well, failed)}, now_s)
        board.judge([POOL], now_s)
        assert len(board.held(now_s)) <= len(POOL) / 2
