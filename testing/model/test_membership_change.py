"""Every order of elections, copies, commits and changes of the voters, within limits.

``make check-model`` visits more states than CI does.
"""

from __future__ import annotations

import os

from model import membership_change, minicheck

TERMS = int(os.environ.get("CROFTPULLEY_MODEL_CHANGE_TERMS", "2"))


def check(rule, most_terms, most_entries):
    return minicheck.check(
        membership_change.State(),
        membership_change.steps(rule, most_terms, most_entries),
        lambda state: not state.is_lost,
    )


# The fault of a release: {leader, former learner} and {two voters that were silent}.
def test_a_voter_that_is_replaced_in_one_change_loses_what_was_committed():
    result = check(membership_change.replace_in_one_change, 2, 3)
    assert result.path is not None
    assert any("appends" in step for step in result.path)


def test_no_order_loses_what_was_committed_when_each_change_moves_one_vote():
    result = check(membership_change.RULE, TERMS, 4)
    assert result.path is None
    assert result.states > 1000
