from __future__ import annotations

import pytest

from croftpulley import codes
from croftpulley.core import claims, replicated_state, submissions

RAN = claims.Outcome(codes.RunState.RAN, 200, "application/json", b"{}")
NOT_RUN = claims.Outcome(codes.RunState.NOT_RUN, 0, "", b"")


@pytest.fixture
def state():
    return replicated_state.ReplicatedState()


def submit(state, operator="aigerim", number=1, document="{}"):
    submission = submissions.Submission(operator, number, document)
    return state.apply(replicated_state.SubmitConfiguration(submission))


def claim(state, key="k", digest="d", claim_id="c-1"):
    return state.apply(replicated_state.ClaimCall("clinic", key, digest, claim_id, 100.0))


def record(state, outcome, key="k"):
    return state.apply(replicated_state.RecordOutcome("clinic", key, outcome))


def test_a_resent_submission_gets_its_first_answer_and_reverts_no_later_one(state):
    first = submit(state, number=1, document='{"a": 1}')
    for number in range(2, 302):
        submit(state, number=number, document=f'{{"a": {number}}}')
    again = submit(state, number=1, document='{"a": 1}')
    assert again.winner == first.winner
    assert state.submissions.held.version == 301
    assert state.submissions.held.document_json == '{"a": 301}'


@pytest.mark.parametrize(("operator", "document"), [("aigerim", '{"a": 2}'), ("bolat", '{"a": 1}')])
def test_a_used_number_with_other_content_or_operator_is_a_conflict(state, operator, document):
    submit(state, "aigerim", 7, '{"a": 1}')
    answer = submit(state, operator, 7, document)
    assert answer.code is codes.ResultCode.SUBMISSION_CONFLICT
    assert answer.winner.operator == "aigerim"
    assert state.submissions.held.version == 1


def test_a_second_claim_of_a_key_is_pending(state):
    assert claim(state, claim_id="c-1").state is claims.ClaimState.FRESH
    assert claim(state, claim_id="c-2").state is claims.ClaimState.PENDING


def test_a_retried_claim_is_still_fresh(state):
    # The first answer was lost, so the box has not sent the call yet.
    claim(state, claim_id="c-1")
    assert claim(state, claim_id="c-1").state is claims.ClaimState.FRESH


def test_a_recorded_outcome_is_returned_and_never_replaced(state):
    claim(state)
    assert record(state, RAN)
    assert not record(state, claims.Outcome(codes.RunState.RAN, 500, "", b"other"))
    assert claim(state, claim_id="c-2").outcome == RAN


def test_a_call_that_did_not_run_releases_its_key(state):
    claim(state)
    record(state, NOT_RUN)
    assert claim(state, claim_id="c-2").state is claims.ClaimState.FRESH


def test_a_late_not_run_never_releases_the_key_of_a_call_that_ran(state):
    claim(state)
    record(state, RAN)
    assert not record(state, NOT_RUN)
    assert claim(state, claim_id="c-2").state is claims.ClaimState.RECORDED


def test_a_key_reused_for_another_call_is_a_conflict(state):
    claim(state, digest="d")
    assert claim(state, digest="e").state is claims.ClaimState.CONFLICT


def test_one_command_drops_a_bounded_number_of_old_claims(state):
    for number in range(claims.MAX_CLAIMS_PER_DROP + 5):
        claim(state, key=f"k-{number}")
    assert state.apply(replicated_state.DropClaims(101.0)) == claims.MAX_CLAIMS_PER_DROP
    assert state.apply(replicated_state.DropClaims(101.0)) == 5
    assert state.claims.oldest_at_wall_s() is None


def test_each_grant_of_an_engine_increments_the_epoch(state):
    epochs = [state.apply(replicated_state.GrantOwnership("e", box)).epoch for box in "aba"]
    assert epochs == [1, 2, 3]


class TestHighestNumber:
    """The register in which the submission with the highest number is current."""

    @pytest.fixture
    def register(self):
        return submissions.HighestNumber()

    def test_a_higher_number_becomes_current_and_is_the_version(self, register):
        register.submit(submissions.Submission("", 3, '{"a": 3}'))
        register.submit(submissions.Submission("", 9, '{"a": 9}'))
        assert (register.held.version, register.held.document_json) == (9, '{"a": 9}')

    @pytest.mark.parametrize("number", [2, 9])
    def test_a_lower_or_equal_number_is_acknowledged_and_changes_nothing(self, register, number):
        register.submit(submissions.Submission("", 9, '{"a": 9}'))
        answer = register.submit(submissions.Submission("", number, '{"a": "other"}'))
        assert answer.code is codes.ResultCode.OK
        assert (register.held.version, register.held.document_json) == (9, '{"a": 9}')
