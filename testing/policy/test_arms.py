"""Arms: which chats are assigned to which arm, and what their programs decide."""

from __future__ import annotations

import collections

import pytest
from hypothesis import given
from hypothesis import strategies as st

from croftpulley.core import selection
from croftpulley.policy import arms, language

REQUEST = arms.Request(
    key="chat", prompt_tokens=900, shared_tokens=800, priority=1, budget_ms=4000.0, hall="hall-a"
)
CANDIDATES = (
    selection.Candidate(name="busy-holder", hall="hall-a", load=9, held_tokens=800),
    selection.Candidate(name="idle", hall="hall-b", load=1),
    selection.Candidate(name="reading", hall="hall-a", load=2, reading_tokens=4000.0),
)


def scored(source):
    return arms.Arm(name="a", score=language.parse(source, arms.CANDIDATE_VARIABLES))


@pytest.mark.parametrize(
    ("source", "name"),
    [
        ("return load", "idle"),
        ("return -held_tokens", "busy-holder"),
        ("return -reading_tokens", "reading"),
        ("return load if same_hall else 100", "reading"),
        ("return load if load < mean_load else 0", "busy-holder"),
    ],
)
def test_the_endpoint_with_the_lowest_score_is_chosen(source, name):
    assert arms.choose_endpoint(scored(source), REQUEST, CANDIDATES, 800).name == name


def test_ties_are_broken_by_the_chats_rendezvous_order_at_every_router():
    arm = scored("return 0")
    first = arms.choose_endpoint(arm, REQUEST, CANDIDATES, 800)
    assert arms.choose_endpoint(arm, REQUEST, CANDIDATES[::-1], 800) == first


def test_an_arm_without_programs_uses_the_built_in_rule():
    assert arms.choose_endpoint(arms.Arm(name="a"), REQUEST, CANDIDATES, 800) is None
    assert arms.wait_before_retry_s(arms.Arm(name="a"), REQUEST, CANDIDATES, 800) == 0


@pytest.mark.parametrize(
    ("source", "wait_s"),
    [("return 0", 0), ("return -3", 0), ("return 1.5", 1.5), ("return 9000", 60)],
)
def test_an_admit_program_returns_the_wait_before_a_retry_within_limits(source, wait_s):
    arm = arms.Arm(name="a", admit=language.parse(source, arms.REQUEST_VARIABLES))
    assert arms.wait_before_retry_s(arm, REQUEST, CANDIDATES, 800) == wait_s


@given(st.lists(st.integers(0, 5), min_size=1, max_size=4).filter(any))
def test_arms_get_chats_in_proportion_to_their_weights(weights):
    made = arms.Arms(tuple(arms.Arm(name=str(n), weight=w) for n, w in enumerate(weights)))
    counts = collections.Counter(made.arm_for(f"chat-{n}").name for n in range(2000))
    for number, weight in enumerate(weights):
        expected = 2000 * weight / sum(weights)
        assert abs(counts[str(number)] - expected) < 150
        assert weight or not counts[str(number)]
