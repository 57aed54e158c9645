"""Checks in every state of a small model that no two leaders can hold a lease at once.

``make check-model`` visits more states than CI does.
"""

from __future__ import annotations

import os

import pytest

from model import authority, minicheck

TERMS = int(os.environ.get("CROFTPULLEY_MODEL_TERMS", "2"))
RESTARTS = int(os.environ.get("CROFTPULLEY_MODEL_RESTARTS", "1"))


def run(mutation=authority.Mutation.NONE, terms=TERMS, restarts=RESTARTS):
    model = authority.Model(terms, restarts, mutation)
    return minicheck.check(authority.State(), model.steps, authority.has_at_most_one_lease_holder)


def test_at_most_one_leader_holds_a_lease():
    checked = run()
    print(f"{checked.states} states with {TERMS} terms and {RESTARTS} restarts")
    assert checked.path is None, checked.path
    assert checked.states > 1000


@pytest.mark.parametrize(
    ("mutation", "terms", "restarts"),
    [
        (authority.Mutation.RESTARTED_VOTES_UNCONDITIONALLY, 2, 1),
        (authority.Mutation.LEADER_VOTES_FOR_OTHER, 2, 0),
        (authority.Mutation.FORGETS_VOTE, 1, 1),
        (authority.Mutation.VOTE_COUNTS_FOR_LATER_TERM, 2, 0),
    ],
)
def test_a_fault_in_the_rules_is_found(mutation, terms, restarts):
    checked = run(mutation, terms, restarts)
    assert checked.path is not None, f"{checked.states} states visited"
