from __future__ import annotations

import pykka
import pytest

from croftpulley import codes, errors
from croftpulley.controllers import proposals
from croftpulley.core import replicated_state


@pytest.fixture
def tracker():
    """Return a tracker with one proposal, appended at index 7 in term 2."""
    tracker = proposals.ProposalTracker()
    tracker.enqueue(propose())
    tracker.mark_appended(2, [7], tracker.take_batch())
    return tracker


def propose():
    return proposals.Proposal(replicated_state.ForgetBox("a"), pykka.ThreadingFuture())


def failure_of(proposal):
    with pytest.raises(errors.CroftpulleyError) as raised:
        proposal.result.get(timeout=1)
    return raised.value.run_state


def test_enqueue_returns_true_only_for_the_first_of_a_batch():
    tracker = proposals.ProposalTracker()
    one, other = propose(), propose()
    assert [tracker.enqueue(one), tracker.enqueue(other)] == [True, False]
    assert tracker.take_batch() == [one, other]
    assert tracker.enqueue(propose())


def test_committed_proposal_is_returned_once(tracker):
    assert tracker.pop_committed(7, 2) is not None
    assert tracker.pop_committed(7, 2) is None


def test_proposal_overwritten_by_another_leader_fails_as_not_run():
    tracker = proposals.ProposalTracker()
    overwritten = propose()
    tracker.mark_appended(2, [7], [overwritten])
    assert tracker.pop_committed(7, 3) is None
    assert failure_of(overwritten) is codes.RunState.NOT_RUN


def test_pending_proposal_fails_as_unknown_when_leadership_ends():
    tracker = proposals.ProposalTracker()
    appended = propose()
    tracker.mark_appended(2, [7], [appended])
    tracker.fail_pending()
    assert failure_of(appended) is codes.RunState.UNKNOWN
    assert tracker.pop_committed(7, 2) is None
