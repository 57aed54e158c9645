from __future__ import annotations

import pykka
import pytest

from croftpulley import codes, errors
from croftpulley.controllers import proposals
from croftpulley.core import agreed


@pytest.fixture
def pending():
    """Return proposals of which one stands at index 7, proposed in term 2."""
    made = proposals.Proposals()
    made.gather(propose())
    made.proposed(2, [7], made.take_batch())
    return made


def propose():
    return proposals.Propose(agreed.ForgetBox("a"), pykka.ThreadingFuture())


def failure_of(proposal):
    with pytest.raises(errors.CroftpulleyError) as raised:
        proposal.result.get(timeout=1)
    return raised.value.run_state


def test_only_the_first_of_a_batch_is_told_apart():
    made = proposals.Proposals()
    one, other = propose(), propose()
    assert [made.gather(one), made.gather(other)] == [True, False]
    assert made.take_batch() == [one, other]
    assert made.gather(propose())


def test_a_committed_entry_is_the_proposal_that_stood_there_once(pending):
    assert pending.take(7, 2) is not None
    assert pending.take(7, 2) is None


def test_a_proposal_that_another_leader_replaced_will_never_run():
    made = proposals.Proposals()
    replaced = propose()
    made.proposed(2, [7], [replaced])
    assert made.take(7, 3) is None
    assert failure_of(replaced) is codes.RunState.NOT_RUN


def test_of_what_is_pending_when_leadership_ends_nobody_knows_whether_it_runs():
    made = proposals.Proposals()
    left = propose()
    made.proposed(2, [7], [left])
    made.fail_pending()
    assert failure_of(left) is codes.RunState.UNKNOWN
    assert made.take(7, 2) is None
